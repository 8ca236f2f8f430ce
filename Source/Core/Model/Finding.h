#ifndef BRONZEPASS_CORE_MODEL_FINDING_H
#define BRONZEPASS_CORE_MODEL_FINDING_H

#include <compare>
#include <string>
#include <vector>

namespace bronzepass::core::model {

/// Location of a finding in a document. Lines and columns start at 1; 0 means
/// unknown.
struct SourceLocation {
  std::string m_File;
  int m_Line = 0;
  int m_Column = 0;

  friend auto operator<=>(const SourceLocation &,
                          const SourceLocation &) = default;
};

enum class Severity { Error, Warning };

/// An error or warning about a document. Findings are collected and reported
/// together, never one at a time.
struct Finding {
  Severity m_Severity = Severity::Error;
  SourceLocation m_Location;
  std::string m_Message;

  friend auto operator<=>(const Finding &, const Finding &) = default;
};

using FindingList = std::vector<Finding>;

/// "file:line:column: error: message", as compilers print it.
std::string toString(const Finding &Value);

/// Whether any finding is an error, so that the document must not be used.
bool hasErrors(const FindingList &Findings);

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_FINDING_H
