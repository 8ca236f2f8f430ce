#include "Benchmarks/Traffic/LoadRun.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

namespace {

namespace options = boost::program_options;
namespace traffic = bronzepass::benchmarks::traffic;

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;
constexpr uint32_t MaxRequests = 200000;

options::options_description describeOptions() {
  options::options_description Known(
      "Usage: bronzepass-load --node-port P --engine-port E [options]\n"
      "Streams chat completions through a node and straight from its engine, "
      "in turn,\nover loopback, and prints the time that the node adds.\n\n"
      "Options");
  options::options_description_easy_init Add = Known.add_options();
  Add("help", "Show this text");
  Add("node-port", options::value<uint16_t>()->required(),
      "A node's callers' port on 127.0.0.1");
  Add("engine-port", options::value<uint16_t>()->required(),
      "An engine's port on 127.0.0.1");
  Add("model", options::value<std::string>()->default_value("gas"),
      "Model as callers name it");
  Add("artifact", options::value<std::string>()->default_value("gas@1"),
      "The same model as the engine names it");
  Add("rate", options::value<uint32_t>()->default_value(1000),
      "Requests a second through the node");
  Add("direct-rate", options::value<uint32_t>()->default_value(100),
      "Requests a second straight from the engine, meanwhile");
  Add("seconds", options::value<uint32_t>()->default_value(5),
      "How long to send");
  Add("tokens", options::value<uint32_t>()->default_value(8),
      "Tokens of each answer");
  return Known;
}

traffic::LoadPlan planFrom(const options::variables_map &Given,
                           const char *Port, const char *ModelName,
                           const char *Rate) {
  traffic::LoadPlan Plan;
  Plan.m_Address = {"127.0.0.1", Given[Port].as<uint16_t>()};
  Plan.m_ModelName = Given[ModelName].as<std::string>();
  Plan.m_RequestsPerSecond = Given[Rate].as<uint32_t>();
  Plan.m_Requests = std::min(
      Plan.m_RequestsPerSecond * Given["seconds"].as<uint32_t>(), MaxRequests);
  Plan.m_Tokens = Given["tokens"].as<uint32_t>();
  return Plan;
}

double millis(std::chrono::microseconds Value) {
  return static_cast<double>(Value.count()) / 1000;
}

void printRow(const char *Name, const traffic::LoadResult &Result) {
  std::printf("%-10s %8zu %7u %8u %10.3f %10.3f %10.3f %10.3f\n", Name,
              Result.m_TimesToEnd.size(), Result.m_Broken, Result.m_Crossed,
              millis(traffic::percentile(Result.m_TimesToFirstChunk, 50)),
              millis(traffic::percentile(Result.m_TimesToFirstChunk, 99)),
              millis(traffic::percentile(Result.m_TimesToEnd, 50)),
              millis(traffic::percentile(Result.m_TimesToEnd, 99)));
  if (Result.m_Broken != 0)
    std::printf("  first broken: %s\n", Result.m_FirstError.c_str());
}

void printAddedLatency(const traffic::LoadResult &Node,
                       const traffic::LoadResult &Direct) {
  const std::chrono::microseconds Median =
      traffic::percentile(Node.m_TimesToFirstChunk, 50) -
      traffic::percentile(Direct.m_TimesToFirstChunk, 50);
  const std::chrono::microseconds Tail =
      traffic::percentile(Node.m_TimesToFirstChunk, 99) -
      traffic::percentile(Direct.m_TimesToFirstChunk, 99);
  std::printf("added to the first token: median %.3f ms, 99 in 100 %.3f ms\n",
              millis(Median), millis(Tail));
}

int runTool(int Count, char **Arguments) {
  const options::options_description Known = describeOptions();
  options::variables_map Given;
  options::store(options::parse_command_line(Count, Arguments, Known), Given);
  if (Given.count("help") != 0) {
    std::cout << Known;
    return 0;
  }
  options::notify(Given);
  const std::vector<traffic::LoadPlan> Plans = {
      planFrom(Given, "node-port", "model", "rate"),
      planFrom(Given, "engine-port", "artifact", "direct-rate")};
  const std::vector<traffic::LoadResult> Results = traffic::runLoads(Plans);
  std::printf("%-10s %8s %7s %8s %10s %10s %10s %10s\n", "way", "whole",
              "broken", "crossed", "first p50", "first p99", "whole p50",
              "whole p99");
  printRow("node", Results[0]);
  printRow("direct", Results[1]);
  printAddedLatency(Results[0], Results[1]);
  return Results[0].m_Crossed + Results[0].m_Broken == 0 ? 0 : ExitFailure;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return runTool(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "bronzepass-load: " << Error.what() << "\n";
    return ExitUsage;
  }
}
