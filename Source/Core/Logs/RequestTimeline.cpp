#include "Core/Logs/RequestTimeline.h"

#include <algorithm>
#include <set>

namespace bronzepass::core::logs {

namespace {

/// An endpoint that crashed is missing after three of its periods, some
/// seconds; what is found later has hardly to do with the request.
constexpr int64_t EndpointAfterMs = 6000;
constexpr int64_t EndpointBeforeMs = 3000;
/// A load takes some seconds.
constexpr int64_t ArtifactBeforeMs = 8000;
constexpr int64_t ArtifactAfterMs = 2000;
/// Outages of a dependency that began this long before may still last.
constexpr int64_t DependencyBeforeMs = 30000;
constexpr int64_t ProcessAroundMs = 3000;

bool isEnd(const LogLine &Line) {
  const std::string &Action = Line.m_Action;
  return Action == "answer" || Action == "refuse" || Action == "cut" ||
         Action == "gone" || Action == "end";
}

/// Collects the request's own lines and those around them.
class StoryTeller {
public:
  StoryTeller(const std::vector<LogLine> &Lines, const std::string &Request)
      : m_Lines(Lines) {
    for (const LogLine &Line : Lines)
      if (Line.m_Category == "request" && Line.field("request") == Request)
        m_Own.push_back(&Line);
    std::stable_sort(m_Own.begin(), m_Own.end(),
                     [](const LogLine *Left, const LogLine *Right) {
                       return Left->m_TimeMs < Right->m_TimeMs;
                     });
  }

  RequestTimeline tell() {
    RequestTimeline Story;
    if (m_Own.empty())
      return Story;
    m_From = m_Own.front()->m_TimeMs;
    m_Until = m_Own.back()->m_TimeMs;
    for (const LogLine *const Line : m_Own) {
      m_Nodes.insert(Line->m_Node);
      m_Endpoints.insert(Line->field("endpoint"));
      m_Artifacts.insert(Line->field("artifact"));
      Story.m_Steps.push_back({*Line, Line->m_TimeMs - m_From, true});
      // A caller may leave while what must not be repeated runs on.
      if (isEnd(*Line) && Story.m_Outcome != "gone") {
        Story.m_Outcome = Line->m_Action;
        // Of a cut there is none.
        const std::string Status = Line->field("status");
        Story.m_Status = Status == "0" ? "" : Status;
      }
    }
    m_Endpoints.erase("");
    m_Artifacts.erase("");
    addContext(Story);
    std::stable_sort(Story.m_Steps.begin(), Story.m_Steps.end(),
                     [](const TimelineEntry &Left, const TimelineEntry &Right) {
                       return Left.m_OffsetMs < Right.m_OffsetMs;
                     });
    addCauses(Story);
    return Story;
  }

private:
  bool isNear(const LogLine &Line, int64_t Before, int64_t After) const {
    return Line.m_TimeMs >= m_From - Before && Line.m_TimeMs <= m_Until + After;
  }

  bool isContext(const LogLine &Line) const {
    if (Line.m_Category == "endpoint")
      return m_Endpoints.contains(Line.field("endpoint")) &&
             m_Nodes.contains(Line.m_Node) &&
             isNear(Line, EndpointBeforeMs, EndpointAfterMs);
    if (Line.m_Category == "placement")
      return isNear(Line, ArtifactBeforeMs, ArtifactAfterMs) &&
             (m_Artifacts.contains(Line.field("artifact")) ||
              Line.m_Action.starts_with("lease"));
    if (!m_Nodes.contains(Line.m_Node))
      return false;
    if (Line.m_Category == "process")
      return isNear(Line, ProcessAroundMs, ProcessAroundMs);
    return Line.m_Category == "dependency" &&
           isNear(Line, DependencyBeforeMs, 0);
  }

  void addContext(RequestTimeline &Story) {
    // Of each node the version that was in force at the request's end.
    std::map<std::string, const LogLine *> InForce;
    for (const LogLine &Line : m_Lines) {
      if (isContext(Line))
        Story.m_Steps.push_back({Line, Line.m_TimeMs - m_From, false});
      if (!Line.is("config", "in_force") || !m_Nodes.contains(Line.m_Node) ||
          Line.m_TimeMs > m_Until)
        continue;
      const LogLine *&Known = InForce[Line.m_Node];
      if (!Known || Known->m_TimeMs <= Line.m_TimeMs)
        Known = &Line;
    }
    for (const auto &Each : InForce)
      Story.m_Steps.push_back(
          {*Each.second, Each.second->m_TimeMs - m_From, false});
  }

