#include "UnitTests/Soak/SoakCallers.h"
#include "UnitTests/Soak/SoakSchedule.h"
#include "UnitTests/Soak/SoakWorld.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <string>

namespace {

namespace options = boost::program_options;
namespace soak = bronzepass::unit_tests::soak;

const std::map<std::string, soak::PlantedFault> PlantedFaults = {
    {"", soak::PlantedFault::None},
    {"short-answer", soak::PlantedFault::ShortAnswer},
    {"foreign-seal", soak::PlantedFault::ForeignSeal},
    {"invented-run", soak::PlantedFault::InventedRun},
    {"runs-twice", soak::PlantedFault::RunsTwice},
    {"false-refusal", soak::PlantedFault::FalseRefusal},
    {"deaf-run", soak::PlantedFault::DeafRun},
    {"silent-drain", soak::PlantedFault::SilentDrain},
    {"silent-configuration", soak::PlantedFault::SilentConfiguration},
    {"dropped-routes", soak::PlantedFault::DroppedRoutes},
    {"hidden-models", soak::PlantedFault::HiddenModels},
    {"hidden-version", soak::PlantedFault::HiddenVersion},
    {"second-holder", soak::PlantedFault::SecondHolder},
    {"many-loads", soak::PlantedFault::ManyLoads},
    {"stop-kills", soak::PlantedFault::StopKills},
    {"ends-by-itself", soak::PlantedFault::EndsByItself},
    {"no-recovery", soak::PlantedFault::NoRecovery}};

int runSoak(const options::variables_map &Given) {
  const uint64_t Seed = Given["seed"].as<uint64_t>();
  soak::SoakWorld World(Given["nodes"].as<size_t>(),
                        Given["base-port"].as<uint16_t>(),
                        Given["folder"].as<std::string>(),
                        PlantedFaults.at(Given["plant"].as<std::string>()));
  for (size_t I = 0; I < World.nodes().count(); ++I)
    World.nodes().start(I);
  {
    soak::SoakSchedule Schedule(World, Seed);
    soak::SoakCallers Callers(Given["callers"].as<size_t>(), Seed,
                              World.nodes(), World.record(),
                              soak::SoakWorld::models());
    Schedule.run(Given["scenario"].as<std::string>(),
                 std::chrono::seconds(Given["seconds"].as<int>()), Callers);
  }
  World.record().finish();
  int Violations = 0;
  for (const auto &[Promise, Times] : World.record().violations()) {
    std::cerr << "promise broken " << Times << " times: " << Promise
              << std::endl;
    Violations += Times;
  }
  std::cerr << "seed " << Seed << ": " << World.record().runCount() << " runs, "
            << Violations << " promises broken" << std::endl;
  return Violations == 0 ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Known("Options of bronzepass-soak");
  Known.add_options()("help", "Show this text");
  Known.add_options()("seed", options::value<uint64_t>()->default_value(1),
                      "Of the schedule and the callers");
  Known.add_options()("seconds", options::value<int>()->default_value(30),
                      "Length, with start and recovery");
  Known.add_options()("nodes", options::value<size_t>()->default_value(3),
                      "Node processes");
  Known.add_options()("callers", options::value<size_t>()->default_value(24),
                      "Callers with a connection each");
  Known.add_options()("base-port",
                      options::value<uint16_t>()->default_value(27000),
                      "First of four ports a node");
  Known.add_options()("folder",
                      options::value<std::string>()->default_value("."),
                      "Of the nodes' settings files");
  Known.add_options()("scenario",
                      options::value<std::string>()->default_value("random"),
                      "random, or restore: the store is restored twice");
  Known.add_options()("plant", options::value<std::string>()->default_value(""),
                      "A fault of the stand-ins that a check has to find");
  options::variables_map Given;
  options::store(options::parse_command_line(Count, Arguments, Known), Given);
  options::notify(Given);
  if (Given.count("help") != 0) {
    std::cout << Known;
    return 0;
  }
  return runSoak(Given);
}
