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

/// Writes the response to one request, at once or in chunks. It writes only to
/// the connection that the request was received on, and never after its own
/// end. Used on the loop's thread. If it is destroyed before the response is
/// complete, it aborts the connection.
class HttpResponseWriter {
public:
  HttpResponseWriter(std::shared_ptr<HttpConnection> Connection, bool Http11,
                     bool KeepAlive, bool HeadOnly);
  ~HttpResponseWriter();
  HttpResponseWriter(const HttpResponseWriter &) = delete;
  HttpResponseWriter &operator=(const HttpResponseWriter &) = delete;

  /// Calls \p OnDisconnect once if the caller disconnects, or its connection is
  /// aborted, before the end. Calls it immediately if the caller has already
  /// disconnected.
  void onDisconnect(std::function<void()> OnDisconnect);

  /// Closes the connection after the response. Call it before the response
  /// begins.
  void closeAfter() { m_KeepAlive = false; }

  /// Writes the complete response.
  void send(const HttpReply &Reply);

  /// Starts a response whose body is passed to write(). Without
  /// \p ContentLength it uses chunked encoding or, for HTTP/1.0, ends when the
  /// connection is closed.
  void begin(int Status, const std::vector<HttpHeader> &Headers,
             std::optional<uint64_t> ContentLength);
  /// False if the caller has disconnected. The call that completes the
  /// ContentLength ends the response.
  bool write(std::string_view Bytes);
  /// Ends the response cleanly, or aborts it if bytes of its ContentLength are
  /// missing.
  void end();
  /// Closes the connection, so that the caller sees that the response is
  /// incomplete.
  void abort();

  /// Calls \p OnSent once all written bytes are handed to the kernel, or the
  /// connection is closed.
  void whenSent(std::function<void()> OnSent) {
    m_Connection->whenSent(std::move(OnSent));
  }

  /// Why the connection has ended, in onDisconnect() and after it.
  ConnectionEnd connectionEnd() const { return m_Connection->end(); }
  size_t lostBytes() const { return m_Connection->lostBytes(); }
  bool hasCallerLeft() const { return m_Connection->hasCallerLeft(); }
  bool hasBegun() const { return m_Begun; }
  bool hasEnded() const { return m_Ended; }
  net::EventLoop &loop() { return m_Connection->loop(); }

private:
  std::string head(int Status, const std::vector<HttpHeader> &Headers,
                   std::optional<uint64_t> ContentLength) const;
  void ensureAttached();
  /// Some statuses have no body, and so neither a length nor chunks.
  void omitBodyIfNone(int Status);
  void releaseForNextRequest();
  void finish();

  std::shared_ptr<HttpConnection> m_Connection;
  bool m_Http11;
  bool m_KeepAlive;
  bool m_HeadOnly;
  bool m_Attached = false;
  bool m_Chunked = false;
  bool m_Begun = false;
  bool m_Ended = false;
  bool m_HasNoFraming = false;
  /// Body bytes that are still missing to the ContentLength, if one was given.
  std::optional<uint64_t> m_BytesLeft;
};

/// "Not Found" for 404; "Unknown" if there is no standard phrase.
const char *reasonPhrase(int Status);

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPRESPONSEWRITER_H
