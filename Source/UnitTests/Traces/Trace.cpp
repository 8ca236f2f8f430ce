#include "UnitTests/Traces/Trace.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace bronzepass::unit_tests::traces {

namespace {

constexpr const char *Heading =
    "at_ms,caller,model,adapter,batch,prompt_tokens,"
    "conversation,max_tokens,tokens,window_ms";

TraceLine parseLine(const std::string &Text) {
  std::istringstream Fields(Text);
  TraceLine Line;
  char Comma = 0;
  Fields >> Line.m_AtMs >> Comma >> Line.m_Caller >> Comma >> Line.m_Model >>
      Comma >> Line.m_Adapter >> Comma >> Line.m_Batch >> Comma >>
      Line.m_PromptTokens >> Comma >> Line.m_Conversation >> Comma >>
      Line.m_MaxTokens >> Comma >> Line.m_Tokens >> Comma >> Line.m_WindowMs;
  if (!Fields)
    throw std::runtime_error("bad line of a trace: " + Text);
  return Line;
}

} // namespace

std::vector<TraceLine> readTrace(const std::string &Path) {
  std::ifstream File(Path);
  std::string Text;
  if (!std::getline(File, Text) || Text != Heading)
    throw std::runtime_error("not a trace: " + Path);
  std::vector<TraceLine> Lines;
  while (std::getline(File, Text))
    Lines.push_back(parseLine(Text));
  return Lines;
}

void writeTrace(const std::vector<TraceLine> &Lines, std::ostream &To) {
  To << Heading << '\n';
  for (const TraceLine &Line : Lines)
    To << Line.m_AtMs << ',' << Line.m_Caller << ',' << Line.m_Model << ','
       << Line.m_Adapter << ',' << Line.m_Batch << ',' << Line.m_PromptTokens
       << ',' << Line.m_Conversation << ',' << Line.m_MaxTokens << ','
       << Line.m_Tokens << ',' << Line.m_WindowMs << '\n';
}

} // namespace bronzepass::unit_tests::traces
