#include "Core/Adapters/ObjectApi/ObjectApiClient.h"

#include "Core/Adapters/Curl/AnswerCollector.h"
#include "Core/Adapters/ObjectApi/ObjectApiCodec.h"

#include <memory>
#include <utility>

namespace bronzepass::core::adapters::object_api {

namespace {

/// Collects the response to one store call.
class CallListener : public curl::TransferListener {
public:
  CallListener(ports::StoreCall Call, ports::EventSink &Sink)
      : m_Call(std::move(Call)), m_Sink(Sink) {}

  void onHead(const curl::TransferHead &Head) override {
    m_Status = Head.m_Status;
  }

  bool onChunk(std::string_view Chunk) override {
    if (m_Answered || m_Body.size() + Chunk.size() > MaxBodyBytes)
      return false;
    m_Body.append(Chunk);
    const bool AwaitsWatchEvents = m_Call.m_Verb == ports::StoreVerb::Watch &&
                                   m_Status == HttpOk && !m_Answered;
    if (!AwaitsWatchEvents)
      return true;
    std::optional<ports::StoreAnswer> Answer = readWatchLines(m_Call, m_Body);
    if (!Answer)
      return true;
    m_Answered = true;
    m_Sink.post(std::move(*Answer));
    return false;
  }

  void onDone(const curl::TransferResult &Result) override {
    if (!m_Answered)
      m_Sink.post(readAnswer(m_Call, m_Status, m_Body, Result));
    m_Answered = true;
  }

private:
  static constexpr int HttpOk = 200;
  /// Many times a page of a list, and any number of watch events in one answer.
  static constexpr size_t MaxBodyBytes = 8 << 20;

  ports::StoreCall m_Call;
  ports::EventSink &m_Sink;
  int m_Status = 0;
  std::string m_Body;
  bool m_Answered = false;
};

} // namespace

ObjectApiClient::ObjectApiClient(net::EventLoop &Loop,
                                 ObjectApiSettings Settings,
                                 ports::EventSink &Sink)
    : m_Loop(Loop), m_Settings(std::move(Settings)), m_Sink(Sink),
      m_Curl(Loop, MaxIdleConnections) {}

void ObjectApiClient::submit(const ports::StoreCall &Call) {
  std::optional<curl::TransferRequest> Request = makeTransfer(Call, m_Settings);
  if (!Request) {
    m_Sink.post(ports::StoreAnswer{.m_Id = Call.m_Id,
                                   .m_Status = ports::StoreStatus::Rejected});
    return;
  }
  auto Listener = std::make_shared<CallListener>(Call, m_Sink);
  m_Loop.post([this, Listener, Request = std::move(*Request)]() mutable {
    m_Curl.start(std::move(Request), Listener);
  });
}

void ObjectApiClient::refresh() {
  m_Loop.post([this] {
    m_Curl.start(makeVmListTransfer(m_Settings),
                 std::make_shared<curl::AnswerCollector>(
                     [&Sink = m_Sink](const curl::TransferResult &Result,
                                      const curl::TransferHead & /*Head*/,
                                      const std::string &Body) {
                       std::optional<ports::VmListReceived> Seen =
                           Result.m_Complete ? readVmList(Body) : std::nullopt;
                       if (Seen)
                         Sink.post(std::move(*Seen));
                     }));
  });
}

} // namespace bronzepass::core::adapters::object_api
