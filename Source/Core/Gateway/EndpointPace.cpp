#include "Core/Gateway/EndpointPace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bronzepass::core::gateway {

namespace {

/// Share of the slots that an endpoint gets first, and its least.
constexpr double FirstShareOfSlots = 0.25;
constexpr double MinFirstWindow = 2;
/// Most by which one answer or report multiplies the window.
constexpr double MaxRaise = 4;
/// What is left of the window after a bad answer.
constexpr double WindowAfterCut = 0.5;
/// By then every node that is heard has told its load. Bad answers within it
/// are one finding.
constexpr model::Duration NoticeTime = std::chrono::milliseconds(250);
/// Requests that all nodes together send by draws in that time, as a multiple
/// of the window: as many as end in it where answers are short.
constexpr double SendsPerNoticeTime = 2;
/// A pace that has found nothing by then is ended: the endpoint is as it is.
constexpr model::Duration MaxLength = std::chrono::seconds(10);
/// Reports older than this come from nodes whose own pace has ended.
constexpr model::Duration ReportLifetime = std::chrono::seconds(1);

double seconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double firstWindow(double Slots) {
  return std::min(Slots, std::max(MinFirstWindow, FirstShareOfSlots * Slots));
}

} // namespace

const char *toString(PaceCause Value) {
  switch (Value) {
  case PaceCause::Start:
    return "start";
  case PaceCause::Ejection:
    return "ejection";
  case PaceCause::Pause:
    return "pause";
  case PaceCause::Silence:
    return "silence";
  }
  return "start";
}

EndpointPace::EndpointPace(PaceCause Cause, uint32_t Slots,
                           model::TimePoint From)
    : m_Cause(Cause), m_Slots(std::max(1U, Slots)), m_From(From),
      m_IsSilent(Cause == PaceCause::Silence),
      m_Window(m_IsSilent ? 1 : firstWindow(m_Slots)), m_Threshold(m_Slots),
      m_Share(m_Window / seconds(NoticeTime), 1, From) {
  m_Share.setSavedSeconds(2 * seconds(NoticeTime));
}

uint32_t EndpointPace::nodesUnder(const Load &Seen,
                                  model::TimePoint Now) const {
  // Until the others have told whether they keep to the window, too, or where
  // they can't tell, all are taken to.
  if (Seen.m_PeersHeard == 0 || Now - m_From < 2 * NoticeTime)
    return std::max(1U, Seen.m_Nodes);
  const auto Recent = std::count_if(
      m_Reports.begin(), m_Reports.end(), [Now](const auto &Each) {
        return Now - Each.second.m_At < ReportLifetime;
      });
  const double Others = static_cast<double>(Recent) *
                        (std::max(1U, Seen.m_Nodes) - 1) / Seen.m_PeersHeard;
  return 1 + static_cast<uint32_t>(std::lround(Others));
}

bool EndpointPace::allows(const Load &Seen, model::TimePoint Now,
                          uint64_t Random) {
  const uint32_t Nodes = nodesUnder(Seen, Now);
  // The parts of all nodes add up to the window.
  if (Seen.m_Own + 1 <= m_Window / Nodes)
    return true;
  // Alone under it, this node hears in the others' loads what the endpoint
  // bears.
  const double All = Nodes == 1 ? Seen.m_Own : Seen.m_All;
  if (All + 1 > m_Window || Nodes == 1)
    return false;
  m_Share.setLimit(SendsPerNoticeTime * m_Window / seconds(NoticeTime), Nodes,
                   Now);
  return m_Share.allows(Now, Random);
}

void EndpointPace::onSent(model::TimePoint Now) {
  if (!m_FirstSentAt)
    m_FirstSentAt = Now;
  m_Share.take(Now);
}

void EndpointPace::raise(double Answers) {
  if (m_IsSilent)
    return;
  // However many answers a report speaks for.
  const double Most = MaxRaise * m_Window;
  const double ToThreshold =
      std::min(Answers, std::max(0.0, m_Threshold - m_Window));
  m_Window += ToThreshold;
  m_Window += (Answers - ToThreshold) / m_Window;
  m_Window = std::min({m_Window, Most, m_Slots});
}

void EndpointPace::cut(model::TimePoint Now) {
  if (m_CutAt && Now - *m_CutAt < NoticeTime)
    return;
  m_CutAt = Now;
  m_Window = std::max(1.0, WindowAfterCut * m_Window);
  m_Threshold = m_Window;
}

void EndpointPace::onGoodAnswer(model::TimePoint /*Now*/) {
  ++m_Good;
  raise(1);
}

void EndpointPace::onBadAnswer(model::TimePoint Now) {
  ++m_Bad;
  cut(Now);
}

void EndpointPace::onReport(const model::NodeId &Peer, const PaceReport &Report,
                            double Weight, model::TimePoint Now) {
  Counts &Known = m_Reports[Peer];
  // Its pace has begun anew.
  if (Report.m_Good < Known.m_Good || Report.m_Bad < Known.m_Bad)
    Known = {};
  if (Report.m_Bad > Known.m_Bad)
    cut(Now);
  raise(Weight * static_cast<double>(Report.m_Good - Known.m_Good));
  Known = {Report.m_Good, Report.m_Bad, Now};
}

void EndpointPace::onSilenceEnded(model::TimePoint Now) {
  if (!m_IsSilent)
    return;
  m_IsSilent = false;
  m_Window = firstWindow(m_Slots);
  m_Threshold = m_Slots;
  m_From = Now;
  m_FirstSentAt.reset();
}

bool EndpointPace::isOver(model::TimePoint Now) const {
  if (m_IsSilent)
    return false;
  return m_Window >= m_Slots ||
         (m_FirstSentAt && Now - *m_FirstSentAt >= MaxLength);
}

} // namespace bronzepass::core::gateway
