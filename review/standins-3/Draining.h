// What both cases of the rule DRAIN share: engines whose streams last about
// 1.5 s, callers, and the check.
#pragma once

#include "World.h"

namespace world {

constexpr double DrainSeconds = 2.0;

/// Requests that reached the engine, counted against the leave that the store
/// acknowledged at \p LeftAt. A request that got 421 is not in runs().
inline int judgeDrain(Nodes &Of, Engine &Left, double LeftAt, double EndedAt,
                      Callers &Clients, size_t LeastServed) {
  size_t Late = 0;
  size_t LateLost = 0;
  double Last = 0;
  std::map<std::string, int> StatusOf;
  size_t Served = 0;
  for (const Callers::Outcome &Each : Clients.outcomes()) {
    StatusOf[Each.m_Id] = Each.m_Status;
    Served += Each.m_Status == 200;
  }
  for (const Engine::Run &Each : Left.runs()) {
    if (Each.m_ArrivedAt <= LeftAt + DrainSeconds)
      continue;
    ++Late;
    Last = std::max(Last, Each.m_ArrivedAt - LeftAt);
    const bool IsLost = StatusOf[Each.m_Id] != 200;
    LateLost += IsLost;
    SAY("late   %s reached %s %.3f s after its leaving was acknowledged%s",
        Each.m_Id.c_str(), Left.id().c_str(), Each.m_ArrivedAt - LeftAt,
        IsLost ? "; its caller got no whole answer" : "");
  }
  for (size_t I = 0; I < Of.count(); ++I)
    if (!Of.isAlive(I))
      finish(Of, 2, "a node ended");
  char Text[300];
  std::snprintf(Text, sizeof(Text),
                "%zu requests reached %s later than DrainMs after the store "
                "acknowledged that it is gone or draining, the last %.2f s "
                "after; %zu of them got no whole answer when it ended %.1f s "
                "after; %zu served in all",
                Late, Left.id().c_str(), Last, LateLost, EndedAt - LeftAt,
                Served);
  if (Served < LeastServed)
    finish(Of, 2, Text);
  finish(Of, Late > 0 ? 1 : 0, Text);
}

} // namespace world
