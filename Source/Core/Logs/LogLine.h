#ifndef BRONZEPASS_CORE_LOGS_LOGLINE_H
#define BRONZEPASS_CORE_LOGS_LOGLINE_H

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace bronzepass::core::logs {

/// One log line of a gateway node; docs/LOGS.md lists the fields.
struct LogLine {
  /// Unix time in milliseconds by the node's clock; clocks of nodes may differ.
  int64_t m_TimeMs = 0;
  std::string m_Node;
  std::string m_Category;
  std::string m_Action;
  /// All other fields by name; numbers as text.
  std::map<std::string, std::string> m_Fields;

  /// The value of a field; empty if the line does not have it.
  std::string field(const std::string &Name) const {
    const auto Found = m_Fields.find(Name);
    return Found == m_Fields.end() ? std::string() : Found->second;
  }
  bool is(const char *Category, const char *Action) const {
    return m_Category == Category && m_Action == Action;
  }

  friend auto operator<=>(const LogLine &, const LogLine &) = default;
};

} // namespace bronzepass::core::logs

#endif // BRONZEPASS_CORE_LOGS_LOGLINE_H
