#include "Core/Cli/RetireCommand.h"

#include "Core/Cli/SelectorEdit.h"
#include "Core/Model/Intent.h"

namespace bronzepass::core::cli {

namespace {

std::vector<std::string> modelNames(const model::Intent &Value) {
  std::vector<std::string> Names;
  for (const model::ModelSpec &Model : Value.m_Models)
    Names.push_back(Model.m_Name.str());
  return Names;
}

SelectorEdit retireEdit() {
  return {"retire", "model", modelNames, [](const std::string &Model) {
            return "action: retire, models: {name: " + Model + "}";
          }};
}

} // namespace

void RetireCommand::addOptions(
    boost::program_options::options_description &Options) const {
  addSelectorOptions(retireEdit(), Options);
}

ExitCode RetireCommand::run(const CommandContext &Context) const {
  return runSelectorEdit(retireEdit(), Context);
}

} // namespace bronzepass::core::cli
