#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_STOREFEEDS_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_STOREFEEDS_H

#include "Core/Adapters/Gateway/ControlCalls.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/EndpointRegistry.h"
#include "Core/Gateway/ObjectFeed.h"
#include "Core/Gateway/RouteTable.h"
#include "Core/Gateway/StoreHealth.h"
#include "Core/Ports/Ports.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// Gets what the store tells, on the control thread.
class StoreEvents {
public:
  virtual ~StoreEvents() = default;
  /// A version of the configuration that is newer than all before.
  virtual void
  tableCame(std::shared_ptr<const core::gateway::RouteTable> Table) = 0;
  /// All endpoints there are now.
  virtual void
  endpointsCame(const std::vector<core::gateway::EndpointEntry> &Entries) = 0;
  /// All nodes there are now, this one included.
  virtual void
  nodesCame(const std::vector<core::gateway::NodeEntry> &Nodes) = 0;
};

/// Follows configuration, endpoints and nodes in the platform's store, and
/// keeps this node's own entry there.
class StoreFeeds {
public:
  /// All but \p Self outlive it.
  StoreFeeds(const model::Address &Store, core::gateway::NodeEntry Self,
             const core::gateway::Dialect &Dialect, ControlCalls &Calls,
             const ports::Clock &Clock, ports::Random &Dice, GatewayLog &Log,
             StoreEvents &Events);

  /// Every 20 ms or so; calls the store where one is due.
  void tick();
  /// Takes this node's entry out; no new one is written.
  void leave();

private:
  struct Feed {
    Feed(core::gateway::FeedKind Kind, const char *Name,
         const core::gateway::FeedSettings &Settings, ports::Random &Dice)
        : m_Kind(Kind), m_Name(Name), m_Feed(Settings, Dice) {}
    core::gateway::FeedKind m_Kind;
    const char *m_Name;
    core::gateway::ObjectFeed m_Feed;
    bool m_ToldFailing = false;
  };

  void run(Feed &Each);
  void answered(Feed &Each, const core::gateway::FeedCall &Call,
                const core::gateway::HttpResult &Result);
  void takeChange(const Feed &From, const core::gateway::FeedChange &Change);
  void takeConfig(const std::string &Content);
  void takeEndpoint(const core::gateway::FeedChange &Change);
  void takeNode(const core::gateway::FeedChange &Change);
  void publishEndpoints();
  void publishNodes();
  void registerSelf();

  const model::Address m_Store;
  const core::gateway::NodeEntry m_Self;
  const core::gateway::Dialect &m_Dialect;
  ControlCalls &m_Calls;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  StoreEvents &m_Events;
  core::gateway::StoreHealth m_Health;
  core::gateway::EndpointRegistry m_Registry;
  std::map<model::NodeId, core::gateway::NodeEntry> m_Nodes;
  uint64_t m_ConfigVersion = 0;
  bool m_Registered = false;
  bool m_Registering = false;
  bool m_RegisterAsNew = true;
  bool m_Leaving = false;
  model::TimePoint m_RegisterAt;
  Feed m_ConfigFeed;
  Feed m_EndpointFeed;
  Feed m_NodeFeed;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_STOREFEEDS_H
