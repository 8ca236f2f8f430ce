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

/// Spreads changes of engines' copies over the overlay: a node offers what has
/// changed to its neighbours by name and time, and each fetches a report once,
/// from whoever offered it first. Whole reports to every neighbour would cost
/// a node the report's size times its neighbours.
class ResidencyGossip {
public:
  explicit ResidencyGossip(const ResidencyTable &Book) : m_Book(Book) {}

  /// The peers to which news is relayed; a new one is offered everything.
  void setNeighbours(const std::vector<model::NodeId> &Neighbours);
  /// The link to the peer broke: what it was told may be lost.
  void forget(const model::NodeId &Peer);

  /// The book took a report; \p Changed where its copies differ. \p From gave
  /// it, if a peer did.
  void taken(const model::EndpointId &Endpoint, bool Changed,
             const model::NodeId *From);

  void offerReceived(const model::NodeId &From,
                     const ports::ResidencyOffer &Offer, model::TimePoint Now,
                     ports::EffectList &Out);
  void wantedReceived(const model::NodeId &From,
                      const ports::ResidencyRequest &Wanted,
                      ports::EffectList &Out) const;
  /// Sends what is to be offered, and asks again what did not come.
  void tick(model::TimePoint Now, ports::EffectList &Out);

private:
  /// Offers to one neighbour are this far apart: changes travel together.
  static constexpr model::Duration OfferSpacing =
      std::chrono::milliseconds(250);
  static constexpr model::Duration AnswerTimeout = std::chrono::seconds(1);
  /// Entries of one message, a few dozen bytes each.
  static constexpr size_t MaxOffered = 1024;
  /// Reports of one message, a few hundred bytes each.
  static constexpr size_t MaxReports = 32;

  /// A report that was offered and asked for.
  struct Fetch {
    model::TimePoint m_MadeAt;
    model::TimePoint m_AskedAt;
    /// Others that offered it, to be asked next.
    std::vector<model::NodeId> m_Others;
  };

  bool isKnown(const model::EndpointId &Endpoint,
               model::TimePoint MadeAt) const;
  void offer(const model::NodeId &To, std::set<model::EndpointId> &Untold,
             ports::EffectList &Out) const;

  const ResidencyTable &m_Book;
  /// What each neighbour has not been told yet.
  std::map<model::NodeId, std::set<model::EndpointId>> m_Untold;
  std::map<model::EndpointId, Fetch> m_Fetches;
  std::optional<model::TimePoint> m_NextOfferAt;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_RESIDENCYGOSSIP_H
