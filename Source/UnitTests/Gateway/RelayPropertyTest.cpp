#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using gateway::SendEnd;
using gateway::SendRequest;

/// Plays one seed: requests, endpoints that come and go, answers that fail in
/// every way, callers that leave; and checks each decision.
class RelayRun {
public:
  explicit RelayRun(uint64_t Seed) : m_Random(Seed), m_Relay(Seed) {
    m_Relay.start({"a", "b", "c"});
  }

  void play() {
    constexpr int Steps = 60;
    for (int I = 0; I < Steps; ++I) {
      step();
      check();
    }
    for (int I = 0; I < 20; ++I) {
      m_Relay.pass(1s);
      check();
    }
    CHECK(m_Relay.m_Core.live() <= m_LetRun.size());
    for (const auto &Each : m_Requests)
      CHECK((Each.second.m_Finals == 1 || Each.second.m_Gone));
  }

private:
  struct Known {
    std::string m_Path;
    model::TimePoint m_BeganAt;
    int m_MayHaveRun = 0;
    int m_Finals = 0;
    bool m_Begun = false;
    bool m_Gone = false;
    bool m_Live = false;
  };

  void step() {
    switch (m_Random() % 8) {
    case 0:
    case 1:
    case 2: {
      static const char *const Paths[] = {"/once/", "/again/", "/stream/",
                                          "/resume/"};
      const std::string Path = Paths[m_Random() % 4];
      Known New;
      New.m_Path = Path;
      New.m_BeganAt = m_Relay.m_Now;
      m_Requests[{m_Relay.m_Last + 1}] = New;
      m_Relay.ask(Path, m_Random() % 2 == 0 ? "m" : "");
      return;
    }
    case 3:
    case 4:
      endSome();
      return;
    case 5:
      changeEndpoints();
      return;
    case 6:
      leave();
      return;
    default:
      m_Relay.pass(std::chrono::milliseconds(m_Random() % 800));
    }
  }

  void endSome() {
    if (m_Sends.empty())
      return;
    auto Chosen = m_Sends.begin();
    std::advance(Chosen, m_Random() % m_Sends.size());
    const SendRequest Send = Chosen->second;
    m_Sends.erase(Chosen);
    Known &Request = m_Requests[Send.m_Request];
    static const SendEnd Ends[] = {SendEnd::NotSent,     SendEnd::NotRun,
                                   SendEnd::Misdirected, SendEnd::Failed,
                                   SendEnd::Whole,       SendEnd::Broken};
    SendEnd How = Ends[m_Random() % 6];
    const bool Stream =
        Request.m_Path == "/stream/" || Request.m_Path == "/resume/";
    if (Stream && m_Random() % 2 == 0) {
      // Its first events have come, then it ends one way or the other.
      m_Relay.m_Core.pieceCame(Send.m_Attempt, m_Relay.m_Now);
      if (!Request.m_Gone) {
        m_Relay.m_Core.callerAnswered(Send.m_Request);
        Request.m_Begun = true;
      }
      How = m_Random() % 2 == 0 ? SendEnd::Broken : SendEnd::Whole;
    }
    if (How == SendEnd::Failed || How == SendEnd::Whole ||
        How == SendEnd::Broken)
      ++Request.m_MayHaveRun;
    m_Relay.end(Send.m_Attempt, How, How == SendEnd::Whole ? 200 : 503);
  }

  void changeEndpoints() {
    std::vector<gateway::EndpointEntry> Entries;
    m_Usable.clear();
    for (const char *const Id : {"a", "b", "c", "d"}) {
      if (m_Random() % 3 == 0)
        continue;
      gateway::EndpointEntry Entry = RelayFixture::endpoint(Id);
      Entry.m_Draining = m_Random() % 4 == 0;
      if (!Entry.m_Draining)
        m_Usable.insert(Id);
      Entries.push_back(Entry);
    }
    m_Relay.setEndpoints(Entries);
  }

  void leave() {
    for (auto &Each : m_Requests) {
      if (Each.second.m_Finals != 0 || Each.second.m_Gone ||
          m_Random() % 3 != 0)
        continue;
      Each.second.m_Gone = true;
      m_Relay.m_Core.callerGone(Each.first, m_Relay.m_Now, m_Relay.m_Out);
      return;
    }
  }

  void check() {
    for (const gateway::RelayEffect &Each : m_Relay.m_Out)
      std::visit([this](const auto &Effect) { on(Effect); }, Each);
    m_Relay.m_Out.clear();
  }

  void on(const SendRequest &Effect) {
    Known &Request = m_Requests.at(Effect.m_Request);
    CHECK_FALSE(Request.m_Gone);
    CHECK(Request.m_Finals == 0);
    CHECK(m_Usable.contains(Effect.m_Endpoint.str()));
    CHECK(Effect.m_Remaining <=
          Request.m_BeganAt + model::Duration(10s) - m_Relay.m_Now);
    CHECK(Effect.m_Remaining > model::Duration::zero());
    const bool MayRepeat =
        Request.m_Path == "/again/" || Request.m_Path == "/resume/";
    CHECK(Request.m_MayHaveRun <= (MayRepeat ? 1 : 0));
    CHECK(Effect.m_Resume == Request.m_Begun);
    for (const auto &Other : m_Sends)
      CHECK(Other.second.m_Request != Effect.m_Request);
    m_Sends[Effect.m_Attempt] = Effect;
  }
  void on(const gateway::AbandonSend &Effect) {
    const auto Found = m_Sends.find(Effect.m_Attempt);
    if (Found == m_Sends.end())
      return;
    ++m_Requests[Found->second.m_Request].m_MayHaveRun;
    m_Sends.erase(Found);
  }
  void on(const gateway::PassAnswer &Effect) { final(Effect.m_Request); }
  void on(const gateway::CutAnswer &Effect) {
    CHECK(m_Requests[Effect.m_Request].m_Begun);
    final(Effect.m_Request);
  }
  void on(const gateway::RefuseAnswer &Effect) {
    const Known &Request = m_Requests[Effect.m_Request];
    CHECK_FALSE(Request.m_Begun);
    // "Not run, and never will".
    if (Effect.m_Status == 503) {
      CHECK(Request.m_MayHaveRun == 0);
      for (const auto &Each : m_Sends)
        CHECK(Each.second.m_Request != Effect.m_Request);
    }
    final(Effect.m_Request);
  }
  void on(const gateway::CopyWanted &) {}
  void on(const gateway::RelayNote &Effect) {
    if (Effect.m_Action == "gone" && !m_Requests[Effect.m_Request].m_Finals)
      m_LetRun.insert(Effect.m_Request);
  }

  void final(model::RequestId Request) {
    CHECK_FALSE(m_Requests[Request].m_Gone);
    ++m_Requests[Request].m_Finals;
    CHECK(m_Requests[Request].m_Finals == 1);
  }

  std::mt19937_64 m_Random;
  RelayFixture m_Relay;
  std::map<model::RequestId, Known> m_Requests;
  std::map<model::AttemptId, SendRequest> m_Sends;
  std::set<std::string> m_Usable = {"a", "b", "c"};
  std::set<model::RequestId> m_LetRun;
};

} // namespace

TEST_CASE("each request has one true end over 10,000 interleavings") {
  constexpr uint64_t Seeds = 10000;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RelayRun(Seed).play();
  }
}

} // namespace bronzepass::unit_tests
