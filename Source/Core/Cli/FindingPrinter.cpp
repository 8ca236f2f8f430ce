#include "Core/Cli/FindingPrinter.h"

#include "Core/Cli/Table.h"

#include <ostream>

namespace bronzepass::core::cli {

void printFindings(const model::FindingList &Findings,
                   const CommandContext &Context) {
  if (Context.wantsJson()) {
    Table Rows({"File", "Line", "Column", "Severity", "Message"});
    for (const model::Finding &Each : Findings)
      Rows.add({Each.m_Location.m_File, std::to_string(Each.m_Location.m_Line),
                std::to_string(Each.m_Location.m_Column),
                Each.m_Severity == model::Severity::Error ? "error" : "warning",
                Each.m_Message});
    Rows.print(Context.m_Out, true);
    return;
  }
  for (const model::Finding &Each : Findings)
    Context.m_Out << model::toString(Each) << "\n";
  Context.m_Err << Findings.size()
                << (Findings.size() == 1 ? " finding\n" : " findings\n");
}

} // namespace bronzepass::core::cli
