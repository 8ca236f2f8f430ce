// Recording, sending and repeating of orders: the order half of LedgerBook.
#include "Core/Placement/LedgerBook.h"

#include <algorithm>

namespace bronzepass::core::placement {

void LedgerBook::renumber(EntryState &State, OrderNumbers &Numbers,
                          model::TimePoint Now) {
  doubtOwnSends(State);
  State.m_Entry.m_Token = Numbers.next();
  State.m_Entry.m_OrderId = {State.m_Entry.m_Token.m_Value};
  State.m_Entry.m_Writer = m_Self;
  State.m_Entry.m_Settled = false;
  State.m_Sends = 0;
  State.m_Since = std::max(State.m_Since, Now);
  changed(State);
}

bool LedgerBook::refusesLoad(const model::ArtifactId &Artifact) const {
  const EntryState *State = find(Artifact);
  if (!State)
    return false;
  if (!State->isLoad() && !State->m_Entry.m_Settled)
    return true;
  return m_Fencing == model::FencingMode::Ignores &&
         State->doubts(model::OrderKind::Unload);
}

bool LedgerBook::recordLoad(const model::ArtifactId &Artifact, uint64_t Bytes,
                            CopyReason Reason, OrderNumbers &Numbers,
                            model::TimePoint Now) {
  EntryState *Known = findEntry(Artifact);
  if (Known && Known->isLoad())
    return true;
  if (m_Phase != Phase::Held || refusesLoad(Artifact))
    return false;
  const uint64_t Held = Known ? Known->m_Entry.m_MemoryBytes : 0;
  if (freeBytes() + static_cast<int64_t>(Held) < static_cast<int64_t>(Bytes))
    return false;
  if (!Known) {
    EntryState Fresh;
    Fresh.m_Entry.m_Artifact = Artifact;
    Known = &*m_Entries.insert(place(Artifact), std::move(Fresh));
  }
  Known->m_Entry.m_MemoryBytes = std::max(Bytes, Held);
  doubtOwnSends(*Known);
  Known->m_Sends = 0;
  Known->m_Entry.m_LastOrder = model::OrderKind::Load;
  Known->m_Reason = Reason;
  renumber(*Known, Numbers, Now);
  return true;
}

void LedgerBook::recordUnload(const model::ArtifactId &Artifact,
                              CopyReason Reason, OrderNumbers &Numbers,
                              model::TimePoint Now) {
  EntryState *Known = findEntry(Artifact);
  if (!Known || !Known->isLoad() || m_Phase != Phase::Held)
    return;
  doubtOwnSends(*Known);
  Known->m_Sends = 0;
  Known->m_Entry.m_LastOrder = model::OrderKind::Unload;
  Known->m_Reason = Reason;
  renumber(*Known, Numbers, Now);
}

void LedgerBook::recordRole(model::EngineRole Role, OrderNumbers &Numbers) {
  m_Role = {Role, Numbers.next(), false};
  touch();
  m_RoleRevision = m_Revision;
  m_RoleSent = {};
}

void LedgerBook::cancelUnload(EntryState &State, OrderNumbers &Numbers,
                              model::TimePoint Now) {
  const bool Sent = State.m_Sends > 0;
  const bool Reliable = !Sent && State.m_Reported;
  doubtOwnSends(State);
  State.m_Sends = 0;
  State.m_Entry.m_LastOrder = model::OrderKind::Load;
  renumber(State, Numbers, Now);
  State.m_Entry.m_Settled = Reliable;
}

bool LedgerBook::isBlocked(const EntryState &State) const {
  const model::ArtifactId &Artifact = State.m_Entry.m_Artifact;
  if (State.isLoad() && Artifact.isAdapter()) {
    const EntryState *Base = find(Artifact.base());
    return !Base || !Base->m_Reported || Base->isLoading();
  }
  if (State.isLoad() || Artifact.isAdapter())
    return false;
  // Its adapters go before a model does.
  return std::any_of(m_Entries.begin(), m_Entries.end(),
                     [&](const EntryState &Other) {
                       const model::ArtifactId &Id = Other.m_Entry.m_Artifact;
                       return Id.isAdapter() && Id.base() == Artifact &&
                              (Other.m_Reported ||
                               (!Other.isLoad() && !Other.m_Entry.m_Settled));
                     });
}

bool LedgerBook::isDue(const EntryState &State, model::TimePoint Now) const {
  if (State.m_Entry.m_Settled || State.m_Revision > m_StoredRevision)
    return false;
  if (State.m_Sends > 0 && Now < State.m_LastSend + m_Settings.m_OrderRepeat)
    return false;
  return !isBlocked(State);
}

std::optional<model::EngineOrder>
LedgerBook::nextRoleOrder(OrderNumbers &Numbers, model::TimePoint Now) {
  if (m_Role.m_Settled || m_RoleRevision > m_StoredRevision ||
      Now < m_RoleSent + m_Settings.m_OrderRepeat)
    return std::nullopt;
  if (m_Fencing == model::FencingMode::Refuses &&
      m_Role.m_Token < m_HighestSent) {
    recordRole(m_Role.m_Role, Numbers);
    return std::nullopt;
  }
  m_RoleSent = Now;
  m_HighestSent = std::max(m_HighestSent, m_Role.m_Token);
  m_OrderOut = model::OrderId{m_Role.m_Token.m_Value};
  m_OrderOutAt = Now;
  return model::EngineOrder{.m_Id = *m_OrderOut,
                            .m_Token = m_Role.m_Token,
                            .m_Endpoint = m_Engine.m_Name,
                            .m_Kind = model::OrderKind::SetRole,
                            .m_Role = m_Role.m_Role};
}

model::EngineOrder LedgerBook::send(EntryState &State, model::TimePoint Now) {
  m_Repeats += State.m_Sends > 0;
  ++State.m_Sends;
  State.m_LastSend = Now;
  m_HighestSent = std::max(m_HighestSent, State.m_Entry.m_Token);
  m_OrderOut = State.m_Entry.m_OrderId;
  m_OrderOutAt = Now;
  return {.m_Id = State.m_Entry.m_OrderId,
          .m_Token = State.m_Entry.m_Token,
          .m_Endpoint = m_Engine.m_Name,
          .m_Kind = State.m_Entry.m_LastOrder,
          .m_Artifact = State.m_Entry.m_Artifact,
          .m_MemoryBytes = State.m_Entry.m_MemoryBytes,
          .m_Role = m_Role.m_Role};
}

std::optional<model::EngineOrder>
LedgerBook::nextOrder(const UnloadGuard &MayUnload, OrderNumbers &Numbers,
                      model::TimePoint Now) {
  if (m_Phase != Phase::Held)
    return std::nullopt;
  if (m_OrderOut && Now < m_OrderOutAt + m_Settings.m_OrderTimeout)
    return std::nullopt;
  m_OrderOut.reset();
  if (std::optional<model::EngineOrder> Role = nextRoleOrder(Numbers, Now))
    return Role;
  EntryState *First = nullptr;
  for (EntryState &State : m_Entries) {
    const bool IsUnload = !State.m_Entry.m_Settled && !State.isLoad();
    if (IsUnload && !isAbsent(State) && !MayUnload(State.m_Entry.m_Artifact)) {
      // Not shown yet is no reason to keep it, but one to wait.
      if (State.m_Reported)
        cancelUnload(State, Numbers, Now);
      continue;
    }
    if (!isDue(State, Now))
      continue;
    // Behind a higher token that was sent it would only be refused.
    if (m_Fencing == model::FencingMode::Refuses &&
        State.m_Entry.m_Token < m_HighestSent) {
      renumber(State, Numbers, Now);
      continue;
    }
    if (!First || State.m_Entry.m_Token < First->m_Entry.m_Token)
      First = &State;
  }
  if (!First)
    return std::nullopt;
  return send(*First, Now);
}

void LedgerBook::orderAnswered(const model::OrderAnswer &Answer,
                               OrderNumbers &Numbers, model::TimePoint Now) {
  if (m_OrderOut == Answer.m_Id)
    m_OrderOut.reset();
  seeToken(Answer.m_HighestToken, Numbers);
  const bool Accepted = Answer.m_Status == model::OrderStatus::Accepted;
  if (Accepted)
    seeToken({Answer.m_Id.m_Value}, Numbers);
  if (Answer.m_Id.m_Value == m_Role.m_Token.m_Value && Accepted &&
      !m_Role.m_Settled) {
    m_Role.m_Settled = true;
    touch();
  }
  if (Answer.m_Id.m_Value == m_Role.m_Token.m_Value && !m_Role.m_Settled &&
      Answer.m_Status == model::OrderStatus::StaleToken)
    recordRole(m_Role.m_Role, Numbers);
  auto Found = std::find_if(m_Entries.begin(), m_Entries.end(),
                            [&Answer](const EntryState &State) {
                              return State.m_Entry.m_OrderId == Answer.m_Id;
                            });
  if (Found == m_Entries.end() ||
      Answer.m_Status == model::OrderStatus::Unknown)
    return;
  EntryState &State = *Found;
  // Any other answer leaves open that the order arrives a second time.
  if (Answer.m_Status == model::OrderStatus::NotSent && State.m_Sends > 0)
    --State.m_Sends;
  if (State.m_Entry.m_Settled)
    return;
  if (Answer.m_Status == model::OrderStatus::StaleToken)
    renumber(State, Numbers, Now);
  if (Answer.m_Status == model::OrderStatus::NoMemory)
    loadRefused(State, Now);
}

void LedgerBook::loadRefused(EntryState &State, model::TimePoint Now) {
  m_NoMemoryUntil = Now + m_Settings.m_FlapHold;
  if (!State.isLoad() || State.m_Reported)
    return;
  // It may go elsewhere; a second arrival of the order keeps it in doubt here.
  doubtOwnSends(State);
  State.m_Sends = 0;
  State.m_Entry.m_LastOrder = model::OrderKind::Unload;
  State.m_Entry.m_Settled = true;
  changed(State);
}

} // namespace bronzepass::core::placement
