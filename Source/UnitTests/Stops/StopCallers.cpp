#include "UnitTests/Stops/StopCallers.h"

#include "UnitTests/Soak/AnswerJudge.h"

namespace bronzepass::unit_tests::stops {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds SendPeriod = 100ms;
constexpr const char *Deadline = "20000";
const PlannedRequest ShortRequests[] = {
    {soak::RequestKind::Once, "/once/answer-20", "", "", {}},
    {soak::RequestKind::Repeatable, "/again/answer-20", "", "", {}},
    {soak::RequestKind::LiveStream, "/live/stream-10", "m0", "200,40", {}},
};

} // namespace

StopCallers::StopCallers(soak::SoakNodes &Nodes, size_t Called, size_t Stopping,
                         soak::RequestRecord &Record,
                         const std::vector<PlannedRequest> &Planned,
                         soak::SteadyTime StopAt,
                         std::chrono::milliseconds Timeout)
    : m_Nodes(Nodes), m_Called(Called), m_Stopping(Stopping), m_Record(Record),
      m_StopAt(StopAt), m_Timeout(Timeout) {
  for (const PlannedRequest &Each : Planned)
    m_Threads.emplace_back(
        [this, Number = m_Threads.size(), Each] { runCaller(Number, Each); });
}

StopCallers::~StopCallers() {
  for (std::thread &Each : m_Threads)
    Each.join();
}

std::map<std::string, size_t> StopCallers::counts() const {
  const std::scoped_lock Lock(m_Mutex);
  return m_Counts;
}

void StopCallers::runCaller(size_t Number, const PlannedRequest &Planned) {
  soak::CallerConnection Connection(m_Nodes.callerPort(m_Called));
  bool IsPlannedSent = false;
  for (size_t Sent = 0; m_Nodes.isUp(m_Stopping); ++Sent) {
    if (!Connection.isOpen())
      Connection = soak::CallerConnection(m_Nodes.callerPort(m_Called));
    const bool IsDue = !IsPlannedSent && std::chrono::steady_clock::now() >=
                                             m_StopAt + Planned.m_At;
    const PlannedRequest &Request =
        IsDue ? Planned
              : ShortRequests[(Number + Sent) % std::size(ShortRequests)];
    if (Connection.isOpen()) {
      IsPlannedSent = IsPlannedSent || IsDue;
      sendOne(Connection,
              (IsDue ? "planned-" : "short-") + std::to_string(Number) + "-" +
                  std::to_string(Sent),
              Request);
    }
    std::this_thread::sleep_for(SendPeriod);
  }
}

void StopCallers::sendOne(soak::CallerConnection &Connection,
                          const std::string &Id,
                          const PlannedRequest &Request) {
  m_Record.onSent(Id, Request.m_Kind);
  std::string Text =
      "POST " + Request.m_Path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
      "\r\nX-Deadline-Ms: " + Deadline + "\r\nX-Credential: " + CallerKey +
      "\r\nContent-Length: 4\r\n";
  if (!Request.m_Model.empty())
    Text += "X-Model: " + Request.m_Model +
            "\r\nX-Token-Count: " + Request.m_TokenCount + "\r\n";
  if (!Connection.send(Text + "\r\nbody")) {
    Connection.close();
    return;
  }
  const soak::SteadyTime SentAt = std::chrono::steady_clock::now();
  const std::chrono::milliseconds Timeout = m_Timeout;
  const soak::CallerResponse Response = Connection.receive();
  const soak::LostAnswer Loss{SentAt, std::chrono::steady_clock::now(),
                              Response.m_Status != 0,
                              m_Nodes.stopAskedAt(m_Stopping), Timeout};
  soak::judgeAnswer(m_Record, Id, Request.m_Kind, Response, Loss);
  const std::scoped_lock Lock(m_Mutex);
  ++m_Counts[Response.m_Complete ? std::to_string(Response.m_Status)
             : Loss.m_HasBegun   ? "cut"
                                 : "none"];
}

} // namespace bronzepass::unit_tests::stops
