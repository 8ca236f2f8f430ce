#include "Benchmarks/Membership/IntentText.h"

namespace bronzepass::benchmarks::membership {

namespace {

constexpr int EnginesPerPool = 120;

std::string engineLine(int Number) {
  const std::string Name = std::to_string(Number);
  return "      - {name: engine-" + Name + ", vm: vm-engine-" + Name +
         ", address: \"10." + std::to_string(Number % 200) + "." +
         std::to_string(Number / 200) + ".9:8000\", failure-domain: domain-" +
         std::to_string(Number % 7) + ", region: region-" +
         std::to_string(Number % 7 % 3) +
         ", memory: 320GiB, accelerators: 4, slots: 32}\n";
}

} // namespace

std::string intentText(int Models, int Engines, int Edit) {
  std::string Text = "name: slopes\nmodels:\n";
  for (int I = 0; I < Models; ++I)
    Text += "  - name: model-" + std::to_string(I) + "\n    labels: {use: \"u" +
            std::to_string(I % 9) +
            "\"}\n    versions:\n      - {version: \"1\", memory: 14GiB, "
            "load-time: " +
            std::to_string(I == 17 ? 30 + Edit % 60 : 40) + "s}\n";
  Text += "pools:\n";
  for (int I = 0; I < Engines; ++I) {
    if (I % EnginesPerPool == 0)
      Text += "  - name: pool-" + std::to_string(I / EnginesPerPool) +
              "\n    kind: engine\n    endpoints:\n";
    Text += engineLine(I);
  }
  return Text;
}

} // namespace bronzepass::benchmarks::membership
