#include "Core/Membership/IntentFetch.h"
#include "Core/Membership/IntentParts.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <doctest/doctest.h>

using namespace bronzepass::core;
using namespace std::chrono_literals;
using bronzepass::core::membership::IntentFetch;
using bronzepass::core::membership::PartMap;

namespace bronzepass::unit_tests::membership {

namespace {

const model::NodeId Slow("slow");
const model::NodeId Quick("quick");

/// Fetches an intent of about thirty parts, none of them held, and records the
/// calls made.
struct FetchFixture {
  FetchFixture() {
    std::string Text;
    for (int I = 0; I < 30'000; ++I)
      Text += "- name: model-" + std::to_string(I) + "\n";
    m_Document = bronzepass::core::membership::splitIntent(Text);
    m_Fetch.emplace(
        m_Document.m_Head, PartMap(),
        [this](const ports::StoreCall &Call) {
          m_Calls.push_back(Call);
          return model::CallId{m_Calls.size()};
        },
        m_Random, m_Now);
  }

  void tick(model::Duration Span) {
    m_Now += Span;
    m_Fetch->tick(m_Now, m_Effects);
  }

  /// The peer to which the last request for parts was sent.
  model::NodeId lastAsked() const {
    for (auto It = m_Effects.rbegin(); It != m_Effects.rend(); ++It)
      if (const auto *Send = std::get_if<ports::PeerSend>(&*It))
        return Send->m_To;
    return {};
  }

  model::IntentDocument m_Document;
  fakes::FixedRandom m_Random{1};
  model::TimePoint m_Now;
  ports::EffectList m_Effects;
  std::vector<ports::StoreCall> m_Calls;
  std::optional<IntentFetch> m_Fetch;
};

} // namespace

TEST_CASE(
    "a peer that offers a generation and then stops answering is skipped") {
  FetchFixture F;
  F.m_Fetch->addPeer(Slow);
  F.m_Fetch->addPeer(Quick);
  F.tick(0s);
  CHECK(F.lastAsked() == Slow);
  F.tick(1s);
  CHECK(F.lastAsked() == Quick);
}

TEST_CASE(
    "a fetch continues when the peer it requested parts from disconnects") {
  FetchFixture F;
  F.m_Fetch->addPeer(Slow);
  F.m_Fetch->addPeer(Quick);
  F.tick(0s);
  F.m_Fetch->removePeer(Slow);
  for (const model::IntentPart &Part : F.m_Document.m_Parts) {
    F.tick(1ms);
    F.m_Fetch->onPartReceived(Part, F.m_Now, F.m_Effects);
  }
  CHECK(F.lastAsked() == Quick);
  CHECK(F.m_Fetch->isComplete());
}

TEST_CASE("parts are read from the object API if no peer sends them") {
  FetchFixture F;
  F.m_Fetch->addPeer(Slow);
  F.tick(0s);
  F.tick(1s);
  CHECK(F.m_Calls.empty());
  F.tick(3s);
  CHECK(F.m_Calls.size() == 4);
}

TEST_CASE(
    "parts that were not requested or don't match their hash are dropped") {
  FetchFixture F;
  F.m_Fetch->addPeer(Quick);
  F.tick(0s);
  F.m_Fetch->onPartReceived({1, "unknown"}, F.m_Now, F.m_Effects);
  F.m_Fetch->onPartReceived({F.m_Document.m_Parts[0].m_Hash, "damaged"},
                            F.m_Now, F.m_Effects);
  CHECK(F.m_Fetch->parts().empty());
}

TEST_CASE("a part deleted from the object API makes the fetch superseded") {
  FetchFixture F;
  F.m_Fetch->allowStore();
  F.tick(0s);
  CHECK(F.m_Fetch->onStoreAnswer(
      {.m_Id = {1}, .m_Status = ports::StoreStatus::NotFound}, F.m_Now));
  CHECK(F.m_Fetch->isSuperseded());
}

} // namespace bronzepass::unit_tests::membership
