#include "UnitTests/Soak/SoakCallers.h"

#include "UnitTests/Soak/AnswerJudge.h"

#include <random>

namespace bronzepass::unit_tests::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds Deadline = 8s;
constexpr std::chrono::milliseconds LongDeadline = 20s;
/// One request in so many.
constexpr uint64_t LongStreamPeriod = 1000;
constexpr std::chrono::milliseconds PauseAfterFailure = 30ms;
/// An answer in progress when the process was disturbed is not judged.
constexpr std::chrono::milliseconds Disturbance = 500ms;

struct KindInfo {
  RequestKind m_Kind;
  const char *m_Path;
};
constexpr KindInfo Kinds[] = {
    {RequestKind::Once, "/once/x"},
    {RequestKind::Repeatable, "/again/x"},
    {RequestKind::LiveStream, "/live/x"},
    {RequestKind::ResumableStream, "/resume/x"},
};
constexpr KindInfo LongStream = {RequestKind::LongStream, "/long/x"};

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
    const KindInfo &Kind = Random() % LongStreamPeriod == 0
                               ? LongStream
                               : Kinds[Random() % std::size(Kinds)];
    const bool HasModel = isStream(Kind.m_Kind);
    const std::chrono::milliseconds Limit =
        Kind.m_Kind == RequestKind::LongStream ? LongDeadline : Deadline;
    const std::string Id = std::to_string(Random());
    m_Record.onSent(Id, Kind.m_Kind);
    ++m_Sent;
    const SteadyTime SentAt = std::chrono::steady_clock::now();
    std::string Request =
        std::string("POST ") + Kind.m_Path +
        " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
        "\r\nX-Deadline-Ms: " + std::to_string(Limit.count()) +
        "\r\nContent-Length: 4\r\n";
    if (HasModel)
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
    if (HasModel && Draw < m_LeaveShare) {
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
  std::optional<LostAnswer> Loss;
  if (!Response.m_Complete && m_Nodes.incarnation(Node) == Incarnation &&
      m_Nodes.isUndisturbedSince(Node, SentAt - Disturbance))
    Loss = {SentAt, std::chrono::steady_clock::now(), Response.m_Status != 0,
            m_Nodes.stopAskedAt(Node)};
  m_Served += judgeAnswer(m_Record, Id, Kind, Response, Loss);
}

} // namespace bronzepass::unit_tests::soak
