#include "Core/Adapters/Yaml/SelectorEditor.h"

#include "Core/Adapters/Yaml/MapReader.h"

#include <sstream>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace bronzepass::core::adapters::yaml {

namespace {

constexpr const char *Section = "selectors";

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

/// Returns the list of selectors. On failure sets \p Reason and returns an
/// undefined node.
YAML::Node selectorList(const std::string &Text, std::string &Reason) {
  FindingSink Sink("intent");
  const YAML::Node Document = parseDocument(Text, Sink);
  if (!Document.IsMap()) {
    Reason = "the intent is not a map";
    return YAML::Node(YAML::NodeType::Undefined);
  }
  const YAML::Node List = Document[Section];
  if (List.IsDefined() && List.size() > 0 &&
      List.Style() == YAML::EmitterStyle::Flow) {
    Reason = "write the intent's selectors one to a line first";
    return YAML::Node(YAML::NodeType::Undefined);
  }
  return List;
}

} // namespace

TextEditResult addSelector(const std::string &Text, const std::string &Body) {
  TextEditResult Edit;
  const YAML::Node List = selectorList(Text, Edit.m_Reason);
  if (!Edit.m_Reason.empty())
    return Edit;
  std::vector<std::string> Lines = splitLines(Text);
  const std::string Entry = "- {" + Body + "}";
  if (!List.IsDefined()) {
    Lines.push_back(std::string(Section) + ":");
    Lines.push_back("  " + Entry);
  } else if (List.size() == 0) {
    // The list is empty: "selectors:" or "selectors: []" on one line.
    size_t Line = 0;
    while (Line < Lines.size() && Lines[Line].rfind(Section, 0) != 0)
      ++Line;
    if (Line == Lines.size()) {
      Edit.m_Reason = "no line begins with 'selectors:'";
      return Edit;
    }
    Lines[Line] = std::string(Section) + ":";
    Lines.insert(Lines.begin() + static_cast<long>(Line) + 1, "  " + Entry);
  } else {
    const YAML::Mark First = List.Mark();
    const std::string Indent(static_cast<size_t>(First.column), ' ');
    Lines.insert(Lines.begin() + First.line, Indent + Entry);
  }
  Edit.m_Text = joinLines(Lines);
  return Edit;
}

TextEditResult removeSelector(const std::string &Text,
                              const std::string &Name) {
  TextEditResult Edit;
  const YAML::Node List = selectorList(Text, Edit.m_Reason);
  if (!Edit.m_Reason.empty())
    return Edit;
  for (size_t I = 0; List.IsDefined() && I < List.size(); ++I) {
    const YAML::Node Found = List[I]["name"];
    if (!Found.IsDefined() || !Found.IsScalar() || Found.Scalar() != Name)
      continue;
    std::vector<std::string> Lines = splitLines(Text);
    const int Begin = List[I].Mark().line;
    // A selector in flow style takes one line; one in block style continues
    // while lines are indented deeper than its dash.
    const int Dash = List.Mark().column;
    size_t End = static_cast<size_t>(Begin) + 1;
    while (End < Lines.size() &&
           Lines[End].find_first_not_of(' ') != std::string::npos &&
           Lines[End].find_first_not_of(' ') > static_cast<size_t>(Dash))
      ++End;
    Lines.erase(Lines.begin() + Begin, Lines.begin() + static_cast<long>(End));
    Edit.m_Text = joinLines(Lines);
    return Edit;
  }
  Edit.m_Reason = "no selector '" + Name + "'";
  return Edit;
}

} // namespace bronzepass::core::adapters::yaml
