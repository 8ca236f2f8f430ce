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

/// Nodes that hold a generation or a newer one, as far as the sender knows and
/// has not yet reported on this link.
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
  /// Liveness changes of nodes and endpoints that the sender learnt recently.
  std::vector<model::NodeInfo> m_NodeUpdates;
  std::vector<model::EndpointState> m_EndpointUpdates;
  GenerationProgress m_Progress;
  /// Sequence of the last heartbeat received from the peer. Messages sent on
  /// the link before this one take that heartbeat into account.
  uint64_t m_LastReceivedSequence = 0;
  /// Equal if sender and receiver know the same members.
  uint64_t m_MembersDigest = 0;
  /// The receiver is a neighbour of the sender, which expects updates and
  /// frequent heartbeats from it. Other links carry the messages they were
  /// opened for.
  bool m_Neighbour = false;

  friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
};

/// Announces the generation that the sender holds; sent when a newer one is
/// accepted.
struct IntentOffer {
  model::IntentHead m_Head;

  friend auto operator<=>(const IntentOffer &, const IntentOffer &) = default;
};

/// Asks a peer for parts that the sender does not hold.
struct IntentPartsRequest {
  std::vector<uint64_t> m_Hashes;

  friend auto operator<=>(const IntentPartsRequest &,
                          const IntentPartsRequest &) = default;
};

struct IntentPartReply {
  model::IntentPart m_Part;

  friend auto operator<=>(const IntentPartReply &,
                          const IntentPartReply &) = default;
};

/// Asks a claim shard's owner for the right to run a request.
struct ClaimRequest {
  /// Unique on the requesting node; unchanged when the request is resent.
  uint64_t m_ClaimRequestId = 0;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  /// Rank of the receiver among the shard's candidates, as the requester sees
  /// it: 0 for the owner; otherwise the receiver must take over from those
  /// before it, which do not respond.
  uint32_t m_Rank = 0;
  /// Time left in the caller's window, in microseconds.
  uint64_t m_WindowMicros = 0;

  friend auto operator<=>(const ClaimRequest &, const ClaimRequest &) = default;
};

enum class ClaimVerdictKind {
  /// The request may be run, once.
  Granted,
  /// The request ran; the outcome is in the verdict.
  Done,
  /// Another run of this key is in progress or its outcome is lost.
  Pending,
  /// The key was used for another request.
  Mismatch,
  /// No claim could be recorded in time; the request did not run.
  Unavailable,
  /// The node asked does not own the shard; ask m_Owner.
  NotOwner,
};

/// What the shard's record says about the key of a claim request. Also answers
/// a ClaimOutcome: Done once a run is recorded, anything but Granted or
/// NotOwner once a release is recorded.
struct ClaimReply {
  uint64_t m_ClaimRequestId = 0;
  ClaimVerdictKind m_Verdict = ClaimVerdictKind::Unavailable;
  uint16_t m_Status = 0;
  std::string m_Answer;
  model::NodeId m_Owner;
  /// Answers a ClaimOutcome, not a ClaimRequest.
  bool m_IsOutcomeReply = false;

  friend auto operator<=>(const ClaimReply &, const ClaimReply &) = default;
};

/// Tells the owner how a granted run ended, or that the claim request was
/// abandoned without a run. Resent until it is answered.
struct ClaimOutcome {
  uint64_t m_ClaimRequestId = 0;
  uint64_t m_KeyHash = 0;
  model::ClaimState m_State = model::ClaimState::Done;
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend auto operator<=>(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/// Demand seen by the sender, for the holder of a pool's lease.
struct DemandReport {
  model::PoolId m_Pool;
  std::vector<model::DemandSample> m_Samples;

  friend auto operator<=>(const DemandReport &, const DemandReport &) = default;
};

/// What one caller used through the sender in the last period.
struct CallerUsage {
  model::CallerId m_Caller;
  double m_Requests = 0;
  double m_Tokens = 0;
  uint32_t m_InFlight = 0;

  friend auto operator<=>(const CallerUsage &, const CallerUsage &) = default;
};

struct UsageReport {
  std::vector<CallerUsage> m_Usage;

  friend auto operator<=>(const UsageReport &, const UsageReport &) = default;
};

/// Identifies one engine's report by endpoint and time.
struct OfferedReport {
  model::EndpointId m_Endpoint;
  model::TimePoint m_MadeAt;

  friend auto operator<=>(const OfferedReport &,
                          const OfferedReport &) = default;
};

/// Reports of engines whose copies have changed, as the sender knows them.
struct ResidencyOffer {
  std::vector<OfferedReport> m_OfferedReports;

  friend auto operator<=>(const ResidencyOffer &,
                          const ResidencyOffer &) = default;
};

/// Asks a peer for reports that it offered.
struct ResidencyRequest {
  std::vector<model::EndpointId> m_Endpoints;

  friend auto operator<=>(const ResidencyRequest &,
                          const ResidencyRequest &) = default;
};

/// Engine reports that the receiver requested.
struct ResidencyReply {
  std::vector<model::EngineReport> m_Reports;

  friend auto operator<=>(const ResidencyReply &,
                          const ResidencyReply &) = default;
};

/// A lease's holder asks a former holder to send nothing more under it.
struct FenceRequest {
  model::LeaseName m_Lease;
  /// The lowest token that is still valid.
  model::FencingToken m_Token;

  friend auto operator<=>(const FenceRequest &, const FenceRequest &) = default;
};

/// The sender no longer sends anything under a lower token of the lease.
struct FenceAck {
  model::LeaseName m_Lease;
  model::FencingToken m_Token;

  friend auto operator<=>(const FenceAck &, const FenceAck &) = default;
};

using PeerMessage =
    std::variant<Hello, Heartbeat, IntentOffer, IntentPartsRequest,
                 IntentPartReply, ClaimRequest, ClaimReply, ClaimOutcome,
                 DemandReport, UsageReport, ResidencyOffer, ResidencyRequest,
                 ResidencyReply, FenceRequest, FenceAck>;

/// Links to peers, identified by the node at the other end. Received messages
/// and broken links are posted as events.
class PeerLink {
public:
  virtual ~PeerLink() = default;
  virtual void connect(const model::NodeInfo &Peer) = 0;
  virtual void send(const model::NodeId &To, const PeerMessage &Message) = 0;
  virtual void disconnect(const model::NodeId &Peer) = 0;
};

} // namespace bronzepass::core::ports

#endif // BRONZEPASS_CORE_PORTS_PEERMESSAGE_H
