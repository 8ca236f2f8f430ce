#include "Core/Membership/IntentFetch.h"

#include "Core/Membership/IntentParts.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <variant>

namespace bronzepass::core::membership {

namespace {

/// A peer that sends nothing for this long is skipped.
constexpr model::Duration PeerTimeout = std::chrono::seconds(1);
/// After this long the object API may be read, wherever the head came from.
constexpr model::Duration StoreFallback = std::chrono::seconds(3);
constexpr model::Duration GetTimeout = std::chrono::seconds(2);
constexpr model::Duration RetryBase = std::chrono::milliseconds(250);
constexpr model::Duration RetryCap = std::chrono::seconds(5);

} // namespace

IntentFetch::IntentFetch(model::IntentHead Head, const PartMap &Held,
                         StoreSubmitter Submit, ports::Random &Random,
                         model::TimePoint Now)
    : m_Head(std::move(Head)), m_Submit(std::move(Submit)), m_Random(Random),
      m_Backoff(RetryBase, RetryCap), m_StartedAt(Now), m_LastProgress(Now) {
  for (const uint64_t Hash : m_Head.m_PartHashes) {
    const auto Found = Held.find(Hash);
    if (Found == Held.end())
      m_Missing[Hash] = false;
    else
      m_Parts.insert(*Found);
  }
}

void IntentFetch::addPeer(const model::NodeId &Peer) {
  if (std::find(m_Peers.begin(), m_Peers.end(), Peer) == m_Peers.end())
    m_Peers.push_back(Peer);
}

void IntentFetch::removePeer(const model::NodeId &Peer) {
  const bool WasInTurn = !m_Peers.empty() && m_Peers.front() == Peer;
  std::erase(m_Peers, Peer);
  if (!WasInTurn)
    return;
  for (auto &[Hash, Asked] : m_Missing)
    Asked = false;
}

void IntentFetch::tick(model::TimePoint Now, ports::EffectList &Out) {
  if (!m_Peers.empty() && Now - m_LastProgress >= PeerTimeout) {
    const model::NodeId Slow = m_Peers.front();
    removePeer(Slow);
    m_LastProgress = Now;
  }
  requestFromPeer(Now, Out);
  if (Now - m_StartedAt >= StoreFallback)
    m_StoreAllowed = true;
  requestFromStore(Now);
}

void IntentFetch::requestFromPeer(model::TimePoint Now,
                                  ports::EffectList &Out) {
  if (m_Peers.empty())
    return;
  const bool IsRequestPending =
      std::any_of(m_Missing.begin(), m_Missing.end(),
                  [](const auto &Entry) { return Entry.second; });
  if (IsRequestPending)
    return;
  ports::IntentPartsRequest Wanted;
  for (auto &[Hash, Asked] : m_Missing) {
    if (Wanted.m_Hashes.size() == PartsPerRequest)
      break;
    Asked = true;
    Wanted.m_Hashes.push_back(Hash);
  }
  if (Wanted.m_Hashes.empty())
    return;
  m_LastProgress = Now;
  Out.push_back(ports::PeerSend{m_Peers.front(), std::move(Wanted)});
}

void IntentFetch::requestFromStore(model::TimePoint Now) {
  if (!m_StoreAllowed || !m_Peers.empty() || Now < m_NextStoreAt)
    return;
  for (const auto &[Hash, Asked] : m_Missing) {
    if (m_Calls.size() >= MaxConcurrentStoreCalls)
      return;
    const bool Pending =
        std::any_of(m_Calls.begin(), m_Calls.end(),
                    [Hash = Hash](const auto &C) { return C.second == Hash; });
    if (Pending)
      continue;
    ports::StoreCall Call{.m_Verb = ports::StoreVerb::Get,
                          .m_Key = intentPartKey(Hash),
                          .m_Priority = ports::StorePriority::Intent,
                          .m_Timeout = GetTimeout};
    m_Calls[m_Submit(std::move(Call))] = Hash;
  }
}

void IntentFetch::add(const model::IntentPart &Part) {
  const bool IsWanted = m_Missing.contains(Part.m_Hash);
  if (!IsWanted || Part.m_Hash != model::stableHash(Part.m_Text))
    return;
  m_Missing.erase(Part.m_Hash);
  m_Parts[Part.m_Hash] = Part.m_Text;
}

void IntentFetch::onPartReceived(const model::IntentPart &Part,
                                 model::TimePoint Now, ports::EffectList &Out) {
  add(Part);
  m_LastProgress = Now;
  requestFromPeer(Now, Out);
}

bool IntentFetch::onStoreAnswer(const ports::StoreAnswer &Answer,
                                model::TimePoint Now) {
  if (m_Calls.erase(Answer.m_Id) == 0)
    return false;
  // The part was removed: a newer generation has replaced this one.
  m_Superseded =
      m_Superseded || Answer.m_Status == ports::StoreStatus::NotFound;
  if (Answer.m_Status != ports::StoreStatus::Ok) {
    m_NextStoreAt = Now + m_Backoff.next(m_Random);
    return true;
  }
  m_Backoff.reset();
  for (const ports::StoredObject &Object : Answer.m_Objects)
    if (const auto *Part = std::get_if<model::IntentPart>(&Object.m_Record))
      add(*Part);
  requestFromStore(Now);
  return true;
}

} // namespace bronzepass::core::membership
