#include "Core/Model/Finding.h"

#include <algorithm>

namespace bronzepass::core::model {

std::string toString(const Finding &Value) {
  std::string Text = Value.m_Location.m_File;
  if (Value.m_Location.m_Line > 0)
    Text += ":" + std::to_string(Value.m_Location.m_Line) + ":" +
            std::to_string(Value.m_Location.m_Column);
  Text += Value.m_Severity == Severity::Error ? ": error: " : ": warning: ";
  return Text + Value.m_Message;
}

bool hasErrors(const FindingList &Findings) {
  return std::any_of(Findings.begin(), Findings.end(), [](const Finding &F) {
    return F.m_Severity == Severity::Error;
  });
}

} // namespace bronzepass::core::model
