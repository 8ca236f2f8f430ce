// The part of LedgerController that settles orders: what engine reports and
// fences prove about recorded orders.
#include "Core/Placement/LedgerController.h"

#include <algorithm>

namespace bronzepass::core::placement {

void LedgerController::addDoubt(EntryState &State,
                                const model::UnsettledOrder &Doubt) {
  for (model::UnsettledOrder &Known : State.m_Entry.m_UnsettledOrders) {
    if (Known.m_Writer != Doubt.m_Writer || Known.m_Kind != Doubt.m_Kind)
      continue;
    Known.m_Token = std::max(Known.m_Token, Doubt.m_Token);
    return;
  }
  State.m_Entry.m_UnsettledOrders.push_back(Doubt);
}

// An order that was answered may still have been duplicated on its way, so it
// counts as a doubt too.
void LedgerController::addOwnDoubt(EntryState &State) {
  if (State.m_Sends == 0)
    return;
  addDoubt(State, {m_Self, State.m_Entry.m_Token, State.m_Entry.m_LastOrder});
  State.m_OwnDoubtUntil = std::max(
      State.m_OwnDoubtUntil, State.m_LastSentAt + m_Settings.m_OrderLifetime);
}

void LedgerController::observeToken(model::FencingToken Seen,
                                    OrderTokenAllocator &Tokens) {
  m_HighestSeen = std::max(m_HighestSeen, Seen);
  Tokens.advancePast(Seen);
  if (m_Lease && leaseToken(Seen) > m_Lease)
    m_Phase = Phase::Superseded;
}

bool LedgerController::reportReceived(const model::EngineReport &Report,
                                      OrderTokenAllocator &Tokens,
                                      model::TimePoint Now) {
  const bool Restarted =
      m_HasReport && Report.m_Sequence <= m_Report.m_Sequence &&
      Report.m_MadeAt > m_Report.m_MadeAt + m_Settings.m_ReportSkew;
  if (m_HasReport && Report.m_Sequence <= m_Report.m_Sequence && !Restarted) {
    // A late report, or one from an engine process that has just restarted.
    m_MayHaveRestarted |= Report.m_MadeAt > m_Report.m_MadeAt;
    return false;
  }
  m_MayHaveRestarted = false;
  if (Restarted)
    m_HighestSeen = {};
  m_HasReport = true;
  m_Report = Report;
  m_ReportedAt = Now;
  std::sort(m_Report.m_Copies.begin(), m_Report.m_Copies.end());
  observeToken(Report.m_HighestToken, Tokens);
  return true;
}

void LedgerController::settle(const FencedNodes &Fenced,
                              OrderTokenAllocator &Tokens,
                              model::TimePoint Now) {
  if (m_Phase != Phase::Claiming && m_Phase != Phase::Held)
    return;
  if (m_HasReport)
    mergeReportedCopies(Now);
  for (EntryState &State : m_Entries) {
    if (m_HasReport)
      settleEntry(State, Tokens, Now);
    // The unload is sent again with a new token, after which the engine refuses
    // any earlier load that still arrives.
    if (m_Phase == Phase::Held && m_Fencing == model::FencingMode::Refuses &&
        State.isInDoubt() && State.doubts(model::OrderKind::Load))
      renumber(State, Tokens, Now);
    if (dropDoubts(State, Fenced, Tokens, Now))
      markDirty();
  }
  const size_t Before = m_Entries.size();
  m_Entries.erase(
      std::remove_if(m_Entries.begin(), m_Entries.end(),
                     [](const EntryState &State) {
                       return State.isInDoubt() && !State.m_Reported &&
                              State.m_Entry.m_UnsettledOrders.empty();
                     }),
      m_Entries.end());
  if (m_Entries.size() != Before)
    markDirty();
}

void LedgerController::mergeReportedCopies(model::TimePoint Now) {
  for (EntryState &State : m_Entries)
    State.m_Reported = false;
  for (const model::CopyReport &Copy : m_Report.m_Copies) {
    auto Found = lowerBound(Copy.m_Artifact);
    if (Found == m_Entries.end() ||
        Found->m_Entry.m_Artifact != Copy.m_Artifact) {
      EntryState Adopted{.m_Reason = CopyReason::Adopted};
      Adopted.m_Entry = {.m_Artifact = Copy.m_Artifact,
                         .m_MemoryBytes = Copy.m_MemoryBytes,
                         .m_Settled = true};
      Adopted.m_EvidenceAfter = Now;
      Found = m_Entries.insert(Found, std::move(Adopted));
      markChanged(*Found);
    }
    Found->m_Reported = true;
    Found->m_State = Copy.m_State;
    Found->m_ReportedBytes = Copy.m_MemoryBytes;
  }
}

bool LedgerController::isAbsent(const EntryState &State) const {
  return m_HasReport && !m_MayHaveRestarted && !State.m_Reported &&
         m_Report.m_MadeAt > State.m_EvidenceAfter + m_Settings.m_ReportSkew;
}

void LedgerController::settleEntry(EntryState &State,
                                   OrderTokenAllocator &Tokens,
                                   model::TimePoint Now) {
  if (State.isLoad())
    settleLoad(State, isAbsent(State));
  else
    settleUnload(State, isAbsent(State), Tokens, Now);
}

void LedgerController::settleLoad(EntryState &State, bool ProvesAbsence) {
  const bool Observed =
      State.m_Reported && (State.m_State == model::CopyState::Loading ||
                           State.m_State == model::CopyState::Serving);
  if (!State.m_Entry.m_Settled && Observed) {
    State.m_Entry.m_Settled = true;
    State.m_EvidenceAfter = std::max(State.m_EvidenceAfter, m_Report.m_MadeAt);
    addOwnDoubt(State);
    markChanged(State);
    return;
  }
  if (!State.m_Entry.m_Settled || !ProvesAbsence)
    return;
  // The engine lost the copy. Only an earlier order may still load it again.
  State.m_Entry.m_LastOrder = model::OrderKind::Unload;
  markChanged(State);
}

void LedgerController::settleUnload(EntryState &State, bool ProvesAbsence,
                                    OrderTokenAllocator &Tokens,
                                    model::TimePoint Now) {
  if (State.m_Entry.m_Settled) {
    if (!State.m_Reported)
      return;
    // A late load order loaded the copy again, so it has to be unloaded again.
    renumber(State, Tokens, Now);
    return;
  }
  const bool FencePassed = m_Fencing == model::FencingMode::Ignores ||
                           m_HighestSeen >= State.m_Entry.m_Token;
  if (!ProvesAbsence || !FencePassed)
    return;
  State.m_Entry.m_Settled = true;
  addOwnDoubt(State);
  markChanged(State);
}

bool LedgerController::dropDoubts(EntryState &State, const FencedNodes &Fenced,
                                  const OrderTokenAllocator &Tokens,
                                  model::TimePoint Now) const {
  std::vector<model::UnsettledOrder> &Doubts = State.m_Entry.m_UnsettledOrders;
  const size_t Before = Doubts.size();
  auto HasExpired = [&](const model::UnsettledOrder &Doubt) {
    if (m_Fencing == model::FencingMode::Refuses)
      return m_HighestSeen > Doubt.m_Token;
    const model::FencingToken Lease = leaseToken(Doubt.m_Token);
    if (Doubt.m_Writer == m_Self && Lease == Tokens.lease())
      return Now > State.m_OwnDoubtUntil;
    const std::optional<model::TimePoint> Since =
        Fenced.fencedSince(Doubt.m_Writer, Lease);
    return Since && Now > *Since + m_Settings.m_OrderLifetime;
  };
  Doubts.erase(std::remove_if(Doubts.begin(), Doubts.end(), HasExpired),
               Doubts.end());
  const bool HoldsNothing = State.isInDoubt() && !State.m_Reported &&
                            !State.doubts(model::OrderKind::Load) &&
                            State.m_Entry.m_MemoryBytes != 0;
  // If only a late unload may still arrive, no memory has to stay promised.
  if (HoldsNothing)
    State.m_Entry.m_MemoryBytes = 0;
  return HoldsNothing || Doubts.size() != Before;
}

} // namespace bronzepass::core::placement
