#include "Core/Adapters/Gateway/ControlCalls.h"

#include "Core/Adapters/Curl/AnswerCollector.h"
#include "Core/Adapters/Daemon/CrashReport.h"

#include <memory>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// For the store and all engines together; each connection costs a descriptor.
constexpr long MaxIdleConnections = 64;
/// Allows for one retransmitted packet.
constexpr std::chrono::milliseconds ConnectTimeout(700);
/// Connections idle for longer are not reused: the server may have closed them.
constexpr std::chrono::seconds IdleAge(8);

} // namespace

ControlCalls::ControlCalls(net::EventLoop &Loop)
    : m_Curl(Loop, MaxIdleConnections) {}

void ControlCalls::call(const model::Address &To, const gateway::HttpCall &Call,
                        model::Duration Timeout, ConnectionUse Use,
                        CallDone OnDone) {
  curl::TransferRequest Request;
  Request.m_Method = Call.m_Method;
  Request.m_Address = To;
  Request.m_Path = Call.m_Target;
  Request.m_Body = Call.m_Body;
  for (const gateway::HeaderLine &Each : Call.m_Headers)
    Request.m_Headers.push_back(Each.first + ": " + Each.second);
  Request.m_ConnectTimeout = ConnectTimeout;
  Request.m_Timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(Timeout);
  Request.m_MaxIdleAge = IdleAge;
  Request.m_FreshConnection = Use == ConnectionUse::Single;
  m_Curl.start(
      std::move(Request),
      std::make_shared<curl::AnswerCollector>(
          [OnDone = std::move(OnDone), Target = Call.m_Target](
              const curl::TransferResult &Result,
              const curl::TransferHead &Head, const std::string &Body) {
            daemon::CrashReport::setSubject(Target);
            gateway::HttpResult Answer;
            // Without a length or chunks, a body that is cut off can't be
            // parsed: it is a JSON object.
            const bool Ended = Result.m_Complete || Result.m_EndedByClose;
            Answer.m_Status = Ended ? Head.m_Status : 0;
            Answer.m_Headers = Head.m_Lines;
            Answer.m_Body = Body;
            Answer.m_NotSent = Result.m_BytesSent == 0 && !Result.m_Complete;
            OnDone(Answer);
          }));
}

} // namespace bronzepass::core::adapters::gateway
