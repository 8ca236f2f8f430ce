#include "Core/Node/ResidencyGossip.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::node {

using namespace core;
using core::node::ResidencyTable;
using core::node::ResidencyGossip;
using namespace std::chrono_literals;

namespace {

const model::NodeId PeerA("a.1");
const model::NodeId PeerB("b.1");
const model::EndpointId Engine("engine-1");
const model::TimePoint Start(1h);

model::EngineReport reportAt(model::TimePoint MadeAt) {
  return {
      .m_Endpoint = Engine,
      .m_MadeAt = MadeAt,
      .m_Copies = {
          {{model::ModelId("gas"), "1", {}}, model::CopyState::Serving, 1}}};
}

ports::ResidencyOffer offerAt(model::TimePoint MadeAt) {
  return {{{Engine, MadeAt}}};
}

/// The messages of one type with whom they go to.
template <typename MessageT>
std::vector<std::pair<model::NodeId, MessageT>>
sent(const ports::EffectList &Effects) {
  std::vector<std::pair<model::NodeId, MessageT>> Found;
  for (const ports::Effect &Each : Effects)
    if (const auto *Send = std::get_if<ports::PeerSend>(&Each))
      if (const auto *Message = std::get_if<MessageT>(&Send->m_Message))
        Found.emplace_back(Send->m_To, *Message);
  return Found;
}

} // namespace

TEST_CASE("a report offered by two neighbours is fetched once; where the first "
          "falls silent, from the second") {
  const ResidencyTable Book;
  ResidencyGossip Relay(Book);
  Relay.setNeighbours({PeerA, PeerB});
  ports::EffectList Effects;
  Relay.offerReceived(PeerA, offerAt(Start), Start, Effects);
  Relay.offerReceived(PeerB, offerAt(Start), Start, Effects);
  const auto First = sent<ports::ResidencyRequest>(Effects);
  REQUIRE(First.size() == 1);
  CHECK(First[0].first == PeerA);
  Effects.clear();
  Relay.tick(Start + 500ms, Effects);
  CHECK(sent<ports::ResidencyRequest>(Effects).empty());
  Relay.tick(Start + 1500ms, Effects);
  const auto Second = sent<ports::ResidencyRequest>(Effects);
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].first == PeerB);
}

TEST_CASE("a change is offered to the others, not to who gave or offered it; a "
          "new neighbour is offered everything") {
  ResidencyTable Book;
  ResidencyGossip Relay(Book);
  const model::NodeId PeerC("c.1");
  Relay.setNeighbours({PeerA, PeerB, PeerC});
  Book.take(reportAt(Start));
  Relay.taken(Engine, true, &PeerA);
  ports::EffectList Effects;
  Relay.offerReceived(PeerB, offerAt(Start), Start, Effects);
  Relay.tick(Start, Effects);
  const auto Offers = sent<ports::ResidencyOffer>(Effects);
  REQUIRE(Offers.size() == 1);
  CHECK(Offers[0].first == PeerC);
  CHECK(sent<ports::ResidencyRequest>(Effects).empty());

  Effects.clear();
  Relay.forget(PeerA);
  Relay.setNeighbours({PeerA, PeerB, PeerC});
  Relay.tick(Start + 1s, Effects);
  const auto Again = sent<ports::ResidencyOffer>(Effects);
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].first == PeerA);
  CHECK(Again[0].second == offerAt(Start));
}

TEST_CASE("what is wanted is sent as it is known, and an old offer is left") {
  ResidencyTable Book;
  ResidencyGossip Relay(Book);
  Book.take(reportAt(Start));
  ports::EffectList Effects;
  Relay.wantedReceived(PeerA, {{Engine, model::EndpointId("unknown")}},
                       Effects);
  const auto Shares = sent<ports::ResidencyReply>(Effects);
  REQUIRE(Shares.size() == 1);
  CHECK(Shares[0].second.m_Reports ==
        std::vector<model::EngineReport>{reportAt(Start)});
  Effects.clear();
  Relay.offerReceived(PeerA, offerAt(Start - 1s), Start, Effects);
  CHECK(Effects.empty());
}

} // namespace bronzepass::unit_tests::node
