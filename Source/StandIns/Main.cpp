#include "StandIns/EngineStandIn.h"
#include "StandIns/ObjectApiStandIn.h"
#include "StandIns/ServiceStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;
namespace model = bronzepass::core::model;
namespace stand_ins = bronzepass::stand_ins;

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;

model::Address addressFrom(const options::variables_map &Given) {
  return {Given["ip"].as<std::string>(), Given["port"].as<uint16_t>()};
}

/// Preloads \p Text: "model@version=bytes" or "model@version+adapter=bytes".
void preload(stand_ins::EngineStandIn &Engine, const std::string &Text) {
  const size_t Equals = Text.find('=');
  const std::string Name = Text.substr(0, Equals);
  const size_t At = Name.find('@');
  const size_t Plus = Name.find('+');
  model::ArtifactId Artifact;
  Artifact.m_Model = model::ModelId(Name.substr(0, At));
  if (At != std::string::npos)
    Artifact.m_Version = Name.substr(At + 1, Plus - At - 1);
  if (Plus != std::string::npos)
    Artifact.m_Adapter = model::AdapterId(Name.substr(Plus + 1));
  const uint64_t Bytes =
      Equals == std::string::npos ? 0 : std::stoull(Text.substr(Equals + 1));
  Engine.preload(Artifact, Bytes);
}

std::unique_ptr<stand_ins::StandIn>
makeEngine(const options::variables_map &Given) {
  stand_ins::EngineOptions Options;
  Options.m_Name = model::EndpointId(Given["name"].as<std::string>());
  Options.m_Address = addressFrom(Given);
  Options.m_MemoryBytes = Given["memory-bytes"].as<uint64_t>();
  Options.m_Slots = Given["slots"].as<uint32_t>();
  Options.m_Step = std::chrono::microseconds(Given["step-us"].as<uint64_t>());
  Options.m_LoadTime =
      std::chrono::milliseconds(Given["load-ms"].as<uint64_t>());
  if (Given.count("ignore-old-tokens") != 0)
    Options.m_Fencing = model::FencingMode::Ignores;
  std::unique_ptr<stand_ins::EngineStandIn> Engine =
      std::make_unique<stand_ins::EngineStandIn>(Options);
  if (Given.count("preload") != 0)
    for (const std::string &Text :
         Given["preload"].as<std::vector<std::string>>())
      preload(*Engine, Text);
  return Engine;
}

std::unique_ptr<stand_ins::StandIn>
makeStandIn(const std::string &Kind, const options::variables_map &Given) {
  if (Kind == "engine")
    return makeEngine(Given);
  if (Kind == "service")
    return std::make_unique<stand_ins::ServiceStandIn>(addressFrom(Given));
  if (Kind == "objects") {
    stand_ins::ObjectApiOptions Options;
    Options.m_Address = addressFrom(Given);
    Options.m_WritesPerSecond = Given["writes-per-second"].as<uint32_t>();
    Options.m_ReadsPerSecond = Given["reads-per-second"].as<uint32_t>();
    return std::make_unique<stand_ins::ObjectApiStandIn>(Options);
  }
  return nullptr;
}

options::options_description describeOptions() {
  options::options_description Known(
      "Usage: bronzepass-standins engine|service|objects [options]\n\nOptions");
  options::options_description_easy_init Add = Known.add_options();
  Add("help", "Show this text");
  Add("ip", options::value<std::string>()->default_value("127.0.0.1"),
      "IP number to listen on");
  Add("port", options::value<uint16_t>()->default_value(0),
      "Port to listen on; 0 takes a free one");
  Add("name", options::value<std::string>()->default_value("engine"),
      "Engine: its endpoint's name");
  Add("memory-bytes", options::value<uint64_t>()->default_value(80ULL << 30),
      "Engine: accelerator memory");
  Add("slots", options::value<uint32_t>()->default_value(64),
      "Engine: sequences that it steps at once");
  Add("step-us", options::value<uint64_t>()->default_value(5000),
      "Engine: microseconds for one token of each sequence");
  Add("load-ms", options::value<uint64_t>()->default_value(2000),
      "Engine: milliseconds that a load takes");
  Add("ignore-old-tokens", "Engine: carry out orders with old fencing tokens");
  Add("preload", options::value<std::vector<std::string>>()->composing(),
      "Engine: model@version[+adapter]=bytes that it serves from the start");
  Add("writes-per-second", options::value<uint32_t>()->default_value(0),
      "Objects: limit; 0 means none");
  Add("reads-per-second", options::value<uint32_t>()->default_value(0),
      "Objects: limit; 0 means none");
  return Known;
}

/// Blocks until SIGTERM or SIGINT.
void waitForSignal(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

int runStandIn(int Count, char **Arguments) {
  const options::options_description Known = describeOptions();
  const std::string Kind = Count > 1 ? Arguments[1] : "";
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
    options::notify(Given);
  } catch (const options::error &Error) {
    std::cerr << "bronzepass-standins: " << Error.what() << "\n";
    return ExitUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << Known;
    return 0;
  }
  // Done before any thread starts, so that all of them inherit the mask.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  const std::unique_ptr<stand_ins::StandIn> StandIn = makeStandIn(Kind, Given);
  if (!StandIn) {
    std::cerr << "bronzepass-standins: '" << Kind
              << "' is not one of engine, service, objects\n";
    return ExitUsage;
  }
  const std::optional<std::string> Error = StandIn->start();
  if (Error) {
    std::cerr << "bronzepass-standins: " << *Error << "\n";
    return ExitFailure;
  }
  std::cout << "listening on " << StandIn->address().m_Ip << ":"
            << StandIn->port() << std::endl;
  waitForSignal(Signals);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return runStandIn(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "bronzepass-standins: " << Error.what() << "\n";
    return ExitFailure;
  }
}
