#include "Core/Adapters/Traffic/TrafficDriver.h"

#include "Core/Adapters/Curl/AttemptListener.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Adapters/Pistache/ErrorReply.h"
#include "Core/Adapters/Traffic/Attempt.h"
#include "Core/Adapters/Traffic/AttemptRequest.h"
#include "Core/Adapters/Traffic/RelayedHead.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace bronzepass::core::adapters::traffic {

class TrafficDriver::Impl : private curl::AttemptEventHandler {
public:
  Impl(TrafficOptions Options, std::unique_ptr<TrafficDecider> Decider,
       TrafficPorts Ports)
      : m_Options(std::move(Options)), m_Decider(std::move(Decider)),
        m_Ports(Ports),
        m_Curl(m_Thread.loop(), m_Options.m_MaxIdleConnections) {}

  ~Impl() override { stop(); }

  void start() {
    scheduleTick();
    m_Thread.start();
  }

  void stop() { m_Thread.stop(); }

  net::EventLoop &loop() { return m_Thread.loop(); }

  void accept(CallerRequest Request) {
    const std::shared_ptr<CallerRequest> Shared =
        std::make_shared<CallerRequest>(std::move(Request));
    loop().post([this, Shared] { startRequest(std::move(*Shared)); });
  }

  void post(routing::TrafficEvent Event) {
    loop().post([this, Event = std::move(Event)] { dispatch(Event); });
  }

private:
  /// While events are handled. An exception ends only the event that threw it;
  /// those behind it are handled with the next.
  class DispatchScope {
  public:
    explicit DispatchScope(Impl &Driver) : m_Driver(Driver) {
      m_Driver.m_Dispatching = true;
    }
    ~DispatchScope() {
      m_Driver.m_CurrentChunk = {};
      m_Driver.m_Dispatching = false;
      m_Driver.eraseDisconnected();
    }
    DispatchScope(const DispatchScope &) = delete;
    DispatchScope &operator=(const DispatchScope &) = delete;

  private:
    Impl &m_Driver;
  };

  void scheduleTick() {
    loop().runAfter(m_Options.m_TickPeriod, [this] {
      // First, so that ticks go on if this one throws.
      scheduleTick();
      dispatch(routing::TrafficTick{});
    });
  }

  void startRequest(CallerRequest Request) {
    const model::RequestId Id{m_NextRequest++};
    Request.m_Request.m_Id = Id;
    const routing::RequestArrived Arrived{Request.m_Request, Request.m_KeyHash,
                                          Request.m_BodyHash};
    const std::shared_ptr<pistache::HttpResponseWriter> Answer =
        Request.m_Answer;
    m_Requests.emplace(Id, std::move(Request));
    // The caller may have disconnected already: the decider must receive
    // RequestArrived before CallerDisconnected.
    m_PendingEvents.push_back(Arrived);
    Answer->onDisconnect([this, Id] {
      m_Disconnected.push_back(Id);
      dispatch(routing::CallerDisconnected{Id});
    });
    processPendingEvents();
  }

  /// Passes \p Event to the decider and executes its effects. Events that are
  /// caused by an effect are queued until all effects of this event are
  /// executed.
  void dispatch(const routing::TrafficEvent &Event) {
    m_PendingEvents.push_back(Event);
    processPendingEvents();
  }

  void processPendingEvents() {
    if (m_Dispatching)
      return;
    const DispatchScope Scope(*this);
    while (!m_PendingEvents.empty()) {
      const routing::TrafficEvent Next = std::move(m_PendingEvents.front());
      m_PendingEvents.pop_front();
      routing::TrafficEffectList Effects;
      m_Decider->handle(Next, m_Ports.m_Clock.now(), Effects);
      for (const routing::TrafficEffect &Effect : Effects)
        std::visit([this](const auto &Value) { execute(Value); }, Effect);
      m_CurrentChunk = {};
    }
  }

  void eraseDisconnected() {
    for (const model::RequestId &Id : m_Disconnected)
      m_Requests.erase(Id);
    m_Disconnected.clear();
  }

  CallerRequest *find(const model::RequestId &Id) {
    auto Found = m_Requests.find(Id);
    return Found == m_Requests.end() ? nullptr : &Found->second;
  }

  Attempt *find(const model::AttemptId &Id) {
    auto Found = m_Attempts.find(Id);
    return Found == m_Attempts.end() ? nullptr : Found->second.get();
  }

  // Events from endpoints.

