#include "Core/Cli/CommandLine.h"

#include <iostream>
#include <string>
#include <vector>

int main(int Count, char **Words) {
  using namespace bronzepass::core::cli;
  const CommandLine Line(allCommands());
  const std::vector<std::string> Arguments(Words + 1, Words + Count);
  return static_cast<int>(Line.run(Arguments, std::cout, std::cerr));
}
