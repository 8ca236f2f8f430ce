// The templates of settings files, filled in as the platform does it.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>

namespace review {

/// Values of the settings by name; nullopt for what a machine does not have.
using SettingValues = std::map<std::string, std::optional<std::string>>;

/// Fills in placeholders and sections; what a section without a value holds is
/// left out. Throws std::runtime_error on a name that \p Values does not hold,
/// and on a placeholder outside such a section that has no value.
inline std::string fillTemplate(const std::string &Template,
                                const SettingValues &Values) {
  const auto Find = [&Values](const std::string &Name) {
    const auto Found = Values.find(Name);
    if (Found == Values.end())
      throw std::runtime_error("the template names " + Name +
                               ", which the stand-ins do not know");
    return Found->second;
  };
  std::string Text;
  size_t At = 0;
  for (;;) {
    const size_t Open = Template.find("{{", At);
    Text += Template.substr(At, Open - At);
    if (Open == std::string::npos)
      return Text;
    const size_t Close = Template.find("}}", Open);
    if (Close == std::string::npos)
      throw std::runtime_error("a placeholder of the template has no end");
    const std::string Tag = Template.substr(Open + 2, Close - Open - 2);
    At = Close + 2;
    if (Tag.empty() || (Tag.front() != '#' && Tag.front() != '^')) {
      const std::optional<std::string> Value = Find(Tag);
      if (!Value)
        throw std::runtime_error("the template needs " + Tag +
                                 ", which has no value");
      Text += *Value;
      continue;
    }
    const std::string Name = Tag.substr(1);
    const std::string EndTag = "{{/" + Name + "}}";
    const size_t End = Template.find(EndTag, At);
    if (End == std::string::npos)
      throw std::runtime_error("the section " + Name + " has no end");
    if (Find(Name).has_value() == (Tag.front() == '#'))
      Text += fillTemplate(Template.substr(At, End - At), Values);
    At = End + EndTag.size();
  }
}

} // namespace review
