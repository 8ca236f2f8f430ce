#include "UnitTests/Gateway/RelayChangeSimulation.h"

#include <algorithm>
#include <utility>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using gateway::SendResult;

constexpr int Steps = 150;
constexpr model::Duration Tick = 20ms;
/// Longer than any request lives.
constexpr model::Duration Rest = 3500ms;
constexpr model::Duration RevocationTime = 2s;

} // namespace

RelayChangeSimulation::RelayChangeSimulation(uint64_t Seed)
    : m_Deployment(Seed), m_Random(Seed) {
  if (m_Deployment.oneIn(2))
    m_Settings.m_KeyRevocationTime = RevocationTime;
  m_Settings.m_DefaultWindow = 3s;
  m_Settings.m_OrdersBySlack = m_Deployment.oneIn(2);
  m_Core = std::make_unique<gateway::RelayCore>(m_Settings, m_Random);
}

void RelayChangeSimulation::run() {
  m_Core->setNodeCount(5, m_Now);
  m_ProvenAt = m_Now;
  m_Core->onConfigProven(m_Now, m_Now, m_Out);
  changeTable();
  changeEndpoints();
  for (int I = 0; I < Steps && m_Broken.empty(); ++I) {
    step();
    check();
  }
  pass(Rest, true);
  if (m_Broken.empty())
    expect(m_Core->activeRequestCount() == 0, "all requests end", {});
}

void RelayChangeSimulation::step() {
  switch (m_Deployment.below(12)) {
  case 0:
  case 1:
  case 2:
    ask();
    return;
  case 3:
    hearEndpoint();
    return;
  case 4:
  case 5:
  case 6:
    finishSend();
    return;
  case 7:
  case 8:
    change();
    return;
  case 9:
    askQuotas();
    answerQuotas();
    return;
  case 10:
    pass(m_Deployment.upTo(15ms), false);
    return;
  default:
    pass(m_Deployment.upTo(m_Deployment.oneIn(4) ? 400ms : 60ms), true);
  }
}

void RelayChangeSimulation::change() {
  switch (m_Deployment.below(10)) {
  case 0:
  case 1:
  case 2:
    changeTable();
    return;
  case 3:
  case 4:
    changeEndpoints();
    return;
  case 5:
    loseCaller();
    return;
  case 6:
    m_Core->onPeerNotice(m_Deployment.nextNotice(), m_Now, m_Out);
    return;
  case 7:
    m_LinksLost = !m_LinksLost;
    return;
  case 8:
    if (!m_Deployment.oneIn(3)) {
      m_ProvenAt = m_Now;
      m_Core->onConfigProven(m_Now, m_Now, m_Out);
    } else {
      m_Core->onEndpointsConfirmed(m_Now, m_Now, m_Out);
    }
    return;
  default:
    stopNode();
  }
}

void RelayChangeSimulation::stopNode() {
  if (!m_Deployment.oneIn(12))
    return;
  if (!m_StopEnd) {
    m_StopEnd = m_Now + m_Deployment.upTo(3s);
    for (auto &Each : m_Requests)
      Each.second.m_Deadline = std::min(Each.second.m_Deadline, *m_StopEnd);
    m_Core->beginStop(*m_StopEnd, m_Now, m_Out);
  } else {
    m_Core->stopAccepting();
  }
}

void RelayChangeSimulation::pass(model::Duration Span, bool Ticks) {
  const model::TimePoint End = m_Now + Span;
  while (Ticks && m_Now < End && m_Broken.empty()) {
    m_Now = std::min(m_Now + Tick, End);
    m_Core->tick(m_Now, m_Out);
    check();
    for (const auto &Each : m_Requests)
      expect(Each.second.m_HasEnded || Each.second.m_HasLeft ||
                 Each.second.m_Deadline > m_Now,
             "a request whose time is up has ended", Each.first);
  }
  m_Now = End;
}