  static const TimelineEntry *lastOwn(const RequestTimeline &Story) {
    const TimelineEntry *Last = nullptr;
    for (const TimelineEntry &Each : Story.m_Steps)
      if (Each.m_IsOwn && isEnd(Each.m_Line))
        Last = &Each;
    return Last;
  }

  static bool has(const RequestTimeline &Story, const char *Category,
                  const char *Action) {
    return std::any_of(Story.m_Steps.begin(), Story.m_Steps.end(),
                       [&](const TimelineEntry &Each) {
                         return Each.m_Line.is(Category, Action);
                       });
  }

  static bool dependencyLost(const RequestTimeline &Story) {
    std::map<std::string, bool> Lost;
    for (const TimelineEntry &Each : Story.m_Steps)
      if (Each.m_Line.m_Category == "dependency" && Each.m_OffsetMs <= 0)
        Lost[Each.m_Line.m_Node + Each.m_Line.field("dependency")] =
            Each.m_Line.m_Action == "lost";
    return std::any_of(Lost.begin(), Lost.end(),
                       [](const auto &Each) { return Each.second; });
  }

  void addCauses(RequestTimeline &Story) const {
    const TimelineEntry *const End = lastOwn(Story);
    if (!End) {
      Story.m_Causes.emplace_back(
          has(Story, "process", "start")
              ? "the node started again before the request had an end"
              : "the lines end before the request does");
      return;
    }
    const LogLine &Line = End->m_Line;
    const std::string Reason = Line.field("reason");
    const std::string Endpoint = Line.field("endpoint");
    if (Line.m_Action == "answer") {
      Story.m_Causes.push_back(
          Reason.empty() ? "answered whole by endpoint " + Endpoint
                         : "endpoint " + Endpoint + " answered with a failure");
    } else if (Line.m_Action == "gone" || Line.m_Action == "end") {
      Story.m_Causes.emplace_back(
          "the caller left before its answer was whole");
    } else {
      Story.m_Causes.push_back(Reason.empty() ? Line.m_Action : Reason);
    }
    if (has(Story, "endpoint", "gone") || has(Story, "endpoint", "lapsed"))
      Story.m_Causes.push_back(
          "an endpoint that it was sent to left the list: it crashed, or ended "
          "without a word");
    if (has(Story, "endpoint", "draining"))
      Story.m_Causes.emplace_back(
          "an endpoint that it was sent to was leaving");
    const bool HasOrder =
        std::any_of(Story.m_Steps.begin(), Story.m_Steps.end(),
                    [](const TimelineEntry &Each) {
                      return Each.m_Line.m_Category == "placement" &&
                             !Each.m_Line.field("artifact").empty();
                    });
    if (Reason.starts_with("no engine holds"))
      Story.m_Causes.emplace_back(
          HasOrder ? "its model or adapter was on its way: see the orders"
                   : "nobody ordered its model or adapter: look for the lease "
                     "holder's lines");
    if (has(Story, "placement", "lease_lost") ||
        has(Story, "placement", "lease_gained"))
      Story.m_Causes.emplace_back(
          "the placement lease changed hands about then: for some seconds "
          "nothing is placed");
    if (dependencyLost(Story))
      Story.m_Causes.emplace_back(
          "the node did not reach the store: it decided on what it knew");
    if (has(Story, "process", "stop"))
      Story.m_Causes.emplace_back("the node was stopping");
  }

  const std::vector<LogLine> &m_Lines;
  std::vector<const LogLine *> m_Own;
  int64_t m_From = 0;
  int64_t m_Until = 0;
  std::set<std::string> m_Nodes;
  std::set<std::string> m_Endpoints;
  std::set<std::string> m_Artifacts;
};

} // namespace

RequestTimeline explainRequest(const std::vector<LogLine> &Lines,
                               const std::string &Request) {
  return StoryTeller(Lines, Request).tell();
}

} // namespace bronzepass::core::logs
