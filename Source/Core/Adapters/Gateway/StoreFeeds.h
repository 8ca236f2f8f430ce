#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_STOREFEEDS_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_STOREFEEDS_H

#include "Core/Adapters/Gateway/FeedRelay.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/StoreClient.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/EndpointRegistry.h"
#include "Core/Gateway/FeedSourceChooser.h"
#include "Core/Gateway/LivePeers.h"
#include "Core/Gateway/ObjectFeed.h"
#include "Core/Gateway/RouteTable.h"
#include "Core/Gateway/StaleNodeFinder.h"
#include "Core/Gateway/StoreHealth.h"
#include "Core/Gateway/StoreReach.h"
#include "Core/Ports/Ports.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// Receives changes read from the store, on the control thread.
class StoreEvents {
public:
  virtual ~StoreEvents() = default;
  /// Called with each configuration version newer than all previous ones.
  virtual void onRouteTableChanged(
      std::shared_ptr<const core::gateway::RouteTable> Table) = 0;
  /// Called with all current endpoints.
  virtual void onEndpointsChanged(
      const std::vector<core::gateway::EndpointEntry> &Entries) = 0;
  /// The endpoints given last are all that the store had when it was asked at
  /// \p AskedAt.
  virtual void onEndpointsConfirmed(model::TimePoint AskedAt) = 0;
  /// The configuration given last was the newest at \p At or later. Called only
  /// where a proof of that is needed.
  virtual void onConfigProven(model::TimePoint At) = 0;
  /// Called with all current nodes, including this one.
  virtual void
  onNodesChanged(const std::vector<core::gateway::NodeEntry> &Nodes) = 0;
  virtual void onStoreReachChanged(const core::gateway::StoreReach &Reach) = 0;
};

struct StoreFeedTimes {
  /// How long a leaving endpoint still takes requests.
  model::Duration m_LeaveNotice = std::chrono::seconds(2);
  /// Within this time a silent connection to the store has to be noticed.
  model::Duration m_ContactTime = std::chrono::seconds(3);
  /// How long a key may open routes after it was taken away; zero: until this
  /// node learns of it.
  model::Duration m_KeyRevocationTime{0};
  /// How long after a change of the configuration the one before may still
  /// decide.
  model::Duration m_ConfigNotice = std::chrono::seconds(2);
};

/// Follows the configuration, endpoints and nodes in the platform's store, and
/// registers this node there. In larger fleets most nodes learn of changes from
/// one of a few that watch the store. A node that the store does not answer
/// asks any other that has told that it reads the store.
class StoreFeeds {
public:
  /// All arguments except \p Times and \p Self must outlive this object.
  StoreFeeds(StoreClient &Store, FeedRelay &Relay, const StoreFeedTimes &Times,
             core::gateway::NodeEntry Self,
             const core::gateway::Dialect &Dialect, const ports::Clock &Clock,
             ports::Random &Random, GatewayLog &Log, StoreEvents &Events);

  /// Call about every 20 ms; starts the store calls that are due.
  void tick();
  /// Asks the store at once, beside the watch that waits, for changes of the
  /// endpoints; tells StoreEvents if it answers.
  void confirmEndpoints();
  /// The store has been restored from a backup: reads all objects again and
  /// registers this node again, spread over a short time.
  void onStoreRestored();
  /// Another node has told that it reads the store itself.
  void onSourceHeard(const core::gateway::NodeEntry &Source);
  void onSourceLost(const model::NodeId &Node);
  /// Sets the nodes that are heard.
  void onLivePeers(const core::gateway::LivePeers &Peers);
  /// The holder of the placement lease removes entries of nodes that are gone.
  void setHolder(bool IsHolder);
  /// Removes this node's entry from the store and writes no new one.
  void leave();

private:
  struct Feed {
    Feed(core::gateway::FeedKind Kind, const char *Name,
         const core::gateway::FeedSettings &Settings, ports::Random &Random)
        : m_Kind(Kind), m_Name(Name), m_Feed(Settings, Random) {}
    core::gateway::FeedKind m_Kind;
    const char *m_Name;
    core::gateway::ObjectFeed m_Feed;
    bool m_FailureLogged = false;
    /// As last logged.
    std::vector<std::string> m_Unreadable;
    /// The last watcher that was asked has failed.
    bool m_AsksStoreNext = false;
    /// When the call in flight, or the last one, was made.
    model::TimePoint m_AskedAt;
    /// The node that was asked last; empty: the store.
    model::NodeId m_AskedNode;
    /// The last answer was the store's own.
    bool m_ReadsStore = false;
  };

