#ifndef BRONZEPASS_CORE_CLI_TABLE_H
#define BRONZEPASS_CORE_CLI_TABLE_H

#include <iosfwd>
#include <string>
#include <vector>

namespace bronzepass::core::cli {

/// Rows under column headings, printed in aligned columns or as a JSON list of
/// objects with the lower-case headings as keys.
class Table {
public:
  explicit Table(std::vector<std::string> Headings);

  /// \p Cells has one text per heading; missing ones are empty.
  void add(std::vector<std::string> Cells);
  void print(std::ostream &Out, bool AsJson) const;

private:
  void printText(std::ostream &Out) const;
  void printJson(std::ostream &Out) const;

  std::vector<std::string> m_Headings;
  std::vector<std::vector<std::string>> m_Rows;
};

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_TABLE_H
