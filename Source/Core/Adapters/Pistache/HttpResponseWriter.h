#ifndef BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPRESPONSEWRITER_H
#define BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPRESPONSEWRITER_H

#include "Core/Adapters/Pistache/HttpConnection.h"
#include "Core/Adapters/Pistache/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace bronzepass::core::adapters::pistache {

/// The answer to one request, whole or in pieces. It writes to the connection
/// that the request came on and to no other, and never after its own end. Used
/// on the loop's thread; dropped before its end, it breaks the connection.
class HttpResponseWriter {
public:
  HttpResponseWriter(std::shared_ptr<HttpConnection> Connection, bool Http11,
                     bool KeepAlive, bool HeadOnly);
  ~HttpResponseWriter();
  HttpResponseWriter(const HttpResponseWriter &) = delete;
  HttpResponseWriter &operator=(const HttpResponseWriter &) = delete;

  /// Calls \p OnGone once if the caller leaves, or is cut, before the end.
  /// \p OnGone runs at once where it has left already.
  void onDisconnect(std::function<void()> OnGone);

  /// Close the connection behind the answer. Before it begins.
  void closeAfter() { m_KeepAlive = false; }

  /// The whole answer at once.
  void send(const HttpReply &Reply);

  /// Starts an answer in pieces. Without \p ContentLength it is chunked (or,
  /// for HTTP/1.0, ended by the connection's end).
  void begin(int Status, const std::vector<HttpHeader> &Headers,
             std::optional<uint64_t> ContentLength);
  /// False where the caller is gone. The piece that fills the ContentLength
  /// ends the answer.
  bool write(std::string_view Piece);
  /// Ends it cleanly.
  void end();
  /// Ends it so that the caller can tell that it is not whole.
  void abort();

  /// Calls \p OnSent once all that was written has left this process, or
  /// can't any more.
  void whenSent(std::function<void()> OnSent) {
    m_Connection->whenSent(std::move(OnSent));
  }

  bool hasBegun() const { return m_Begun; }
  bool hasEnded() const { return m_Ended; }
  net::EventLoop &loop() { return m_Connection->loop(); }

private:
  std::string head(int Status, const std::vector<HttpHeader> &Headers,
                   std::optional<uint64_t> ContentLength) const;
  void attach();
  void prepareEnd();
  void finish();

  std::shared_ptr<HttpConnection> m_Connection;
  bool m_Http11;
  bool m_KeepAlive;
  bool m_HeadOnly;
  bool m_Attached = false;
  bool m_Chunked = false;
  bool m_Begun = false;
  bool m_Ended = false;
  /// Of the ContentLength, if one was given.
  std::optional<uint64_t> m_BytesLeft;
};

/// "Not Found" for 404; "Unknown" where there is no standard phrase.
const char *reasonPhrase(int Status);

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPRESPONSEWRITER_H
