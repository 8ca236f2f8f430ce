#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayTraffic.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/EndpointRegistry.h"
#include "Core/Gateway/ObjectFeed.h"
#include "Core/Leases/LeaseKeeper.h"
#include "Core/Leases/StoreGovernor.h"
#include "Core/Ports/Ports.h"
#include "Core/Residency/ResidencyCore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::gateway {

struct ControlOptions {
  model::Address m_Store;
  core::gateway::NodeEntry m_Self;
  leases::LeaseSettings m_Lease;
  residency::ResidencySettings m_Residency;
};

/// The control thread of a node: follows configuration, endpoints and nodes in
/// the platform's store, tries for the placement lease, and places models while
/// it holds it.
class GatewayControl : public TrafficEvents {
public:
  GatewayControl(ControlOptions Options, const core::gateway::Dialect &Dialect,
                 const ports::Clock &Clock, GatewayLog &Log);
  ~GatewayControl() override;

  /// \p Traffic outlives the thread.
  void start(GatewayTraffic &Traffic);
  void join() { m_Thread.stop(); }
  /// Gives the lease back and takes this node's entry out; calls \p OnStopped.
  void stop(std::function<void()> OnStopped);

  void demandSeen(const model::NodeId &Node, uint64_t Start,
                  std::vector<core::gateway::UseCount> Uses) override;
  void copyWanted(const core::gateway::CopyWanted &Wanted) override;
  void peersHeard(std::vector<model::NodeId> Nodes) override;

private:
  using CallDone = std::function<void(const core::gateway::HttpResult &)>;
  struct Feed {
    Feed(core::gateway::FeedKind Kind, const char *Name,
         const core::gateway::FeedSettings &Settings, ports::Random &Dice)
        : m_Kind(Kind), m_Name(Name), m_Feed(Settings, Dice) {}
    core::gateway::FeedKind m_Kind;
    const char *m_Name;
    core::gateway::ObjectFeed m_Feed;
    bool m_ToldFailing = false;
  };

  void tick();
  void call(const model::Address &To, const core::gateway::HttpCall &Call,
            model::Duration Timeout, CallDone OnDone);
  void runFeed(Feed &Each);
  void feedAnswered(Feed &Each, const core::gateway::FeedCall &Call,
                    const core::gateway::HttpResult &Result);
  void takeChange(const Feed &From, const core::gateway::FeedChange &Change);
  void takeConfig(const std::string &Content);
  void takeEndpoint(const core::gateway::FeedChange &Change);
  void publishEndpoints();
  void publishNodes();
  void registerSelf();
  void logFindings(const char *Category, const std::string &Name,
                   const model::FindingList &Findings);
  void tickLease();
  void takeStoreAnswer(const ports::StoreAnswer &Answer);
  void submit(const ports::EffectList &Effects);
  void noteLease(const std::vector<leases::LeaseNotice> &Notices);
  void syncLease();
  void carryOut(const residency::ResidencyEffectList &Effects);
  void on(const residency::OrderSend &Effect);
  void on(const residency::ReportAsk &Effect);
  void on(const residency::CopiesTold &Effect);
  void on(const residency::TokenRefused &Effect);
  void on(const residency::ResidencyNote &Effect);
  void
  decide(const std::function<void(residency::ResidencyCore &, model::TimePoint,
                                  residency::ResidencyEffectList &)> &Decide);
  void finishStop();

  const ControlOptions m_Options;
  const core::gateway::Dialect &m_Dialect;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  GatewayTraffic *m_Traffic = nullptr;
  std::unique_ptr<ports::Random> m_Dice;
  leases::StoreGovernor m_Governor;
  leases::LeaseKeeper m_Keeper;
  residency::ResidencyCore m_Residency;
  core::gateway::StoreHealth m_Store;
  core::gateway::EndpointRegistry m_Registry;
  std::map<model::NodeId, core::gateway::NodeEntry> m_Nodes;
  uint64_t m_ConfigVersion = 0;
  bool m_EndpointsPublished = false;
  bool m_Registered = false;
  bool m_Registering = false;
  bool m_RegisterAsNew = true;
  model::TimePoint m_RegisterAt;
  std::vector<model::NodeId> m_Heard;
  bool m_HoldsLease = false;
  std::optional<model::TimePoint> m_SuspendedUntil;
  /// Set once the node is to stop.
  std::function<void()> m_OnStopped;
  bool m_StopFinished = false;
  net::LoopThread m_Thread;
  Feed m_ConfigFeed;
  Feed m_EndpointFeed;
  Feed m_NodeFeed;
  curl::CurlMulti m_Curl;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_GATEWAYCONTROL_H
