#include "Core/Cli/DrainCommand.h"

#include "Core/Cli/SelectorEdit.h"
#include "Core/Model/Intent.h"

namespace bronzepass::core::cli {

namespace {

std::vector<std::string> endpointNames(const model::Intent &Value) {
  std::vector<std::string> Names;
  for (const model::PoolSpec &Pool : Value.m_Pools)
    for (const model::EndpointSpec &Endpoint : Pool.m_Endpoints)
      Names.push_back(Endpoint.m_Name.str());
  return Names;
}

SelectorEdit drainEdit() {
  return {"drain", "endpoint", endpointNames, [](const std::string &Endpoint) {
            return "action: drain, endpoints: [" + Endpoint + "]";
          }};
}

} // namespace

void DrainCommand::addOptions(
    boost::program_options::options_description &Options) const {
  addSelectorOptions(drainEdit(), Options);
}

ExitCode DrainCommand::run(const CommandContext &Context) const {
  return runSelectorEdit(drainEdit(), Context);
}

} // namespace bronzepass::core::cli