  void onHead(model::AttemptId Id, const curl::TransferHead &Head) override {
    Attempt *const Running = find(Id);
    if (Running == nullptr)
      return;
    stopTimer(*Running);
    const std::optional<routing::AttemptHead> Event = Running->handleHead(Head);
    if (Running->namesAttempt())
      m_NamingEndpoints.insert(Running->start().m_Address);
    else
      m_NamingEndpoints.erase(Running->start().m_Address);
    if (Running->isUnusable())
      breakAttempt(*Running);
    else if (Event)
      dispatch(*Event);
  }

  bool onChunk(model::AttemptId Id, std::string_view Chunk) override {
    Attempt *const Running = find(Id);
    if (Running == nullptr) {
      m_Ports.m_Metrics.add(ports::Metric::StaleAnswersDropped, "", 1);
      return false;
    }
    const std::optional<routing::AttemptChunk> Event =
        Running->handleChunk(Chunk);
    if (!Event)
      return true;
    // Valid while this event is handled: chunks are received in libcurl's
    // callback, which never runs inside an effect.
    m_CurrentChunk = Chunk;
    dispatch(*Event);
    return true;
  }

  void onDone(model::AttemptId Id,
              const curl::TransferResult &Result) override {
    Attempt *const Running = find(Id);
    if (Running == nullptr)
      return;
    stopTimer(*Running);
    const routing::AttemptEnded Event = Running->handleEnd(Result);
    m_Attempts.erase(Id);
    dispatch(Event);
  }

  void breakAttempt(Attempt &Running) {
    const routing::AttemptEnded Event = Running.makeBrokenEnd();
    cancelAttempt(Running.start().m_Attempt);
    dispatch(Event);
  }

  void stopTimer(Attempt &Running) {
    if (Running.m_TimerRuns)
      loop().cancel(Running.m_Timer);
    Running.m_TimerRuns = false;
  }

  void cancelAttempt(const model::AttemptId Id) {
    Attempt *const Running = find(Id);
    if (Running == nullptr)
      return;
    stopTimer(*Running);
    m_Curl.cancel(Running->m_Transfer);
    m_Attempts.erase(Id);
  }

  // Effects of the decider.

  void execute(const routing::StartAttempt &Start) {
    const CallerRequest *const Request = find(Start.m_Request);
    if (Request == nullptr) {
      dispatch(routing::AttemptEnded{Start.m_Attempt,
                                     routing::AttemptOutcome::NotSent, 0, ""});
      return;
    }
    const size_t MaxReplayBytes =
        Request->m_Request.m_IdempotencyKey ? m_Options.m_MaxReplayBytes : 0;
    std::unique_ptr<Attempt> Added =
        std::make_unique<Attempt>(Start, MaxReplayBytes);
    curl::TransferRequest ToSend = makeAttemptRequest(
        Start, *Request, m_Options.m_Node, m_Ports.m_Clock.now());
    // Without its attempt's number, an answer can't be told from another one
    // on the same connection.
    ToSend.m_FreshConnection = ToSend.m_FreshConnection ||
                               !m_NamingEndpoints.contains(Start.m_Address);
    Added->m_Transfer = m_Curl.start(
        std::move(ToSend),
        std::make_shared<curl::AttemptListener>(
            static_cast<curl::AttemptEventHandler &>(*this), Start.m_Attempt));
    startTimer(*Added);
    m_Attempts[Start.m_Attempt] = std::move(Added);
    m_Ports.m_Metrics.add(ports::Metric::AttemptsStarted,
                          Start.m_Endpoint.str(), 1);
  }

  void startTimer(Attempt &Running) {
    const routing::StartAttempt &Start = Running.start();
    if (Start.m_FirstByteTimeout.count() == 0)
      return;
    const model::AttemptId Id = Start.m_Attempt;
    Running.m_TimerRuns = true;
    Running.m_Timer = loop().runAfter(Start.m_FirstByteTimeout,
                                      [this, Id] { onTimeout(Id); });
  }

  void onTimeout(const model::AttemptId &Id) {
    Attempt *const Running = find(Id);
    if (Running == nullptr)
      return;
    Running->m_TimerRuns = false;
    breakAttempt(*Running);
  }

  void execute(const routing::CancelAttempt &Cancel) {
    cancelAttempt(Cancel.m_Attempt);
  }

  void execute(const routing::RelayHead &Relay) {
    CallerRequest *const Request = find(Relay.m_Request);
    const Attempt *const Running = find(Relay.m_Attempt);
    if (Request == nullptr || Running == nullptr)
      return;
    Request->m_Answer->begin(Running->head().m_Status,
                             relayedHeaders(Running->head()),
                             relayedLength(Running->head()));
  }

  void execute(const routing::RelayChunk &Relay) {
    CallerRequest *const Request = find(Relay.m_Request);
    if (Request != nullptr)
      Request->m_Answer->write(m_CurrentChunk);
  }

