#include "Core/Cli/CommandLine.h"

#include <iostream>
#include <string>
#include <vector>

int main(int Argc, char **Argv) {
  using namespace bronzepass::core::cli;
  const CommandLine Line(allCommands());
  const std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  return static_cast<int>(Line.run(Arguments, std::cout, std::cerr));
}
