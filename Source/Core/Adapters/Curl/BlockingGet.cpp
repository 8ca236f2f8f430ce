#include "Core/Adapters/Curl/BlockingGet.h"

#include "Core/Adapters/Curl/AnswerCollector.h"
#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/EventLoop.h"

#include <memory>

namespace bronzepass::core::adapters::curl {

namespace {

constexpr std::chrono::milliseconds Timeout(5000);

} // namespace

BlockingReply blockingGet(const model::Address &Address,
                          const std::string &Path) {
  net::EventLoop Loop;
  CurlMulti Curl(Loop, 1);
  BlockingReply Reply;
  const std::shared_ptr<AnswerCollector> Listener =
      std::make_shared<AnswerCollector>([&](const TransferResult &Result,
                                            const TransferHead &Head,
                                            const std::string &Body) {
        Reply.m_Status = Result.m_Complete ? Head.m_Status : 0;
        Reply.m_Body = Body;
        Reply.m_Error = Result.m_Error;
        Loop.stop();
      });
  TransferRequest Request;
  Request.m_Address = Address;
  Request.m_Path = Path;
  Request.m_Timeout = Timeout;
  Loop.post([&Curl, &Request, Listener] {
    Curl.start(std::move(Request), Listener);
  });
  Loop.run();
  return Reply;
}

} // namespace bronzepass::core::adapters::curl
