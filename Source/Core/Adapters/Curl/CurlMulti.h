#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_CURLMULTI_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_CURLMULTI_H

#include "Core/Adapters/Curl/BodyFormat.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Model/Address.h"

#include <chrono>
#include <cstdint>
#include <functional>
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
  /// Each as "Name: value".
  std::vector<std::string> m_Headers;
  std::string m_Body;
  /// Sent in place of m_Body if set; shared with those that may send it again.
  std::shared_ptr<const std::string> m_SharedBody;
  std::chrono::milliseconds m_ConnectTimeout = std::chrono::seconds(1);
  /// For the whole transfer; zero means none.
  std::chrono::milliseconds m_Timeout{0};
  /// Use a new connection and close it afterwards.
  bool m_FreshConnection = false;
  /// Don't reuse a connection that was idle for longer than this. Zero means
  /// libcurl's default of 118 s.
  std::chrono::seconds m_MaxIdleAge{0};
  /// How long sent bytes may stay unacknowledged, and keep-alive probes
  /// unanswered, before the connection fails. Zero means the kernel's defaults.
  std::chrono::milliseconds m_TcpUserTimeout{0};
  /// Called when a connection is ready, before the first byte is sent. False:
  /// the transfer ends, and nothing is sent. Empty: it is always sent.
  std::function<bool()> m_MaySend;
};

/// Status and headers of an answer.
struct TransferHead {
  int m_Status = 0;
  /// With the names' case unchanged.
  HeaderLineList m_Lines;
  BodyFormat m_BodyFormat;
  /// The connection was opened for this transfer.
  bool m_OnNewConnection = false;

  /// The value of the last line of that name; empty if there is none.
  std::string header(const std::string &Name) const;
  /// The same of all names, in lower case.
  std::map<std::string, std::string> headers() const;
};

struct TransferResult {
  /// The complete answer was received, according to its Content-Length or
  /// chunked encoding.
  bool m_Complete = false;
  /// The answer had neither Content-Length nor chunked encoding, and its
  /// connection was closed without an error.
  bool m_EndedByClose = false;
  /// Bytes of the request that were written to connections; 0 proves that the
  /// request did not run.
  uint64_t m_BytesSent = 0;
  /// Connections that were opened for the transfer.
  uint32_t m_Connects = 0;
  /// The connection was refused, or failed in another way before a timeout.
  bool m_Refused = false;
  bool m_TimedOut = false;
  /// Empty if m_Complete is set.
  std::string m_Error;
};

/// Receives the answer of one transfer, on the loop's thread.
class TransferListener {
public:
  virtual ~TransferListener() = default;
  /// The head, of which a part has been received, takes \p Bytes in all.
  virtual void onHeadBytes(uint64_t /*Bytes*/) {}
  virtual void onHead(const TransferHead &Head) = 0;
  /// Returns false to end the transfer as incomplete and close its connection.
  virtual bool onChunk(std::string_view Chunk) = 0;
  /// The last call.
  virtual void onDone(const TransferResult &Result) = 0;
};

/// Runs many concurrent transfers on the thread of one EventLoop, with
/// libcurl's multi interface.
class CurlMulti {
public:
  /// \p Loop must outlive it. Up to \p MaxIdleConnections connections are kept
  /// for reuse.
  CurlMulti(net::EventLoop &Loop, long MaxIdleConnections);
  ~CurlMulti();
  CurlMulti(const CurlMulti &) = delete;
  CurlMulti &operator=(const CurlMulti &) = delete;

  /// Starts a transfer and returns its id.
  uint64_t start(TransferRequest Request,
                 std::shared_ptr<TransferListener> Listener);
  /// Resets the transfer's connection, so that the kernel delivers nothing more
  /// of the request. Its listener is not called any more.
  void cancel(uint64_t Transfer);
  /// Whether the first byte of the request has been sent, or is about to be.
  bool hasBegun(uint64_t Transfer) const;
  /// Whether the server's machine has acknowledged the whole request.
  bool hasArrived(uint64_t Transfer) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_CURLMULTI_H
