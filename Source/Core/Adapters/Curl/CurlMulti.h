#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_CURLMULTI_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_CURLMULTI_H

#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Model/Address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzepass::core::adapters::curl {

struct TransferRequest {
  std::string m_Method = "GET";
  model::Address m_Address;
  /// With the query, if any.
  std::string m_Path;
  /// "Name: value" each.
  std::vector<std::string> m_Headers;
  std::string m_Body;
  std::chrono::milliseconds m_ConnectTimeout = std::chrono::seconds(1);
  /// For the whole transfer; zero means none.
  std::chrono::milliseconds m_Timeout{0};
  /// Neither take a connection that was used before nor leave one behind.
  bool m_FreshConnection = false;
  /// Don't take a connection that idled longer than this; zero: libcurl's own
  /// bound of 118 s.
  std::chrono::seconds m_MaxIdleAge{0};
  /// How long sent bytes may go without the other end's acknowledgement, and
  /// how long it may leave the kernel's probes unanswered; zero: the kernel's
  /// own bounds.
  std::chrono::milliseconds m_TcpUserTimeout{0};
};

/// How an answer begins; header names in lower case.
struct TransferHead {
  int m_Status = 0;
  std::map<std::string, std::string> m_Headers;
  /// Each line's name and value as they came.
  std::vector<std::pair<std::string, std::string>> m_Lines;

  std::string header(const std::string &LowerName) const {
    auto Found = m_Headers.find(LowerName);
    return Found == m_Headers.end() ? std::string() : Found->second;
  }
};

struct TransferResult {
  /// The answer came whole, by its Content-Length or chunked encoding.
  bool m_Complete = false;
  /// The answer had neither length nor chunks, and its connection was closed
  /// without an error.
  bool m_EndedByClose = false;
  /// Bytes of the request that were handed to connections; 0 proves that
  /// nothing ran.
  uint64_t m_BytesSent = 0;
  /// Connections that were opened for it.
  uint32_t m_Connects = 0;
  /// The other end refused the connection.
  bool m_Refused = false;
  bool m_TimedOut = false;
  /// Empty where it is whole.
  std::string m_Error;
};

/// Gets one transfer's answer, on the loop's thread.
class TransferListener {
public:
  virtual ~TransferListener() = default;
  virtual void onHead(const TransferHead &Head) = 0;
  virtual void onChunk(std::string_view Piece) = 0;
  /// The last call.
  virtual void onDone(const TransferResult &Result) = 0;
};

/// Many transfers on one loop's thread by libcurl's multi interface.
class CurlMulti {
public:
  /// \p Loop outlives it. Keeps up to \p MaxIdle connections for use again.
  CurlMulti(net::EventLoop &Loop, long MaxIdle);
  ~CurlMulti();
  CurlMulti(const CurlMulti &) = delete;
  CurlMulti &operator=(const CurlMulti &) = delete;

  /// Starts a transfer and names it.
  uint64_t start(TransferRequest Request,
                 std::shared_ptr<TransferListener> Listener);
  /// Closes its connection; its listener is not called any more.
  void cancel(uint64_t Transfer);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_CURLMULTI_H
