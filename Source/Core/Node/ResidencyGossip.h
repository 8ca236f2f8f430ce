#ifndef BRONZEPASS_CORE_NODE_RESIDENCYGOSSIP_H
#define BRONZEPASS_CORE_NODE_RESIDENCYGOSSIP_H

#include "Core/Model/Time.h"
#include "Core/Node/ResidencyTable.h"
#include "Core/Ports/Effect.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bronzepass::core::node {

/// Spreads changed engine reports over the peer overlay. A node offers changed
/// reports to its neighbours by endpoint and time, and each neighbour fetches a
/// report once, from the first peer that offered it. Pushing whole reports
/// would cost a node the report's size times its number of neighbours.
class ResidencyGossip {
public:
  explicit ResidencyGossip(const ResidencyTable &Table) : m_Table(Table) {}

  /// Sets the peers to offer changes to. A new peer is offered all reports.
  void setNeighbours(const std::vector<model::NodeId> &Neighbours);
  /// Call when the link to the peer has changed: earlier offers may be lost, so
  /// the peer is treated as a new neighbour.
  void forget(const model::NodeId &Peer);

  /// Call when the table has stored a report. \p Changed tells whether its
  /// copies differ; \p From is the peer that sent it, or null.
  void onReportStored(const model::EndpointId &Endpoint, bool Changed,
                      const model::NodeId *From);

  void onOffer(const model::NodeId &From, const ports::ResidencyOffer &Offer,
               model::TimePoint Now, ports::EffectList &Out);
  void onReportRequest(const model::NodeId &From,
                       const ports::ResidencyRequest &Request,
                       ports::EffectList &Out) const;
  /// Sends pending offers, and requests overdue reports from another source.
  void tick(model::TimePoint Now, ports::EffectList &Out);

private:
  /// Time between two offers to a neighbour, to batch changes.
  static constexpr model::Duration OfferInterval =
      std::chrono::milliseconds(250);
  static constexpr model::Duration AnswerTimeout = std::chrono::seconds(1);
  /// Maximum entries in one offer, a few dozen bytes each.
  static constexpr size_t MaxOfferedReports = 1024;
  /// Maximum reports in one reply, a few hundred bytes each.
  static constexpr size_t MaxReportsPerReply = 32;

  /// A report that was offered and has been requested.
  struct Fetch {
    model::TimePoint m_MadeAt;
    model::TimePoint m_RequestedAt;
    /// Other peers that offered it, tried after a timeout.
    std::vector<model::NodeId> m_OtherSources;
  };

  bool isKnown(const model::EndpointId &Endpoint,
               model::TimePoint MadeAt) const;
  void sendOffer(const model::NodeId &To, std::set<model::EndpointId> &Pending,
                 ports::EffectList &Out) const;

  const ResidencyTable &m_Table;
  /// For each neighbour, the endpoints whose reports are still to be offered.
  std::map<model::NodeId, std::set<model::EndpointId>> m_PendingOffers;
  std::map<model::EndpointId, Fetch> m_Fetches;
  std::optional<model::TimePoint> m_NextOfferAt;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_RESIDENCYGOSSIP_H
