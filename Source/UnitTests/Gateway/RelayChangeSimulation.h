#ifndef BRONZEPASS_UNITTESTS_GATEWAY_RELAYCHANGESIMULATION_H
#define BRONZEPASS_UNITTESTS_GATEWAY_RELAYCHANGESIMULATION_H

#include "Core/Gateway/RelayCore.h"
#include "UnitTests/Fakes/FixedRandom.h"
#include "UnitTests/Gateway/RandomDeployment.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::unit_tests {

/// A RelayCore whose configuration, endpoints, quotas, links and peers change
/// in the middle of requests. Checks all that it does.
class RelayChangeSimulation {
public:
  explicit RelayChangeSimulation(uint64_t Seed);

  void run();
  /// Rules that were broken, with what broke them.
  const std::vector<std::string> &broken() const { return m_Broken; }
  /// How often each kind of event came up that the rules are about.
  const std::map<std::string, uint64_t> &seen() const { return m_Seen; }

private:
  struct TrackedRequest {
    gateway::RelayRequest m_Request;
    /// As it was when the request was received; nullopt if it has none.
    std::optional<gateway::RouteSpec> m_Route;
    model::TimePoint m_Deadline;
    uint32_t m_PossibleRuns = 0;
    bool m_HasBegun = false;
    /// The last send ended in a whole answer.
    bool m_HasAnswer = false;
    bool m_HasLeft = false;
    bool m_HasEnded = false;
    model::AttemptId m_Attempt;
  };
  struct Send {
    gateway::SendRequest m_Sent;
    /// Part of its answer reached the caller.
    bool m_HasBegun = false;
  };

  void step();
  void ask();
  void change();
  void changeTable();
  void changeEndpoints();
  void hearEndpoint();
  void finishSend();
  gateway::SendOutcome nextOutcome(const Send &Ended);
  void loseCaller();
  void askQuotas();
  void answerQuotas();
  void stopNode();
  void pass(model::Duration Span, bool Ticks);
  void expect(bool Holds, const std::string &Rule, model::RequestId Request);

  void check();
  void on(const gateway::SendRequest &Effect);
  void on(const gateway::CancelSend &Effect);
  void on(const gateway::ForwardAnswer &Effect);
  void on(const gateway::RejectRequest &Effect);
  void on(const gateway::AbortAnswer &Effect);
  void on(const gateway::AskQuotas &Effect);
  void on(const gateway::RelayLogEntry &Effect);
  template <typename OtherT> void on(const OtherT &) {}
  void end(TrackedRequest &Request);
  bool mayBeSent(const TrackedRequest &Request) const;
  bool isProven() const;
  static bool mayRepeat(const TrackedRequest &Request);
  static uint32_t maxRuns(const TrackedRequest &Request);

  RandomDeployment m_Deployment;
  gateway::RelaySettings m_Settings;
  fakes::FixedRandom m_Random;
  std::unique_ptr<gateway::RelayCore> m_Core;
  model::TimePoint m_Now = model::TimePoint(std::chrono::seconds(100));
  gateway::RelayEffectList m_Out;
  std::shared_ptr<const gateway::RouteTable> m_Table;
  /// Endpoints that may be sent to, and their services.
  std::map<model::EndpointId, std::string> m_Usable;
  std::map<model::RequestId, TrackedRequest> m_Requests;
  std::map<model::AttemptId, Send> m_Sends;
  std::vector<organisations::QuotaNotice> m_Asked;
  std::optional<model::TimePoint> m_ProvenAt;
  std::optional<model::TimePoint> m_StopEnd;
  bool m_LinksLost = false;
  uint64_t m_LastRequest = 0;
  std::map<std::string, uint64_t> m_Seen;
  std::vector<std::string> m_Broken;
};

} // namespace bronzepass::unit_tests

#endif // BRONZEPASS_UNITTESTS_GATEWAY_RELAYCHANGESIMULATION_H