  void execute(const routing::FinishAnswer &Finish) {
    CallerRequest *const Request = find(Finish.m_Request);
    if (Request == nullptr)
      return;
    m_Ports.m_Metrics.add(ports::Metric::RequestsAnswered, "", 1);
    Request->m_Answer->end();
    finishRequest(Finish.m_Request);
  }

  void execute(const routing::RefuseRequest &Refuse) {
    CallerRequest *const Request = find(Refuse.m_Request);
    if (Request == nullptr)
      return;
    m_Ports.m_Metrics.add(ports::Metric::RequestsRefused,
                          model::toString(Refuse.m_Refusal.m_Reason), 1);
    Request->m_Answer->send(pistache::refusalReply(Refuse.m_Refusal));
    finishRequest(Refuse.m_Request);
  }

  void execute(const routing::BreakAnswer &Break) {
    CallerRequest *const Request = find(Break.m_Request);
    if (Request == nullptr)
      return;
    m_Ports.m_Metrics.add(ports::Metric::RequestsRefused,
                          model::toString(Break.m_Refusal.m_Reason), 1);
    const std::shared_ptr<pistache::HttpResponseWriter> Answer =
        Request->m_Answer;
    m_Requests.erase(Break.m_Request);
    Answer->abort();
  }

  void execute(const routing::ReplayAnswer &Replay) {
    CallerRequest *const Request = find(Replay.m_Request);
    if (Request == nullptr)
      return;
    m_Ports.m_Metrics.add(ports::Metric::RequestsAnswered, "replayed", 1);
    Request->m_Answer->send(
        pistache::replayedReply(Replay.m_Status, Replay.m_Answer));
    finishRequest(Replay.m_Request);
  }

  /// Removes a request whose answer is finished for the decider. Some of the
  /// answer may still have to be sent to its caller.
  void finishRequest(const model::RequestId &Id) {
    auto Found = m_Requests.find(Id);
    const std::shared_ptr<pistache::HttpResponseWriter> Answer =
        Found->second.m_Answer;
    m_Requests.erase(Found);
    ++m_UnsentAnswers;
    Answer->whenSent([this] {
      --m_UnsentAnswers;
      reportIfDrained();
    });
  }

  void execute(const routing::TrafficStopped & /*Stopped*/) {
    m_DeciderDrained = true;
    reportIfDrained();
  }

  void reportIfDrained() {
    if (!m_DeciderDrained || m_UnsentAnswers != 0)
      return;
    m_DeciderDrained = false;
    m_Ports.m_Control.post(ports::TrafficDrained{});
  }

  void execute(const model::Decision &Decision) {
    m_Ports.m_DecisionLog.write(Decision);
  }

  /// For the effects that are events for the control core.
  template <typename EventT> void execute(const EventT &Event) {
    m_Ports.m_Control.post(Event);
  }

  TrafficOptions m_Options;
  std::unique_ptr<TrafficDecider> m_Decider;
  TrafficPorts m_Ports;
  net::LoopThread m_Thread;
  std::unordered_map<model::RequestId, CallerRequest> m_Requests;
  std::unordered_map<model::AttemptId, std::unique_ptr<Attempt>> m_Attempts;
  /// Those whose last answer named its attempt.
  std::set<model::Address> m_NamingEndpoints;
  uint64_t m_NextRequest = 1;
  /// Finished answers that are still partly buffered for slow callers.
  size_t m_UnsentAnswers = 0;
  /// The decider has no requests left after a TrafficStopRequested.
  bool m_DeciderDrained = false;
  std::deque<routing::TrafficEvent> m_PendingEvents;
  bool m_Dispatching = false;
  std::string_view m_CurrentChunk;
  std::vector<model::RequestId> m_Disconnected;
  curl::CurlMulti m_Curl;
};

TrafficDriver::TrafficDriver(TrafficOptions Options,
                             std::unique_ptr<TrafficDecider> Decider,
                             TrafficPorts Ports)
    : m_Impl(std::make_unique<Impl>(std::move(Options), std::move(Decider),
                                    Ports)) {}

TrafficDriver::~TrafficDriver() = default;

void TrafficDriver::start() { m_Impl->start(); }

void TrafficDriver::stop() { m_Impl->stop(); }

void TrafficDriver::accept(CallerRequest Request) {
  m_Impl->accept(std::move(Request));
}

void TrafficDriver::post(routing::TrafficEvent Event) {
  m_Impl->post(std::move(Event));
}

void TrafficDriver::setTable(
    std::shared_ptr<const routing::RoutingTable> Table) {
  m_Impl->post(routing::TableChanged{std::move(Table)});
}

net::EventLoop &TrafficDriver::loop() { return m_Impl->loop(); }

} // namespace bronzepass::core::adapters::traffic
