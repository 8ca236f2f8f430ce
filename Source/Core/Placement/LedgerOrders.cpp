// The part of LedgerController that records, sends and resends orders.
#include "Core/Placement/LedgerController.h"

#include <algorithm>

namespace bronzepass::core::placement {

void LedgerController::renumber(EntryState &State, OrderTokenAllocator &Tokens,
                                model::TimePoint Now) {
  addOwnDoubt(State);
  State.m_Entry.m_Token = Tokens.next();
  State.m_Entry.m_OrderId = {State.m_Entry.m_Token.m_Value};
  State.m_Entry.m_Writer = m_Self;
  State.m_Entry.m_Settled = false;
  State.m_Sends = 0;
  State.m_EvidenceAfter = std::max(State.m_EvidenceAfter, Now);
  markChanged(State);
}

bool LedgerController::refusesLoad(const model::ArtifactId &Artifact) const {
  const EntryState *State = find(Artifact);
  if (!State)
    return false;
  if (!State->isLoad() && !State->m_Entry.m_Settled)
    return true;
  return m_Fencing == model::FencingMode::Ignores &&
         State->doubts(model::OrderKind::Unload);
}

bool LedgerController::recordLoad(const model::ArtifactId &Artifact,
                                  uint64_t Bytes, CopyReason Reason,
                                  OrderTokenAllocator &Tokens,
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
    EntryState Added;
    Added.m_Entry.m_Artifact = Artifact;
    Known = &*m_Entries.insert(lowerBound(Artifact), std::move(Added));
  }
  Known->m_Entry.m_MemoryBytes = std::max(Bytes, Held);
  addOwnDoubt(*Known);
  Known->m_Sends = 0;
  Known->m_Entry.m_LastOrder = model::OrderKind::Load;
  Known->m_Reason = Reason;
  renumber(*Known, Tokens, Now);
  return true;
}

void LedgerController::recordUnload(const model::ArtifactId &Artifact,
                                    CopyReason Reason,
                                    OrderTokenAllocator &Tokens,
                                    model::TimePoint Now) {
  EntryState *Known = findEntry(Artifact);
  if (!Known || !Known->isLoad() || m_Phase != Phase::Held)
    return;
  addOwnDoubt(*Known);
  Known->m_Sends = 0;
  Known->m_Entry.m_LastOrder = model::OrderKind::Unload;
  Known->m_Reason = Reason;
  renumber(*Known, Tokens, Now);
}

void LedgerController::recordRole(model::EngineRole Role,
                                  OrderTokenAllocator &Tokens) {
  m_Role = {Role, Tokens.next(), false};
  markDirty();
  m_RoleRevision = m_Revision;
  m_RoleSentAt = {};
}

void LedgerController::cancelUnload(EntryState &State,
                                    OrderTokenAllocator &Tokens,
                                    model::TimePoint Now) {
  const bool Sent = State.m_Sends > 0;
  const bool KeepsServing = !Sent && State.m_Reported;
  addOwnDoubt(State);
  State.m_Sends = 0;
  State.m_Entry.m_LastOrder = model::OrderKind::Load;
  renumber(State, Tokens, Now);
  State.m_Entry.m_Settled = KeepsServing;
}

bool LedgerController::isBlocked(const EntryState &State) const {
  const model::ArtifactId &Artifact = State.m_Entry.m_Artifact;
  if (State.isLoad() && Artifact.isAdapter()) {
    const EntryState *Base = find(Artifact.base());
    return !Base || !Base->m_Reported || Base->isLoading();
  }
  if (State.isLoad() || Artifact.isAdapter())
    return false;
  // The adapters of a model are unloaded before the model.
  return std::any_of(m_Entries.begin(), m_Entries.end(),
                     [&](const EntryState &Other) {
                       const model::ArtifactId &Id = Other.m_Entry.m_Artifact;
                       return Id.isAdapter() && Id.base() == Artifact &&
                              (Other.m_Reported ||
                               (!Other.isLoad() && !Other.m_Entry.m_Settled));
                     });
}

bool LedgerController::isDue(const EntryState &State,
                             model::TimePoint Now) const {
  if (State.m_Entry.m_Settled || State.m_Revision > m_StoredRevision)
    return false;
  if (State.m_Sends > 0 &&
      Now < State.m_LastSentAt + m_Settings.m_OrderRetryInterval)
    return false;
  return !isBlocked(State);
}

std::optional<model::EngineOrder>
LedgerController::nextRoleOrder(OrderTokenAllocator &Tokens,
                                model::TimePoint Now) {
  if (m_Role.m_Settled || m_RoleRevision > m_StoredRevision ||
      Now < m_RoleSentAt + m_Settings.m_OrderRetryInterval)
    return std::nullopt;
  if (m_Fencing == model::FencingMode::Refuses &&
      m_Role.m_Token < m_HighestSent) {
    recordRole(m_Role.m_Role, Tokens);
    return std::nullopt;
  }
  m_RoleSentAt = Now;
  m_HighestSent = std::max(m_HighestSent, m_Role.m_Token);
  m_PendingOrder = model::OrderId{m_Role.m_Token.m_Value};
  m_PendingOrderSentAt = Now;
  return model::EngineOrder{.m_Id = *m_PendingOrder,
                            .m_Token = m_Role.m_Token,
                            .m_Endpoint = m_Engine.m_Name,
                            .m_Kind = model::OrderKind::SetRole,
                            .m_Role = m_Role.m_Role};
}

