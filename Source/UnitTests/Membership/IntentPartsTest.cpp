#include "Core/Membership/IntentParts.h"

#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace bronzepass::core;
using bronzepass::core::membership::joinIntent;
using bronzepass::core::membership::splitIntent;

namespace bronzepass::unit_tests::membership {

namespace {

/// Lines of random length, some of them repeated; the last may lack a line end.
std::string randomText(std::mt19937_64 &Random) {
  std::string Text;
  const size_t Lines = Random() % 2000;
  for (size_t I = 0; I < Lines; ++I) {
    const bool IsRepeated = Random() % 3 == 0;
    const size_t Length =
        Random() % 500 == 0 ? Random() % 200'000 : Random() % 60;
    Text +=
        IsRepeated ? "    labels:" : std::string(Length, 'a' + Random() % 26);
    Text += "\n";
  }
  return Random() % 2 ? Text + "last line" : Text;
}

std::string manyModels(int Count) {
  std::string Text = "models:\n";
  for (int I = 0; I < Count; ++I)
    Text +=
        "  - name: model-" + std::to_string(I) +
        "\n    memory: 14GiB\n    min-copies: 1\n    labels:\n      team: " +
        std::to_string(I % 9) + "\n";
  return Text;
}

} // namespace

TEST_CASE("splitting and joining returns any text, in parts within the limit") {
  std::mt19937_64 Random(5);
  for (int I = 0; I < 200; ++I) {
    const std::string Text = randomText(Random);
    const model::IntentDocument Document = splitIntent(Text);
    CHECK(joinIntent(Document) == Text);
    for (const model::IntentPart &Part : Document.m_Parts)
      CHECK(Part.m_Text.size() <= core::membership::MaxPartBytes);
  }
}

TEST_CASE("a small edit changes few parts, wherever it is") {
  const std::string Text = manyModels(5000);
  const model::IntentDocument Before = splitIntent(Text);
  const std::set<uint64_t> Old(Before.m_Head.m_PartHashes.begin(),
                               Before.m_Head.m_PartHashes.end());
  REQUIRE(Old.size() > 20);
  std::mt19937_64 Random(6);
  size_t Changed = 0;
  constexpr size_t Edits = 200;
  for (size_t I = 0; I < Edits; ++I) {
    std::string Edited = Text;
    const size_t Line = Text.find('\n', Random() % (Text.size() / 2)) + 1;
    Edited.insert(Line, "      added: line\n");
    for (const uint64_t Hash : splitIntent(Edited).m_Head.m_PartHashes)
      Changed += !Old.contains(Hash);
  }
  CHECK(Changed <= 2 * Edits);
}

TEST_CASE("an intent with a missing or altered part is not joined") {
  model::IntentDocument Document = splitIntent(manyModels(1000));
  REQUIRE(Document.m_Parts.size() > 1);
  model::IntentDocument Altered = Document;
  Altered.m_Parts[1].m_Text[0] ^= 1;
  CHECK_FALSE(joinIntent(Altered));
  Document.m_Parts.pop_back();
  CHECK_FALSE(joinIntent(Document));
}

} // namespace bronzepass::unit_tests::membership
