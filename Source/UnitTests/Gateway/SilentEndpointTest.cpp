#include "UnitTests/Gateway/RelayFixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using gateway::SendRequest;
using gateway::SendResult;

constexpr model::Duration Silence = 1s;
constexpr model::Duration AnswerTime = 20ms;
constexpr model::Duration Step = 20ms;
/// What an endpoint that was silent gets of its even share of the requests.
constexpr double MinShare = 0.9;

/// Four endpoints that answer in 20 ms, of which one is silent for a second.
/// Callers wait for \p Window.
class SilentEndpointDay {
public:
  SilentEndpointDay(uint64_t Seed, model::Duration Window) : m_Relay(Seed) {
    gateway::GatewayConfig Config = RelayFixture::config();
    for (gateway::RouteSpec &Each : Config.m_Routes)
      Each.m_Timeout = Window;
    m_Relay.m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
    std::vector<gateway::EndpointEntry> Entries;
    for (const char *const Id : {"a", "b", "c", "d"})
      Entries.push_back(RelayFixture::endpoint(Id));
    m_Relay.setEndpoints(Entries);
  }

  /// Returns the requests that the silent endpoint got, as a share of a quarter
  /// of all, in \p Span after its silence.
  double shareAfter(model::Duration Span) {
    run(2s);
    m_SilentUntil = m_Relay.m_Now + Silence;
    run(Silence + 100ms);
    m_Sent = m_SentToSilent = 0;
    run(Span);
    return 4.0 * static_cast<double>(m_SentToSilent) /
           static_cast<double>(m_Sent);
  }

private:
  struct Open {
    SendRequest m_Send;
    model::TimePoint m_AnswerAt;
  };

  void run(model::Duration Span) {
    const model::TimePoint End = m_Relay.m_Now + Span;
    while (m_Relay.m_Now < End) {
      for (int I = 0; I < 2; ++I)
        m_Relay.ask("/again/");
      takeSends();
      m_Relay.advance(Step);
      for (const gateway::CancelSend &Each :
           m_Relay.take<gateway::CancelSend>())
        std::erase_if(m_Open, [&](const Open &Sent) {
          return Sent.m_Send.m_Attempt == Each.m_Attempt;
        });
      takeSends();
      for (size_t I = 0; I < m_Open.size();) {
        const Open Due = m_Open[I];
        if (m_Relay.m_Now < Due.m_AnswerAt) {
          ++I;
          continue;
        }
        m_Open.erase(m_Open.begin() + static_cast<std::ptrdiff_t>(I));
        m_Relay.m_Core.onAnswerChunk(Due.m_Send.m_Attempt, m_Relay.m_Now);
        m_Relay.finishSend(Due.m_Send.m_Attempt, SendResult::Completed);
        takeSends();
      }
    }
  }

  void takeSends() {
    for (const SendRequest &Each : m_Relay.take<SendRequest>()) {
      const bool IsSilentOne = Each.m_Endpoint == model::EndpointId("a");
      ++m_Sent;
      m_SentToSilent += IsSilentOne ? 1 : 0;
      model::TimePoint At = m_Relay.m_Now + AnswerTime;
      if (IsSilentOne && m_Relay.m_Now < m_SilentUntil)
        At = m_SilentUntil;
      m_Open.push_back({Each, At});
    }
  }

  RelayFixture m_Relay;
  std::vector<Open> m_Open;
  model::TimePoint m_SilentUntil;
  size_t m_Sent = 0;
  size_t m_SentToSilent = 0;
};

} // namespace

// Guards against holding a second of silence against a sound endpoint.
TEST_CASE("an endpoint that was silent for a second gets its share again") {
  for (const model::Duration Window : {600ms, 10000ms})
    for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
      CAPTURE(Window.count());
      CAPTURE(Seed);
      CHECK(SilentEndpointDay(Seed, Window).shareAfter(2s) >= MinShare);
    }
}

} // namespace bronzepass::unit_tests
