#include "Core/Cli/SelectorEdit.h"

#include "Core/Adapters/Yaml/SelectorEditor.h"
#include "Core/Cli/IntentAccess.h"
#include "Core/Model/NearMatch.h"

#include <algorithm>
#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;

void addSelectorOptions(const SelectorEdit &Edit,
                        po::options_description &Options) {
  Options.add_options()(Edit.m_TargetKind.c_str(), po::value<std::string>(),
                        ("name of the " + Edit.m_TargetKind).c_str())(
      "undo", po::bool_switch(), "take it back");
  addObjectApiOptions(Options);
  addAuthorOptions(Options);
}

ExitCode runSelectorEdit(const SelectorEdit &Edit,
                         const CommandContext &Context) {
  const std::string Target = Context.optionValue(Edit.m_TargetKind);
  if (Target.empty()) {
    Context.m_Err << "bronzepass " << Edit.m_Command << ": name the "
                  << Edit.m_TargetKind << "\n";
    return ExitCode::Usage;
  }
  const bool Undo = Context.m_Options["undo"].as<bool>();
  const std::string Name = Edit.m_Command + "-" + Target;
  return editIntent(
      Context, Edit.m_Command,
      [&](const std::string &Text, const model::Intent &Current,
          std::string &Reason) -> std::optional<std::string> {
        const std::vector<std::string> Names = Edit.m_ListTargets(Current);
        if (std::find(Names.begin(), Names.end(), Target) == Names.end()) {
          Reason = "no " + Edit.m_TargetKind + " '" + Target + "'" +
                   model::nearMatchHint(Target, Names);
          return std::nullopt;
        }
        const auto &Selectors = Current.m_Selectors;
        const bool Exists =
            std::any_of(Selectors.begin(), Selectors.end(),
                        [&Name](const model::SelectorSpec &Each) {
                          return Each.m_Name == Name;
                        });
        // The selector already is as requested: applying it again changes
        // nothing.
        if (Exists != Undo)
          return Text;
        const adapters::yaml::TextEditResult Edited =
            Undo ? adapters::yaml::removeSelector(Text, Name)
                 : adapters::yaml::addSelector(
                       Text, "name: " + Name + ", " + Edit.m_MakeBody(Target));
        Reason = Edited.m_Reason;
        return Edited.m_Text;
      });
}

} // namespace bronzepass::core::cli
