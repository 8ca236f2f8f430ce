// What reports prove about recorded orders: the evidence half of LedgerBook.
#include "Core/Placement/LedgerBook.h"

#include <algorithm>

namespace bronzepass::core::placement {

void LedgerBook::addDoubt(EntryState &State, const model::LedgerDoubt &Doubt) {
  for (model::LedgerDoubt &Known : State.m_Entry.m_Doubts) {
    if (Known.m_Writer != Doubt.m_Writer || Known.m_Kind != Doubt.m_Kind)
      continue;
    Known.m_Token = std::max(Known.m_Token, Doubt.m_Token);
    return;
  }
  State.m_Entry.m_Doubts.push_back(Doubt);
}

// Also an answered order may have been duplicated on its way.
void LedgerBook::doubtOwnSends(EntryState &State) {
  if (State.m_Sends == 0)
    return;
  addDoubt(State, {m_Self, State.m_Entry.m_Token, State.m_Entry.m_LastOrder});
  State.m_OwnDoubtUntil = std::max(
      State.m_OwnDoubtUntil, State.m_LastSend + m_Settings.m_OrderLifetime);
}

void LedgerBook::seeToken(model::FencingToken Seen, OrderNumbers &Numbers) {
  m_Highest = std::max(m_Highest, Seen);
  Numbers.raise(Seen);
  if (m_Lease && leaseToken(Seen) > m_Lease)
    m_Phase = Phase::Superseded;
}

bool LedgerBook::reportReceived(const model::EngineReport &Report,
                                OrderNumbers &Numbers, model::TimePoint Now) {
  const bool Restarted =
      m_HasReport && Report.m_Sequence <= m_Report.m_Sequence &&
      Report.m_MadeAt > m_Report.m_MadeAt + m_Settings.m_ReportSkew;
  if (m_HasReport && Report.m_Sequence <= m_Report.m_Sequence && !Restarted) {
    // Late, or of a process that has just replaced the one known.
    m_MayHaveRestarted |= Report.m_MadeAt > m_Report.m_MadeAt;
    return false;
  }
  m_MayHaveRestarted = false;
  if (Restarted)
    m_Highest = {};
  m_HasReport = true;
  m_Report = Report;
  m_ReportedAt = Now;
  std::sort(m_Report.m_Copies.begin(), m_Report.m_Copies.end());
  seeToken(Report.m_HighestToken, Numbers);
  return true;
}

void LedgerBook::settle(const FenceBook &Fences, OrderNumbers &Numbers,
                        model::TimePoint Now) {
  if (m_Phase != Phase::Claiming && m_Phase != Phase::Held)
    return;
  if (m_HasReport)
    takeCopies(Now);
  for (EntryState &State : m_Entries) {
    if (m_HasReport)
      settleEntry(State, Numbers, Now);
    // An unload with a new token ends what may still arrive.
    if (m_Phase == Phase::Held && m_Fencing == model::FencingMode::Refuses &&
        State.isInDoubt() && State.doubts(model::OrderKind::Load))
      renumber(State, Numbers, Now);
    if (dropDoubts(State, Fences, Numbers, Now))
      touch();
  }
  const size_t Before = m_Entries.size();
  m_Entries.erase(std::remove_if(m_Entries.begin(), m_Entries.end(),
                                 [](const EntryState &State) {
                                   return State.isInDoubt() &&
                                          !State.m_Reported &&
                                          State.m_Entry.m_Doubts.empty();
                                 }),
                  m_Entries.end());
  if (m_Entries.size() != Before)
    touch();
}

void LedgerBook::takeCopies(model::TimePoint Now) {
  for (EntryState &State : m_Entries)
    State.m_Reported = false;
  for (const model::CopyReport &Copy : m_Report.m_Copies) {
    auto Found = place(Copy.m_Artifact);
    if (Found == m_Entries.end() ||
        Found->m_Entry.m_Artifact != Copy.m_Artifact) {
      EntryState Adopted{.m_Reason = CopyReason::Adopted};
      Adopted.m_Entry = {.m_Artifact = Copy.m_Artifact,
                         .m_MemoryBytes = Copy.m_MemoryBytes,
                         .m_Settled = true};
      Adopted.m_Since = Now;
      Found = m_Entries.insert(Found, std::move(Adopted));
      changed(*Found);
    }
    Found->m_Reported = true;
    Found->m_State = Copy.m_State;
    Found->m_ReportedBytes = Copy.m_MemoryBytes;
  }
}

bool LedgerBook::isAbsent(const EntryState &State) const {
  return m_HasReport && !m_MayHaveRestarted && !State.m_Reported &&
         m_Report.m_MadeAt > State.m_Since + m_Settings.m_ReportSkew;
}

void LedgerBook::settleEntry(EntryState &State, OrderNumbers &Numbers,
                             model::TimePoint Now) {
  if (State.isLoad())
    settleLoad(State, isAbsent(State));
  else
    settleUnload(State, isAbsent(State), Numbers, Now);
}

void LedgerBook::settleLoad(EntryState &State, bool ProvesAbsence) {
  const bool Shown =
      State.m_Reported && (State.m_State == model::CopyState::Loading ||
                           State.m_State == model::CopyState::Serving);
  if (!State.m_Entry.m_Settled && Shown) {
    State.m_Entry.m_Settled = true;
    State.m_Since = std::max(State.m_Since, m_Report.m_MadeAt);
    doubtOwnSends(State);
    changed(State);
    return;
  }
  if (!State.m_Entry.m_Settled || !ProvesAbsence)
    return;
  // The engine lost the copy; only doubts may bring it back.
  State.m_Entry.m_LastOrder = model::OrderKind::Unload;
  changed(State);
}

void LedgerBook::settleUnload(EntryState &State, bool ProvesAbsence,
                              OrderNumbers &Numbers, model::TimePoint Now) {
  if (State.m_Entry.m_Settled) {
    if (!State.m_Reported)
      return;
    // A late load brought it back: it has to be unloaded once more.
    renumber(State, Numbers, Now);
    return;
  }
  const bool FencePassed = m_Fencing == model::FencingMode::Ignores ||
                           m_Highest >= State.m_Entry.m_Token;
  if (!ProvesAbsence || !FencePassed)
    return;
  State.m_Entry.m_Settled = true;
  doubtOwnSends(State);
  changed(State);
}

bool LedgerBook::dropDoubts(EntryState &State, const FenceBook &Fences,
                            const OrderNumbers &Numbers,
                            model::TimePoint Now) const {
  std::vector<model::LedgerDoubt> &Doubts = State.m_Entry.m_Doubts;
  const size_t Before = Doubts.size();
  auto IsOver = [&](const model::LedgerDoubt &Doubt) {
    if (m_Fencing == model::FencingMode::Refuses)
      return m_Highest > Doubt.m_Token;
    const model::FencingToken Lease = leaseToken(Doubt.m_Token);
    if (Doubt.m_Writer == m_Self && Lease == Numbers.lease())
      return Now > State.m_OwnDoubtUntil;
    const std::optional<model::TimePoint> Fenced =
        Fences.since(Doubt.m_Writer, Lease);
    return Fenced && Now > *Fenced + m_Settings.m_OrderLifetime;
  };
  Doubts.erase(std::remove_if(Doubts.begin(), Doubts.end(), IsOver),
               Doubts.end());
  const bool HoldsNothing = State.isInDoubt() && !State.m_Reported &&
                            !State.doubts(model::OrderKind::Load) &&
                            State.m_Entry.m_MemoryBytes != 0;
  // A late unload alone takes no memory.
  if (HoldsNothing)
    State.m_Entry.m_MemoryBytes = 0;
  return HoldsNothing || Doubts.size() != Before;
}

} // namespace bronzepass::core::placement
