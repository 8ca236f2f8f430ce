#include "platform/JsonPieces.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace bronzepass::platform {

namespace {

using nlohmann::json;

/// A random value with brackets, quotes and commas in its strings.
json randomValue(std::mt19937_64 &Random, int Depth) {
  switch (Random() % (Depth > 0 ? 6 : 4)) {
  case 0:
    return Random();
  case 1:
    return nullptr;
  case 2:
    return Random() % 2 == 0;
  case 3: {
    std::string Text;
    for (uint64_t I = Random() % 8; I > 0; --I)
      Text += "\"\\{}[],: a"[Random() % 11];
    return Text;
  }
  case 4: {
    json List = json::array();
    for (uint64_t I = Random() % 4; I > 0; --I)
      List.push_back(randomValue(Random, Depth - 1));
    return List;
  }
  default: {
    json Object = json::object();
    for (uint64_t I = Random() % 4; I > 0; --I)
      Object["k" + std::to_string(Random() % 9)] =
          randomValue(Random, Depth - 1);
    return Object;
  }
  }
}

} // namespace

TEST_CASE("pieces of 10,000 random texts are what the parser finds there") {
  std::mt19937_64 Random(1);
  for (int I = 0; I < 10000; ++I) {
    json Whole = {{"a", randomValue(Random, 4)}, {"b", json::array()}};
    for (uint64_t J = Random() % 5; J > 0; --J)
      Whole["b"].push_back(randomValue(Random, 4));
    const std::string Text = Whole.dump(Random() % 2 == 0 ? -1 : 2);
    CAPTURE(Text);
    CHECK(parseJson(Text) == Whole);
    const auto Members = splitObject(Text);
    REQUIRE(Members);
    REQUIRE(Members->size() == 2);
    CHECK(parseJson(Members->at("a")) == Whole["a"]);
    const auto Elements = splitList(Members->at("b"));
    REQUIRE(Elements);
    REQUIRE(Elements->size() == Whole["b"].size());
    for (size_t J = 0; J < Elements->size(); ++J)
      CHECK(parseJson((*Elements)[J]) == Whole["b"][J]);
  }
}

TEST_CASE("texts that are cut off or changed at random places are read without "
          "harm") {
  std::mt19937_64 Random(2);
  const std::string Sound =
      R"({"items":[{"Metadata":{"Name":"a","Revision":5},"Spec":{"x":[1,"\"]"]}}],"At":6})";
  for (int I = 0; I < 100000; ++I) {
    std::string Text = Sound.substr(0, Random() % (Sound.size() + 1));
    for (uint64_t J = Random() % 4; J > 0 && !Text.empty(); --J)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    const auto Members = splitObject(Text);
    if (Members && Members->contains("items"))
      if (const auto Elements = splitList(Members->at("items")))
        for (const std::string_view Each : *Elements)
          splitObject(Each);
    splitList(Text);
    parseJson(Text);
  }
}

TEST_CASE("nesting is bounded") {
  const std::string Deepest(MaxJsonNesting, '[');
  CHECK(parseJson(Deepest + std::string(MaxJsonNesting, ']')));
  CHECK_FALSE(parseJson("[" + Deepest + std::string(MaxJsonNesting + 1, ']')));
  CHECK_FALSE(splitObject(std::string(1000000, '{')));
  CHECK_FALSE(splitList(std::string(1000000, '[')));
}

} // namespace bronzepass::platform