  void startDueCall(Feed &Source);
  /// The node to ask; nullopt: the store.
  std::optional<core::gateway::NodeEntry>
  nodeToAsk(const core::gateway::FeedCall &Call) const;
  /// Finds out, while other nodes are asked, whether the store answers again.
  void probeStore();
  /// A node that reads the store has answered lately.
  bool storeAnswersOthers(model::TimePoint Now) const;
  void onStoreCallEnded(bool IsAnswered);
  void updateReach();
  bool isHeldBack(const Feed &Source) const;
  void askStore(Feed &Source, const core::gateway::FeedCall &Call);
  void askWatcher(Feed &Source, const core::gateway::FeedCall &Call,
                  const core::gateway::NodeEntry &Watcher);
  /// Whether what \p Reply says may be taken over; if not, why.
  std::optional<std::string>
  reasonToReject(const Feed &Source, const core::gateway::FeedReply &Reply,
                 std::optional<model::TimePoint> ProvenAt) const;
  void onWatcherReply(Feed &Source, const model::NodeId &Watcher,
                      const std::optional<core::gateway::FeedReply> &Reply,
                      const std::string &Reason);
  void onStoreAnswer(Feed &Source, const core::gateway::FeedAnswer &Answer);
  /// \p ProvenAt: the answer shows the store as it was then or later.
  void applyAnswer(Feed &Source, const core::gateway::FeedAnswer &Answer,
                   std::optional<model::TimePoint> ProvenAt);
  void publishToNodes(Feed &Source, const core::gateway::FeedAnswer &Answer,
                      const std::vector<core::gateway::FeedChange> &Changes,
                      std::optional<model::TimePoint> ProvenAt);
  bool needsProof(const Feed &Source) const;
  void passOn(Feed &Source,
              const std::vector<core::gateway::FeedChange> &Changes,
              bool WasComplete);
  void onConfirmation(model::TimePoint AskedAt,
                      std::optional<model::StoreEra> Era,
                      const core::gateway::FeedAnswer &Answer);
  void updateStanding(Feed &Source);
  void updateStandings();
  void updateSources(const std::vector<core::gateway::NodeEntry> &Nodes);
  /// Logs objects that could not be read when they appear or change.
  void logUnreadable(Feed &Source, const core::gateway::FeedAnswer &Answer);
  void logSource(Feed &Source, const model::NodeId &Node,
                 const std::string &Reason);
  void handleChange(const Feed &Source,
                    const core::gateway::FeedChange &Change);
  void handleConfig(const std::string &Content);
  void handleEndpoint(const core::gateway::FeedChange &Change);
  void handleNode(const core::gateway::FeedChange &Change);
  void publishEndpoints();
  void publishNodes();
  void registerSelf();
  /// Registers again if another node has removed this one's entry.
  void checkOwnEntry();
  void removeStaleNode();

  StoreClient &m_Store;
  FeedRelay &m_Relay;
  const StoreFeedTimes m_Times;
  core::gateway::FeedSourceChooser m_Sources;
  const core::gateway::NodeEntry m_Self;
  const core::gateway::Dialect &m_Dialect;
  const ports::Clock &m_Clock;
  ports::Random &m_Random;
  GatewayLog &m_Log;
  StoreEvents &m_Events;
  /// Of the store itself, as far as this node or one that it asked knows.
  core::gateway::StoreHealth m_Health;
  /// The store has not answered this node's last call.
  bool m_IsStoreRefused = false;
  bool m_IsProbing = false;
  model::TimePoint m_ProbeAt;
  /// When a node that reads the store answered last.
  std::optional<model::TimePoint> m_SourceAnsweredAt;
  core::gateway::StoreReach m_Reach;
  bool m_ShouldAnnounce = false;
  model::TimePoint m_AnnounceAt;
  core::gateway::StaleNodeFinder m_StaleNodes;
  core::gateway::EndpointRegistry m_Registry;
  std::map<model::NodeId, core::gateway::NodeEntry> m_Nodes;
  uint64_t m_ConfigVersion = 0;
  /// The newest configuration could be read.
  bool m_IsConfigReadable = true;
  bool m_Registered = false;
  bool m_Registering = false;
  /// Numbers the registrations, to tell the answer to the last one.
  uint64_t m_Registration = 0;
  bool m_RegisterAsNew = true;
  /// A restore of the store may have lost this node's entry.
  bool m_RegisterAgain = false;
  bool m_Leaving = false;
  bool m_IsConfirming = false;
  /// When the store was last asked for a confirmation.
  model::TimePoint m_ConfirmationAskedAt;
  /// Another confirmation was asked for since.
  bool m_ConfirmsAgain = false;
  model::TimePoint m_RegisterAt;
  model::TimePoint m_RegisteredAt;
  Feed m_ConfigFeed;
  Feed m_EndpointFeed;
  Feed m_NodeFeed;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_STOREFEEDS_H
