#ifndef BRONZEPASS_CORE_MODEL_FINDING_H
#define BRONZEPASS_CORE_MODEL_FINDING_H

#include <compare>
#include <string>
#include <vector>

namespace bronzepass::core::model {

/// Where in a document a finding was made; lines and columns count from 1,
/// zero where none is known.
struct SourceLocation {
  std::string m_File;
  int m_Line = 0;
  int m_Column = 0;

  friend auto operator<=>(const SourceLocation &,
                          const SourceLocation &) = default;
};

enum class Severity { Error, Warning };

/// One thing wrong with a document. Findings are collected and reported
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

/// Whether any finding forbids the document's use.
bool hasErrors(const FindingList &Findings);

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_FINDING_H
