#include "UnitTests/Soak/SoakCallers.h"

#include "UnitTests/Soak/CallerConnection.h"

#include <random>

namespace bronzepass::unit_tests::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds Deadline = 8s;
constexpr std::chrono::milliseconds PauseAfterFailure = 30ms;
/// An answer in progress when the process was disturbed is not judged.
constexpr std::chrono::milliseconds Disturbance = 500ms;

struct KindInfo {
  RequestKind m_Kind;
  const char *m_Path;
  bool m_HasModel;
};
constexpr KindInfo Kinds[] = {
    {RequestKind::Once, "/once/x", false},
    {RequestKind::Repeatable, "/again/x", false},
    {RequestKind::LiveStream, "/live/x", true},
    {RequestKind::ResumableStream, "/resume/x", true},
};

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

SoakCallers::SoakCallers(size_t Count, uint64_t Seed, SoakNodes &Nodes,
                         RequestRecord &Record,
                         const std::vector<std::string> &Models)
    : m_Nodes(Nodes), m_Record(Record), m_Models(Models) {
  for (size_t I = 0; I < Count; ++I)
    m_Threads.emplace_back([this, Seed, I] { runCaller(Seed * 1000 + I); });
}

SoakCallers::~SoakCallers() {
  m_Stopping = true;
  for (std::thread &Each : m_Threads)
    Each.join();
}

std::pair<uint64_t, uint64_t> SoakCallers::takeCounts() {
  return {m_Sent.exchange(0), m_Served.exchange(0)};
}

void SoakCallers::runCaller(uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::unique_ptr<CallerConnection> Connection;
  size_t Node = 0;
  uint64_t Incarnation = 0;
  while (!m_Stopping) {
    if (!Connection || !Connection->isOpen()) {
      Node = Random() % m_Nodes.count();
      Incarnation = m_Nodes.incarnation(Node);
      // New connections only go to nodes that the balancer would choose.
      if (!m_Nodes.isRunning(Node)) {
        std::this_thread::sleep_for(PauseAfterFailure);
        continue;
      }
      Connection = std::make_unique<CallerConnection>(m_Nodes.callerPort(Node));
      if (!Connection->isOpen()) {
        std::this_thread::sleep_for(PauseAfterFailure);
        continue;
      }
    }
    const KindInfo &Kind = Kinds[Random() % std::size(Kinds)];
    const std::string Id = std::to_string(Random());
    m_Record.onSent(Id, Kind.m_Kind);
    ++m_Sent;
    const SteadyTime SentAt = std::chrono::steady_clock::now();
    std::string Request =
        std::string("POST ") + Kind.m_Path +
        " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
        "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) +
        "\r\nContent-Length: 4\r\n";
    if (Kind.m_HasModel)
      // The first models are asked for most.
      Request += "X-Model: " +
                 m_Models[std::min(Random() % m_Models.size(),
                                   Random() % m_Models.size())] +
                 "\r\nX-Token-Count: 200,40\r\n";
    if (!Connection->send(Request + "\r\nbody")) {
      Connection->close();
      continue;
    }
    const double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
    if (Kind.m_HasModel && Draw < m_LeaveShare) {
      Connection->awaitAnswer();
      Connection->close();
      m_Record.onCallerLeft(Id);
      continue;
    }
    const CallerResponse Response = Connection->receive();
    judge(Id, Kind.m_Kind, Response, Node, SentAt, Incarnation);
    if (Response.m_Status != 200)
      std::this_thread::sleep_for(PauseAfterFailure);
  }
}

void SoakCallers::judge(const std::string &Id, RequestKind Kind,
                        const CallerResponse &Response, size_t Node,
                        SteadyTime SentAt, uint64_t Incarnation) {
  const std::string EchoedId = Response.header("x-request-id");
  if (Response.m_Status != 0 && !EchoedId.empty() && EchoedId != Id)
    m_Record.violation("own answer", Id + " got the answer to " + EchoedId);
  if (!Response.m_Complete) {
    const bool IsUndisturbed =
        m_Nodes.incarnation(Node) == Incarnation &&
        m_Nodes.isUndisturbedSince(Node, SentAt - Disturbance);
    if (IsUndisturbed)
      m_Record.onLost(Id);
    return;
  }
  if (promisesNotRun(Response.m_Status)) {
    m_Record.onPromisedNotRun(Id, Response.m_Status);
    return;
  }
  if (Response.m_Status != 200)
    return;
  ++m_Served;
  m_Record.onSuccess(Id, Response.header("x-server-seal"));
  if (Response.m_Body != completeBody(Id, Kind))
    m_Record.violation(
        "whole answers",
        Id + " is complete with " + std::to_string(Response.m_Body.size()) +
            " of " + std::to_string(completeBody(Id, Kind).size()) + " bytes");
}

} // namespace bronzepass::unit_tests::soak