model::EngineOrder LedgerController::send(EntryState &State,
                                          model::TimePoint Now) {
  m_Repeats += State.m_Sends > 0;
  ++State.m_Sends;
  State.m_LastSentAt = Now;
  m_HighestSent = std::max(m_HighestSent, State.m_Entry.m_Token);
  m_PendingOrder = State.m_Entry.m_OrderId;
  m_PendingOrderSentAt = Now;
  return {.m_Id = State.m_Entry.m_OrderId,
          .m_Token = State.m_Entry.m_Token,
          .m_Endpoint = m_Engine.m_Name,
          .m_Kind = State.m_Entry.m_LastOrder,
          .m_Artifact = State.m_Entry.m_Artifact,
          .m_MemoryBytes = State.m_Entry.m_MemoryBytes,
          .m_Role = m_Role.m_Role};
}

std::optional<model::EngineOrder>
LedgerController::nextOrder(const UnloadGuard &MayUnload,
                            OrderTokenAllocator &Tokens, model::TimePoint Now) {
  if (m_Phase != Phase::Held)
    return std::nullopt;
  if (m_PendingOrder && Now < m_PendingOrderSentAt + m_Settings.m_OrderTimeout)
    return std::nullopt;
  m_PendingOrder.reset();
  if (std::optional<model::EngineOrder> Role = nextRoleOrder(Tokens, Now))
    return Role;
  EntryState *First = nullptr;
  for (EntryState &State : m_Entries) {
    const bool IsUnload = !State.m_Entry.m_Settled && !State.isLoad();
    if (IsUnload && !isAbsent(State) && !MayUnload(State.m_Entry.m_Artifact)) {
      // A copy that is not reported yet is not kept: its unload only waits.
      if (State.m_Reported)
        cancelUnload(State, Tokens, Now);
      continue;
    }
    if (!isDue(State, Now))
      continue;
    // The engine would refuse the order, because one with a higher token has
    // been sent already.
    if (m_Fencing == model::FencingMode::Refuses &&
        State.m_Entry.m_Token < m_HighestSent) {
      renumber(State, Tokens, Now);
      continue;
    }
    if (!First || State.m_Entry.m_Token < First->m_Entry.m_Token)
      First = &State;
  }
  if (!First)
    return std::nullopt;
  return send(*First, Now);
}

void LedgerController::orderAnswered(const model::OrderAnswer &Answer,
                                     OrderTokenAllocator &Tokens,
                                     model::TimePoint Now) {
  if (m_PendingOrder == Answer.m_Id)
    m_PendingOrder.reset();
  observeToken(Answer.m_HighestToken, Tokens);
  const bool Accepted = Answer.m_Status == model::OrderStatus::Accepted;
  if (Accepted)
    observeToken({Answer.m_Id.m_Value}, Tokens);
  if (Answer.m_Id.m_Value == m_Role.m_Token.m_Value && Accepted &&
      !m_Role.m_Settled) {
    m_Role.m_Settled = true;
    markDirty();
  }
  if (Answer.m_Id.m_Value == m_Role.m_Token.m_Value && !m_Role.m_Settled &&
      Answer.m_Status == model::OrderStatus::StaleToken)
    recordRole(m_Role.m_Role, Tokens);
  auto Found = std::find_if(m_Entries.begin(), m_Entries.end(),
                            [&Answer](const EntryState &State) {
                              return State.m_Entry.m_OrderId == Answer.m_Id;
                            });
  if (Found == m_Entries.end() ||
      Answer.m_Status == model::OrderStatus::Unknown)
    return;
  EntryState &State = *Found;
  // After any other answer, a duplicate of the order may still arrive.
  if (Answer.m_Status == model::OrderStatus::NotSent && State.m_Sends > 0)
    --State.m_Sends;
  if (State.m_Entry.m_Settled)
    return;
  if (Answer.m_Status == model::OrderStatus::StaleToken)
    renumber(State, Tokens, Now);
  if (Answer.m_Status == model::OrderStatus::NoMemory)
    loadRefused(State, Now);
}

void LedgerController::loadRefused(EntryState &State, model::TimePoint Now) {
  m_NoMemoryUntil = Now + m_Settings.m_FlapHoldDown;
  if (!State.isLoad() || State.m_Reported)
    return;
  // The copy may be loaded on another engine. Here it stays in doubt, because a
  // duplicate of the order may still arrive.
  addOwnDoubt(State);
  State.m_Sends = 0;
  State.m_Entry.m_LastOrder = model::OrderKind::Unload;
  State.m_Entry.m_Settled = true;
  markChanged(State);
}

} // namespace bronzepass::core::placement
