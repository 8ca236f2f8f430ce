#include "Core/Cli/Table.h"

#include "Core/Model/LowerCase.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace bronzepass::core::cli {

Table::Table(std::vector<std::string> Headings)
    : m_Headings(std::move(Headings)) {}

void Table::add(std::vector<std::string> Cells) {
  Cells.resize(m_Headings.size());
  m_Rows.push_back(std::move(Cells));
}

void Table::print(std::ostream &Out, bool AsJson) const {
  if (AsJson)
    printJson(Out);
  else
    printText(Out);
}

void Table::printText(std::ostream &Out) const {
  std::vector<size_t> Widths;
  for (const std::string &Heading : m_Headings)
    Widths.push_back(Heading.size());
  for (const std::vector<std::string> &Row : m_Rows)
    for (size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  auto PrintRow = [&Out, &Widths](const std::vector<std::string> &Row) {
    for (size_t I = 0; I + 1 < Row.size(); ++I)
      Out << std::left << std::setw(static_cast<int>(Widths[I]) + 2) << Row[I];
    Out << Row.back() << "\n";
  };
  PrintRow(m_Headings);
  for (const std::vector<std::string> &Row : m_Rows)
    PrintRow(Row);
}

void Table::printJson(std::ostream &Out) const {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const std::vector<std::string> &Row : m_Rows) {
    nlohmann::ordered_json Object = nlohmann::ordered_json::object();
    for (size_t I = 0; I < Row.size(); ++I)
      Object[model::lowerCase(m_Headings[I])] = Row[I];
    List.push_back(std::move(Object));
  }
  Out << List.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
      << "\n";
}

} // namespace bronzepass::core::cli
