#include "Core/Logs/RequestTimeline.h"

#include <algorithm>
#include <set>

namespace bronzepass::core::logs {

namespace {

/// A crashed endpoint is removed after it misses three of its periods, which
/// takes some seconds. Later lines hardly concern the request.
constexpr int64_t EndpointWindowAfterMs = 6000;
constexpr int64_t EndpointWindowBeforeMs = 3000;
/// A load takes some seconds.
constexpr int64_t PlacementWindowBeforeMs = 8000;
constexpr int64_t PlacementWindowAfterMs = 2000;
/// An outage of a dependency that began this long before the request may still
/// last.
constexpr int64_t DependencyWindowBeforeMs = 30000;
constexpr int64_t ProcessWindowMs = 3000;

bool isOutcome(const LogLine &Line) {
  const std::string &Action = Line.m_Action;
  return Action == "answer" || Action == "refuse" || Action == "cut" ||
         Action == "gone" || Action == "end" || Action == "dropped";
}

/// Collects the lines that name a request and related lines around that time.
class TimelineBuilder {
public:
  TimelineBuilder(const std::vector<LogLine> &Lines, const std::string &Request)
      : m_Lines(Lines) {
    for (const LogLine &Line : Lines)
      if (Line.m_Category == "request" && Line.field("request") == Request)
        m_RequestLines.push_back(&Line);
    std::stable_sort(m_RequestLines.begin(), m_RequestLines.end(),
                     [](const LogLine *Left, const LogLine *Right) {
                       return Left->m_TimeMs < Right->m_TimeMs;
                     });
  }

  RequestTimeline build() {
    RequestTimeline Timeline;
    if (m_RequestLines.empty())
      return Timeline;
    m_StartMs = m_RequestLines.front()->m_TimeMs;
    m_EndMs = m_RequestLines.back()->m_TimeMs;
    for (const LogLine *const Line : m_RequestLines) {
      m_Nodes.insert(Line->m_Node);
      m_Endpoints.insert(Line->field("endpoint"));
      m_Artifacts.insert(Line->field("artifact"));
      Timeline.m_Entries.push_back({*Line, Line->m_TimeMs - m_StartMs, true});
      // After the caller disconnects, a request that must not be repeated still
      // runs to its end; the outcome stays "gone".
      if (isOutcome(*Line) && Timeline.m_Outcome != "gone") {
        Timeline.m_Outcome = Line->m_Action;
        // A cut request has no status.
        const std::string Status = Line->field("status");
        Timeline.m_Status = Status == "0" ? "" : Status;
      }
    }
    m_Endpoints.erase("");
    m_Artifacts.erase("");
    addRelated(Timeline);
    std::stable_sort(Timeline.m_Entries.begin(), Timeline.m_Entries.end(),
                     [](const TimelineEntry &Left, const TimelineEntry &Right) {
                       return Left.m_OffsetMs < Right.m_OffsetMs;
                     });
    addCauses(Timeline);
    return Timeline;
  }

private:
  bool isWithin(const LogLine &Line, int64_t Before, int64_t After) const {
    return Line.m_TimeMs >= m_StartMs - Before &&
           Line.m_TimeMs <= m_EndMs + After;
  }

  bool isRelated(const LogLine &Line) const {
    if (Line.m_Category == "endpoint")
      return m_Endpoints.contains(Line.field("endpoint")) &&
             m_Nodes.contains(Line.m_Node) &&
             isWithin(Line, EndpointWindowBeforeMs, EndpointWindowAfterMs);
    if (Line.m_Category == "placement")
      return isWithin(Line, PlacementWindowBeforeMs, PlacementWindowAfterMs) &&
             (m_Artifacts.contains(Line.field("artifact")) ||
              Line.m_Action.starts_with("lease"));
    if (!m_Nodes.contains(Line.m_Node))
      return false;
    if (Line.m_Category == "process")
      return isWithin(Line, ProcessWindowMs, ProcessWindowMs);
    return (Line.m_Category == "dependency" || Line.m_Category == "proof") &&
           isWithin(Line, DependencyWindowBeforeMs, 0);
  }

  void addRelated(RequestTimeline &Timeline) {
    // For each node, the configuration in force at the end of the request.
    std::map<std::string, const LogLine *> InForce;
    for (const LogLine &Line : m_Lines) {
      if (isRelated(Line))
        Timeline.m_Entries.push_back({Line, Line.m_TimeMs - m_StartMs, false});
      if (!Line.is("config", "in_force") || !m_Nodes.contains(Line.m_Node) ||
          Line.m_TimeMs > m_EndMs)
        continue;
      const LogLine *&Latest = InForce[Line.m_Node];
      if (!Latest || Latest->m_TimeMs <= Line.m_TimeMs)
        Latest = &Line;
    }
    for (const auto &Each : InForce)
      Timeline.m_Entries.push_back(
          {*Each.second, Each.second->m_TimeMs - m_StartMs, false});
  }

