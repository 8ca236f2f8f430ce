#include "Core/Adapters/Curl/BlockingGet.h"

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/EventLoop.h"

#include <memory>

namespace bronzepass::core::adapters::curl {

namespace {

constexpr std::chrono::milliseconds Timeout(5000);

/// Ends the loop with the answer.
class ReplyListener : public TransferListener {
public:
  explicit ReplyListener(net::EventLoop &Loop) : m_Loop(Loop) {}

  void onHead(const TransferHead &Head) override { m_Status = Head.m_Status; }
  void onPiece(std::string_view Piece) override {
    m_Reply.m_Body.append(Piece);
  }
  void onDone(const TransferResult &Result) override {
    m_Reply.m_Status = Result.m_Whole ? m_Status : 0;
    m_Reply.m_Error = Result.m_Error;
    m_Loop.stop();
  }

  BlockingReply m_Reply;

private:
  net::EventLoop &m_Loop;
  int m_Status = 0;
};

} // namespace

BlockingReply blockingGet(const model::Address &Address,
                          const std::string &Path) {
  net::EventLoop Loop;
  CurlMulti Curl(Loop, 1);
  auto Listener = std::make_shared<ReplyListener>(Loop);
  TransferRequest Request;
  Request.m_Address = Address;
  Request.m_Path = Path;
  Request.m_Timeout = Timeout;
  Loop.post([&Curl, &Request, Listener] {
    Curl.start(std::move(Request), Listener);
  });
  Loop.run();
  return Listener->m_Reply;
}

} // namespace bronzepass::core::adapters::curl