void RelayChangeSimulation::ask() {
  const model::RequestId Number{++m_LastRequest};
  TrackedRequest New;
  New.m_Request = m_Deployment.nextRequest(Number, m_Now, m_Table->config());
  const gateway::RouteSpec *const Route =
      m_Table->find(New.m_Request.m_Host, New.m_Request.m_Path);
  New.m_Deadline = New.m_Request.m_BeganAt + m_Settings.m_DefaultWindow;
  if (Route) {
    New.m_Route = *Route;
    model::Duration Window =
        Route->m_Timeout > 0s ? Route->m_Timeout : m_Settings.m_DefaultWindow;
    Window = std::min(Window, New.m_Request.m_Window.value_or(Window));
    New.m_Deadline = New.m_Request.m_BeganAt + Window;
  }
  if (m_StopEnd)
    New.m_Deadline = std::min(New.m_Deadline, *m_StopEnd);
  const gateway::RelayRequest Request = New.m_Request;
  m_Requests[Number] = std::move(New);
  m_Core->onRequestReceived(Request, m_Now, m_Out);
}

void RelayChangeSimulation::changeTable() {
  m_Table = std::make_shared<gateway::RouteTable>(m_Deployment.nextConfig());
  m_Core->setTable(m_Table);
  ++m_Seen["table"];
}

void RelayChangeSimulation::changeEndpoints() {
  const std::vector<gateway::EndpointEntry> Entries =
      m_Deployment.nextEndpoints();
  m_Usable.clear();
  for (const gateway::EndpointEntry &Each : Entries)
    if (!Each.m_Draining)
      m_Usable[Each.m_Id] = Each.m_Service;
  m_Core->setEndpoints(Entries, m_Now, m_Out);
}

void RelayChangeSimulation::loseCaller() {
  for (auto &Each : m_Requests) {
    TrackedRequest &Request = Each.second;
    if (Request.m_HasEnded || Request.m_HasLeft || !m_Deployment.oneIn(3))
      continue;
    Request.m_HasLeft = true;
    if (m_Deployment.oneIn(2))
      m_Core->onCallerDisconnected(Each.first, m_Now, m_Out);
    else
      m_Core->onConnectionClosed(Each.first, "too slow", m_Now, m_Out);
    return;
  }
}

/// The head of an answer, and perhaps a part of its body.
void RelayChangeSimulation::hearEndpoint() {
  if (m_Sends.empty())
    return;
  auto Chosen = m_Sends.begin();
  std::advance(Chosen, m_Deployment.below(m_Sends.size()));
  const model::AttemptId Attempt = Chosen->first;
  Send &Heard = Chosen->second;
  TrackedRequest &Request = m_Requests.at(Heard.m_Sent.m_Request);
  if (Heard.m_Sent.m_Forwarding) {
    m_Core->onForwardedHead(Attempt, model::EndpointId("a"), "v1");
  } else {
    gateway::EndpointStatement Statement;
    if (m_Deployment.oneIn(12))
      Statement.m_RequestsPerSecond = 5;
    if (m_Deployment.oneIn(12))
      Statement.m_RejectsPerSecond = 5;
    m_Core->onAnswerHead(Attempt, Statement, m_Now, m_Out);
    if (m_Deployment.oneIn(3))
      m_Core->onNewConnectionAnswered(Attempt);
    if (m_Deployment.oneIn(8))
      m_Core->onEndpointPaused(Attempt, m_Deployment.upTo(300ms), m_Now, m_Out);
  }
  m_Core->onAnswerChunk(Attempt, m_Now);
  if (Request.m_HasLeft || !m_Deployment.oneIn(2))
    return;
  m_Core->onAnswerForwarded(Heard.m_Sent.m_Request, m_Now);
  Heard.m_HasBegun = true;
  Request.m_HasBegun = true;
}

