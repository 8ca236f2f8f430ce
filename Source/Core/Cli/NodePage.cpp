#include "Core/Cli/NodePage.h"

#include "Core/Adapters/Curl/BlockingGet.h"
#include "Core/Adapters/Yaml/MapReader.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace bronzepass::core::cli {

namespace po = boost::program_options;
using nlohmann::ordered_json;

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;

} // namespace

void addNodeOptions(po::options_description &Options) {
  Options.add_options()(
      "node", po::value<std::string>()->default_value("127.0.0.1:18281"),
      "operators' address of a node");
}

std::optional<ordered_json> fetchPage(const CommandContext &Context,
                                      const std::string &Command,
                                      const std::string &Path, ExitCode &Code) {
  const std::string NodeOption = Context.optionValue("node");
  const std::optional<model::Address> Address =
      adapters::yaml::parseAddress(NodeOption);
  if (!Address) {
    Context.m_Err << "bronzepass " << Command << ": --node is '" << NodeOption
                  << "', expected an IP number and a port\n";
    Code = ExitCode::Usage;
    return std::nullopt;
  }
  const adapters::curl::BlockingReply Reply =
      adapters::curl::blockingGet(*Address, Path);
  if (Reply.m_Status == 0) {
    Context.m_Err << "bronzepass " << Command << ": node " << NodeOption << ": "
                  << Reply.m_Error << "\n";
    Code = ExitCode::Failed;
    return std::nullopt;
  }
  ordered_json Page = ordered_json::parse(Reply.m_Body, nullptr, false);
  if (Reply.m_Status == HttpOk && !Page.is_discarded())
    return Page;
  const bool HasMessage =
      Page.is_object() && Page.contains("error") && Page["error"].is_object();
  Context.m_Err << "bronzepass " << Command << ": node " << NodeOption << ": "
                << (HasMessage ? cell(Page["error"], "message")
                               : "status " + std::to_string(Reply.m_Status))
                << "\n";
  Code = Reply.m_Status == HttpNotFound ? ExitCode::NotFound : ExitCode::Failed;
  return std::nullopt;
}

std::string cell(const ordered_json &Object, const char *Key) {
  if (!Object.is_object() || !Object.contains(Key))
    return {};
  const ordered_json &Value = Object[Key];
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

} // namespace bronzepass::core::cli
