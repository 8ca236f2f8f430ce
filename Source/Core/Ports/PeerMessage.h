#ifndef BRONZEPASS_CORE_PORTS_PEERMESSAGE_H
#define BRONZEPASS_CORE_PORTS_PEERMESSAGE_H

#include "Core/Model/Claim.h"
#include "Core/Model/Demand.h"
#include "Core/Model/Id.h"
#include "Core/Model/IntentDocument.h"
#include "Core/Model/Lease.h"
#include "Core/Model/Node.h"
#include "Core/Model/Residency.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzepass::core::ports {

/// First message on a link, both ways.
struct Hello {
  uint32_t m_ProtocolVersion = 1;
  model::NodeInfo m_Node;
  model::Generation m_Generation;

  friend auto operator<=>(const Hello &, const Hello &) = default;
};

/// Which nodes hold a generation or a newer one, as far as the sender heard and
/// has not said on this link before.
struct GenerationProgress {
  model::Generation m_Generation;
  /// stableHash of the nodes' ids.
  std::vector<uint64_t> m_NodeHashes;

  friend auto operator<=>(const GenerationProgress &,
                          const GenerationProgress &) = default;
};

/// Sent on every link each heartbeat period.
struct Heartbeat {
  uint64_t m_Sequence = 0;
  model::Generation m_Generation;
  /// The sender is stopping and takes nothing new.
  bool m_Leaving = false;
  /// Changes of liveness that the sender learnt lately, nodes and endpoints.
  std::vector<model::NodeInfo> m_NodeNews;
  std::vector<model::EndpointState> m_EndpointNews;
  GenerationProgress m_Progress;
  /// Sequence of the last heartbeat taken from the receiver: what came before
  /// this message on the link was sent with that one in mind.
  uint64_t m_Echo = 0;
  /// Equal where sender and receiver know the same members.
  uint64_t m_MembersDigest = 0;
  /// The sender counts the receiver among its neighbours, from whom it expects
  /// news and frequent heartbeats; other links carry what they were made for.
  bool m_Neighbour = false;

  friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
};

/// "I hold this generation": pushed when a newer one is accepted.
struct IntentOffer {
  model::IntentHead m_Head;

  friend auto operator<=>(const IntentOffer &, const IntentOffer &) = default;
};

/// Asks a peer for parts that the sender does not hold.
struct IntentPartsWanted {
  std::vector<uint64_t> m_Hashes;

  friend auto operator<=>(const IntentPartsWanted &,
                          const IntentPartsWanted &) = default;
};

struct IntentPartSent {
  model::IntentPart m_Part;

  friend auto operator<=>(const IntentPartSent &,
                          const IntentPartSent &) = default;
};

/// Asks a claim shard's owner for the right to run a request.
struct ClaimAsk {
  /// Unique on the asking node; kept when the same ask is sent again.
  uint64_t m_AskId = 0;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  /// Which of the shard's candidates the asker takes the receiver for: 0 for
  /// the owner, else it is to step in for those before it, which are silent.
  uint32_t m_Rank = 0;
  /// How much of the caller's window is left, microseconds.
  uint64_t m_WindowMicros = 0;

  friend auto operator<=>(const ClaimAsk &, const ClaimAsk &) = default;
};

enum class ClaimVerdictKind {
  /// Run it, once.
  Granted,
  /// It ran; the outcome is in the verdict.
  Done,
  /// Another run of this key is under way or its outcome is lost.
  Pending,
  /// The key was used for another request.
  Mismatch,
  /// No claim could be recorded in time; it did not run.
  Unavailable,
  /// The node asked does not own the shard; ask m_Owner.
  NotOwner,
};

/// What the shard's record says of an ask's key, to that ask. The answer to a
/// ClaimOutcome too: Done once a run is recorded, anything but Granted or
/// NotOwner once a release is.
struct ClaimReply {
  uint64_t m_AskId = 0;
  ClaimVerdictKind m_Verdict = ClaimVerdictKind::Unavailable;
  uint16_t m_Status = 0;
  std::string m_Answer;
  model::NodeId m_Owner;
  /// Answers a ClaimOutcome, not a ClaimAsk.
  bool m_ToOutcome = false;

  friend auto operator<=>(const ClaimReply &, const ClaimReply &) = default;
};

/// Tells the owner how a granted run ended, or that the ask was given up
/// without a run. Sent again until it is answered.
struct ClaimOutcome {
  uint64_t m_AskId = 0;
  uint64_t m_KeyHash = 0;
  model::ClaimState m_State = model::ClaimState::Done;
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend auto operator<=>(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/// Demand seen by the sender, for the holder of a pool's lease.
struct DemandShare {
  model::PoolId m_Pool;
  std::vector<model::DemandSample> m_Samples;

  friend auto operator<=>(const DemandShare &, const DemandShare &) = default;
};

/// What one caller used through the sender in the last period.
struct CallerUsage {
  model::CallerId m_Caller;
  double m_Requests = 0;
  double m_Tokens = 0;
  uint32_t m_InFlight = 0;

  friend auto operator<=>(const CallerUsage &, const CallerUsage &) = default;
};

struct UsageShare {
  std::vector<CallerUsage> m_Usage;

  friend auto operator<=>(const UsageShare &, const UsageShare &) = default;
};

/// One engine's report by name and time.
struct ResidencyNews {
  model::EndpointId m_Endpoint;
  model::TimePoint m_MadeAt;

  friend auto operator<=>(const ResidencyNews &,
                          const ResidencyNews &) = default;
};

/// Engines whose copies have changed, as the sender knows them.
struct ResidencyOffer {
  std::vector<ResidencyNews> m_News;

  friend auto operator<=>(const ResidencyOffer &,
                          const ResidencyOffer &) = default;
};

/// Asks a peer for reports that it offered.
struct ResidencyWanted {
  std::vector<model::EndpointId> m_Endpoints;

  friend auto operator<=>(const ResidencyWanted &,
                          const ResidencyWanted &) = default;
};

/// Reports on engines, for a peer that wanted them.
struct ResidencyShare {
  std::vector<model::EngineReport> m_Reports;

  friend auto operator<=>(const ResidencyShare &,
                          const ResidencyShare &) = default;
};

/// A lease's holder asks a former one to send nothing more under it.
struct FenceAsk {
  model::LeaseName m_Lease;
  /// The lowest token that may still act.
  model::FencingToken m_Token;

  friend auto operator<=>(const FenceAsk &, const FenceAsk &) = default;
};

/// The sender sends nothing under a lower token of the lease any more.
struct FenceAck {
  model::LeaseName m_Lease;
  model::FencingToken m_Token;

  friend auto operator<=>(const FenceAck &, const FenceAck &) = default;
};

using PeerMessage =
    std::variant<Hello, Heartbeat, IntentOffer, IntentPartsWanted,
                 IntentPartSent, ClaimAsk, ClaimReply, ClaimOutcome,
                 DemandShare, UsageShare, ResidencyOffer, ResidencyWanted,
                 ResidencyShare, FenceAsk, FenceAck>;

/// Links to peers, numbered by the node at the other end. Messages that come
/// in, and links that break, are posted as events.
class PeerLink {
public:
  virtual ~PeerLink() = default;
  virtual void connect(const model::NodeInfo &Peer) = 0;
  virtual void send(const model::NodeId &To, const PeerMessage &Message) = 0;
  virtual void disconnect(const model::NodeId &Peer) = 0;
};

} // namespace bronzepass::core::ports

#endif // BRONZEPASS_CORE_PORTS_PEERMESSAGE_H