gateway::SendOutcome RelayChangeSimulation::nextOutcome(const Send &Ended) {
  constexpr SendResult Endpoints[] = {
      SendResult::NotSent, SendResult::NotRun,    SendResult::Misdirected,
      SendResult::Failed,  SendResult::Completed, SendResult::Broken};
  constexpr SendResult Peers[] = {SendResult::NotSent,   SendResult::Declined,
                                  SendResult::Declined,  SendResult::Failed,
                                  SendResult::Completed, SendResult::Broken};
  constexpr int Failures[] = {500, 503, 429};
  gateway::SendOutcome Outcome;
  Outcome.m_Result = Ended.m_Sent.m_Forwarding
                         ? Peers[m_Deployment.below(6)]
                         : Endpoints[m_Deployment.below(6)];
  if (m_LinksLost && !Ended.m_Sent.m_Forwarding && !Ended.m_HasBegun)
    Outcome.m_Result = SendResult::NotSent;
  if (Ended.m_HasBegun)
    Outcome.m_Result =
        m_Deployment.oneIn(3) ? SendResult::Completed : SendResult::Broken;
  Outcome.m_Status = Outcome.m_Result == SendResult::Completed
                         ? 200
                         : Failures[m_Deployment.below(3)];
  Outcome.m_TimedOut =
      Outcome.m_Result == SendResult::Broken && m_Deployment.oneIn(3);
  if (Outcome.m_Result == SendResult::Declined && m_Deployment.oneIn(2))
    Outcome.m_RetryAfter = 100ms;
  return Outcome;
}

void RelayChangeSimulation::finishSend() {
  if (m_Sends.empty())
    return;
  auto Chosen = m_Sends.begin();
  std::advance(Chosen, m_Deployment.below(m_Sends.size()));
  const Send Ended = Chosen->second;
  m_Sends.erase(Chosen);
  TrackedRequest &Request = m_Requests.at(Ended.m_Sent.m_Request);
  Request.m_Attempt = {};
  const gateway::SendOutcome Outcome = nextOutcome(Ended);
  Request.m_HasAnswer = Outcome.m_Result == SendResult::Completed ||
                        Outcome.m_Result == SendResult::Failed;
  if (Request.m_HasAnswer || Outcome.m_Result == SendResult::Broken)
    Request.m_PossibleRuns +=
        Ended.m_Sent.m_Forwarding ? Ended.m_Sent.m_Forwarding->m_RunsLeft : 1;
  m_Core->onSendFinished(Ended.m_Sent.m_Attempt, Outcome, m_Now, m_Out);
}

void RelayChangeSimulation::askQuotas() {
  const std::optional<organisations::QuotaNotice> Asked =
      m_Core->quotas().takeAsk(m_Now);
  if (Asked)
    m_Asked.push_back(*Asked);
}

/// Some answers are lost, late, or grant nothing.
void RelayChangeSimulation::answerQuotas() {
  if (m_Asked.empty() || m_Deployment.oneIn(3))
    return;
  const organisations::QuotaNotice Asked = m_Asked.back();
  m_Asked.pop_back();
  organisations::QuotaNotice Answer;
  Answer.m_AskerStart = Asked.m_AskerStart;
  Answer.m_AskedAt = Asked.m_AskedAt;
  for (const organisations::QuotaAsk &Each : Asked.m_Asks) {
    organisations::QuotaAnswer One;
    One.m_Organisation = Each.m_Organisation;
    One.m_Granted = m_Deployment.oneIn(2) ? Each.m_Need : 0;
    One.m_Wait = One.m_Granted > 0 ? 0 : m_Deployment.upTo(400ms).count();
    One.m_Share = static_cast<uint32_t>(
        m_Deployment.below(organisations::WholeShare / 2));
    One.m_MayRaise = m_Deployment.oneIn(2);
    Answer.m_Answers.push_back(One);
  }
  m_Core->onQuotaAnswer(Answer, m_Now, m_Out);
}

void RelayChangeSimulation::expect(bool Holds, const std::string &Rule,
                                   model::RequestId Request) {
  if (!Holds)
    m_Broken.push_back(Rule + " (request " + std::to_string(Request.m_Value) +
                       ")");
}

} // namespace bronzepass::unit_tests
