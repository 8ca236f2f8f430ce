#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using gateway::SendRequest;
using gateway::SendResult;

/// Simulates one seed: requests, endpoints that are added and removed, answers
/// that fail in every way, callers that disconnect. Checks every decision.
class RelaySimulation {
public:
  explicit RelaySimulation(uint64_t Seed) : m_Random(Seed), m_Relay(Seed) {
    m_Relay.start({"a", "b", "c"});
  }

  void run() {
    constexpr int Steps = 60;
    for (int I = 0; I < Steps; ++I) {
      step();
      checkEffects();
    }
    for (int I = 0; I < 20; ++I) {
      m_Relay.advance(1s);
      checkEffects();
    }
    CHECK(m_Relay.m_Core.activeRequestCount() <= m_LeftToFinish.size());
    for (const auto &Each : m_Requests)
      CHECK((Each.second.m_FinalEffects == 1 ||
             Each.second.m_CallerDisconnected));
  }

private:
  struct TrackedRequest {
    std::string m_Path;
    model::TimePoint m_BeganAt;
    int m_PossibleRuns = 0;
    int m_FinalEffects = 0;
    bool m_ForwardingStarted = false;
    bool m_CallerDisconnected = false;
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
      TrackedRequest New;
      New.m_Path = Path;
      New.m_BeganAt = m_Relay.m_Now;
      m_Requests[{m_Relay.m_Last + 1}] = New;
      m_Relay.ask(Path, m_Random() % 2 == 0 ? "m" : "");
      return;
    }
    case 3:
    case 4:
      finishRandomSend();
      return;
    case 5:
      changeEndpoints();
      return;
    case 6:
      disconnectCaller();
      return;
    default:
      m_Relay.advance(std::chrono::milliseconds(m_Random() % 800));
    }
  }

  void finishRandomSend() {
    if (m_Sends.empty())
      return;
    auto Chosen = m_Sends.begin();
    std::advance(Chosen, m_Random() % m_Sends.size());
    const SendRequest Send = Chosen->second;
    m_Sends.erase(Chosen);
    TrackedRequest &Request = m_Requests[Send.m_Request];
    static const SendResult Ends[] = {
        SendResult::NotSent, SendResult::NotRun,    SendResult::Misdirected,
        SendResult::Failed,  SendResult::Completed, SendResult::Broken};
    SendResult Result = Ends[m_Random() % 6];
    if (m_Random() % 2 == 0) {
      // The first events of a stream, or a part of a long answer, were
      // forwarded; then it breaks or completes.
      m_Relay.m_Core.onAnswerChunk(Send.m_Attempt, m_Relay.m_Now);
      if (!Request.m_CallerDisconnected) {
        m_Relay.m_Core.onAnswerForwarded(Send.m_Request, m_Relay.m_Now);
        Request.m_ForwardingStarted = true;
      }
      Result = m_Random() % 2 == 0 ? SendResult::Broken : SendResult::Completed;
    }
    if (Result == SendResult::Failed || Result == SendResult::Completed ||
        Result == SendResult::Broken)
      ++Request.m_PossibleRuns;
    m_Relay.finishSend(Send.m_Attempt, Result,
                       Result == SendResult::Completed ? 200 : 503);
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

  void disconnectCaller() {
    for (auto &Each : m_Requests) {
      if (Each.second.m_FinalEffects != 0 || Each.second.m_CallerDisconnected ||
          m_Random() % 3 != 0)
        continue;
      Each.second.m_CallerDisconnected = true;
      m_Relay.m_Core.onCallerDisconnected(Each.first, m_Relay.m_Now,
                                          m_Relay.m_Out);
      return;
    }
  }

  void checkEffects() {
    for (const gateway::RelayEffect &Each : m_Relay.m_Out)
      std::visit([this](const auto &Effect) { on(Effect); }, Each);
    m_Relay.m_Out.clear();
    withdrawSends();
  }

  /// Some sends whose callers have left can be taken back.
  void withdrawSends() {
    for (const model::AttemptId &Each : std::exchange(m_ToWithdraw, {})) {
      if (m_Random() % 2 == 0 || m_Sends.erase(Each) == 0)
        continue;
      m_Relay.m_Core.onSendWithdrawn(Each, m_Random() % 2 == 0, m_Relay.m_Now,
                                     m_Relay.m_Out);
    }
  }

  void on(const gateway::QuarantineChange & /*Effect*/) {}
  void on(const gateway::ConfirmEndpoints & /*Effect*/) {}
  void on(const gateway::StatementChange & /*Effect*/) {}
  void on(const gateway::PauseBegun & /*Effect*/) {}
  void on(const gateway::LinksChange & /*Effect*/) {}
  void on(const gateway::AskQuotas & /*Effect*/) {}
  void on(const gateway::ProofChange & /*Effect*/) {}
  void on(const gateway::PaceChange & /*Effect*/) {}
  void on(const SendRequest &Effect) {
    TrackedRequest &Request = m_Requests.at(Effect.m_Request);
    CHECK_FALSE(Request.m_CallerDisconnected);
    CHECK(Request.m_FinalEffects == 0);
    CHECK(m_Usable.contains(Effect.m_Endpoint.str()));
    CHECK(Effect.m_Remaining <=
          Request.m_BeganAt + model::Duration(10s) - m_Relay.m_Now);
    CHECK(Effect.m_Remaining > model::Duration::zero());
    const bool MayRepeat =
        Request.m_Path == "/again/" || Request.m_Path == "/resume/";
    CHECK(Request.m_PossibleRuns <= (MayRepeat ? 1 : 0));
    CHECK(Effect.m_Resume == Request.m_ForwardingStarted);
    if (Request.m_ForwardingStarted)
      CHECK(Request.m_Path == "/resume/");
    for (const auto &Other : m_Sends)
      CHECK(Other.second.m_Request != Effect.m_Request);
    m_Sends[Effect.m_Attempt] = Effect;
  }
  void on(const gateway::CancelSend &Effect) {
    const auto Found = m_Sends.find(Effect.m_Attempt);
    if (Found == m_Sends.end())
      return;
    ++m_Requests[Found->second.m_Request].m_PossibleRuns;
    m_Sends.erase(Found);
  }
  void on(const gateway::WithdrawSend &Effect) {
    m_ToWithdraw.push_back(Effect.m_Attempt);
  }
  void on(const gateway::ForwardAnswer &Effect) { final(Effect.m_Request); }
  void on(const gateway::AbortAnswer &Effect) {
    CHECK(m_Requests[Effect.m_Request].m_ForwardingStarted);
    final(Effect.m_Request);
  }
  void on(const gateway::RejectRequest &Effect) {
    const TrackedRequest &Request = m_Requests[Effect.m_Request];
    CHECK_FALSE(Request.m_ForwardingStarted);
    // 503 means that the request has not run and will not.
    if (Effect.m_Status == 503) {
      CHECK(Request.m_PossibleRuns == 0);
      for (const auto &Each : m_Sends)
        CHECK(Each.second.m_Request != Effect.m_Request);
    }
    final(Effect.m_Request);
  }
  void on(const gateway::CopyRequest &) {}
  void on(const gateway::RelayLogEntry &Effect) {
    if (Effect.m_Action == "gone" &&
        !m_Requests[Effect.m_Request].m_FinalEffects)
      m_LeftToFinish.insert(Effect.m_Request);
  }

  void final(model::RequestId Request) {
    CHECK_FALSE(m_Requests[Request].m_CallerDisconnected);
    ++m_Requests[Request].m_FinalEffects;
    CHECK(m_Requests[Request].m_FinalEffects == 1);
  }

  std::mt19937_64 m_Random;
  RelayFixture m_Relay;
  std::map<model::RequestId, TrackedRequest> m_Requests;
  std::map<model::AttemptId, SendRequest> m_Sends;
  std::set<std::string> m_Usable = {"a", "b", "c"};
  std::set<model::RequestId> m_LeftToFinish;
  std::vector<model::AttemptId> m_ToWithdraw;
};

} // namespace

TEST_CASE("each request ends exactly once, truthfully, over 10,000 "
          "interleavings") {
  constexpr uint64_t Seeds = 10000;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    RelaySimulation(Seed).run();
  }
}

} // namespace bronzepass::unit_tests