  static const TimelineEntry *findOutcome(const RequestTimeline &Timeline) {
    const TimelineEntry *Last = nullptr;
    for (const TimelineEntry &Each : Timeline.m_Entries)
      if (Each.m_IsRequestLine && isOutcome(Each.m_Line))
        Last = &Each;
    return Last;
  }

  static bool hasEntry(const RequestTimeline &Timeline, const char *Category,
                       const char *Action) {
    return std::any_of(Timeline.m_Entries.begin(), Timeline.m_Entries.end(),
                       [&](const TimelineEntry &Each) {
                         return Each.m_Line.is(Category, Action);
                       });
  }

  /// What lies behind a refusal for the key or the proof; null for others.
  static const char *accessCause(const std::string &Cause) {
    if (Cause == "no_key" || Cause == "unknown_key" ||
        Cause == "unreadable_key")
      return "no organisation of the configuration named there holds what it "
             "brought for a key";
    if (Cause == "unproven")
      return "the node could not show that no newer configuration takes the "
             "key "
             "away: see its proof and dependency lines";
    if (Cause == "disagreed")
      return "the node that forwarded it had read it by another configuration";
    return nullptr;
  }

  static bool hasLostDependency(const RequestTimeline &Timeline) {
    std::map<std::string, bool> Lost;
    for (const TimelineEntry &Each : Timeline.m_Entries)
      if (Each.m_Line.m_Category == "dependency" && Each.m_OffsetMs <= 0)
        Lost[Each.m_Line.m_Node + Each.m_Line.field("dependency")] =
            Each.m_Line.m_Action == "lost";
    return std::any_of(Lost.begin(), Lost.end(),
                       [](const auto &Each) { return Each.second; });
  }

  void addCauses(RequestTimeline &Timeline) const {
    const TimelineEntry *const End = findOutcome(Timeline);
    if (!End) {
      Timeline.m_Causes.emplace_back(
          hasEntry(Timeline, "process", "start")
              ? "the node started again before the request had an end"
              : "the lines end before the request does");
      return;
    }
    const LogLine &Line = End->m_Line;
    const std::string Reason = Line.field("reason");
    const std::string Endpoint = Line.field("endpoint");
    if (Line.m_Action == "answer") {
      Timeline.m_Causes.push_back(
          Reason.empty() ? "answered whole by endpoint " + Endpoint
                         : "endpoint " + Endpoint + " answered with a failure");
    } else if (Line.m_Action == "gone" || Line.m_Action == "end") {
      Timeline.m_Causes.emplace_back(
          "the caller left before its answer was whole");
    } else {
      Timeline.m_Causes.push_back(Reason.empty() ? Line.m_Action : Reason);
    }
    if (hasEntry(Timeline, "endpoint", "gone") ||
        hasEntry(Timeline, "endpoint", "lapsed"))
      Timeline.m_Causes.push_back(
          "an endpoint that it was sent to left the list: it crashed, or ended "
          "without a word");
    if (hasEntry(Timeline, "endpoint", "draining"))
      Timeline.m_Causes.emplace_back(
          "an endpoint that it was sent to was leaving");
    const bool HasPlacementOrder =
        std::any_of(Timeline.m_Entries.begin(), Timeline.m_Entries.end(),
                    [](const TimelineEntry &Each) {
                      return Each.m_Line.m_Category == "placement" &&
                             !Each.m_Line.field("artifact").empty();
                    });
    if (Reason.starts_with("no engine holds"))
      Timeline.m_Causes.emplace_back(
          HasPlacementOrder
              ? "its model or adapter was on its way: see the orders"
              : "nobody ordered its model or adapter: look for the lease "
                "holder's lines");
    if (const char *const Access = accessCause(Line.field("cause")))
      Timeline.m_Causes.emplace_back(Access);
    if (hasEntry(Timeline, "placement", "lease_lost") ||
        hasEntry(Timeline, "placement", "lease_gained"))
      Timeline.m_Causes.emplace_back(
          "the placement lease changed hands about then: for some seconds "
          "nothing is placed");
    if (hasLostDependency(Timeline))
      Timeline.m_Causes.emplace_back(
          "the node did not reach the store: it decided on what it knew");
    if (hasEntry(Timeline, "process", "stop"))
      Timeline.m_Causes.emplace_back("the node was stopping");
  }

  const std::vector<LogLine> &m_Lines;
  std::vector<const LogLine *> m_RequestLines;
  int64_t m_StartMs = 0;
  int64_t m_EndMs = 0;
  std::set<std::string> m_Nodes;
  std::set<std::string> m_Endpoints;
  std::set<std::string> m_Artifacts;
};

} // namespace

RequestTimeline explainRequest(const std::vector<LogLine> &Lines,
                               const std::string &Request) {
  return TimelineBuilder(Lines, Request).build();
}

} // namespace bronzepass::core::logs
