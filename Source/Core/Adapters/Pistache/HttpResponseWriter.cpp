#include "Core/Adapters/Pistache/HttpResponseWriter.h"

#include <array>
#include <charconv>
#include <pistache/http_defs.h>

namespace bronzepass::core::adapters::pistache {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";

std::string makeChunk(std::string_view Bytes) {
  std::array<char, 16> Digits{};
  const std::to_chars_result Size =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Bytes.size(),
                    16); // Chunk sizes are hexadecimal.
  std::string Chunk;
  Chunk.reserve(Bytes.size() + Digits.size() + 2 * LineEnd.size());
  Chunk.append(Digits.data(), Size.ptr);
  Chunk.append(LineEnd).append(Bytes).append(LineEnd);
  return Chunk;
}

} // namespace

const char *reasonPhrase(int Status) {
  return Pistache::Http::codeString(static_cast<Pistache::Http::Code>(Status));
}

HttpResponseWriter::HttpResponseWriter(
    std::shared_ptr<HttpConnection> Connection, bool Http11, bool KeepAlive,
    bool HeadOnly)
    : m_Connection(std::move(Connection)), m_Http11(Http11),
      m_KeepAlive(KeepAlive), m_HeadOnly(HeadOnly) {}

HttpResponseWriter::~HttpResponseWriter() {
  if (m_Ended)
    return;
  // The last owner may be on any thread, but abort() runs on the loop's thread.
  const std::shared_ptr<HttpConnection> Connection = std::move(m_Connection);
  Connection->loop().post([Connection] { Connection->abort(); });
}

void HttpResponseWriter::onDisconnect(std::function<void()> OnDisconnect) {
  m_Attached = true;
  m_Connection->startAnswer(std::move(OnDisconnect));
}

void HttpResponseWriter::omitBodyIfNone(int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  m_HasNoFraming = Status == NoContent || Status == NotModified;
  m_HeadOnly = m_HeadOnly || m_HasNoFraming;
}

void HttpResponseWriter::ensureAttached() {
  if (!m_Attached)
    onDisconnect(nullptr);
}

std::string
HttpResponseWriter::head(int Status, const std::vector<HttpHeader> &Headers,
                         std::optional<uint64_t> ContentLength) const {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " +
                     reasonPhrase(Status) + "\r\n";
  for (const HttpHeader &Header : Headers)
    Text += Header.m_Name + ": " + Header.m_Value + "\r\n";
  if (ContentLength && !m_HasNoFraming)
    Text += "Content-Length: " + std::to_string(*ContentLength) + "\r\n";
  if (m_Chunked)
    Text += "Transfer-Encoding: chunked\r\n";
  Text += m_KeepAlive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
  return Text + "\r\n";
}

void HttpResponseWriter::send(const HttpReply &Reply) {
  if (m_Begun)
    return;
  m_Begun = true;
  ensureAttached();
  omitBodyIfNone(Reply.m_Status);
  m_KeepAlive = m_KeepAlive && !Reply.m_Close;
  std::vector<HttpHeader> Headers = Reply.m_Headers;
  Headers.push_back({"Content-Type", Reply.m_ContentType});
  std::string Text = head(Reply.m_Status, Headers, Reply.m_Body.size());
  if (!m_HeadOnly)
    Text += Reply.m_Body;
  releaseForNextRequest();
  m_Connection->write(Text);
  finish();
}

void HttpResponseWriter::begin(int Status,
                               const std::vector<HttpHeader> &Headers,
                               std::optional<uint64_t> ContentLength) {
  if (m_Begun)
    return;
  m_Begun = true;
  ensureAttached();
  omitBodyIfNone(Status);
  m_Chunked = !ContentLength && m_Http11 && !m_HasNoFraming;
  const bool EndsWithConnection =
      !ContentLength && !m_Chunked && !m_HasNoFraming;
  if (EndsWithConnection && !m_HeadOnly)
    m_Connection->setResetOnClose();
  m_KeepAlive = m_KeepAlive && !EndsWithConnection;
  m_BytesLeft = ContentLength;
  m_Connection->write(head(Status, Headers, ContentLength));
}

bool HttpResponseWriter::write(std::string_view Bytes) {
  if (m_Ended)
    return false;
  // An empty chunk would end the response.
  if (Bytes.empty() || m_HeadOnly)
    return m_Connection->isOpen();
  if (m_Chunked)
    return m_Connection->write(makeChunk(Bytes));
  if (!m_BytesLeft)
    return m_Connection->write(Bytes);
  Bytes = Bytes.substr(0, *m_BytesLeft);
  *m_BytesLeft -= Bytes.size();
  const bool IsLast = *m_BytesLeft == 0;
  if (IsLast)
    releaseForNextRequest();
  const bool Written = m_Connection->write(Bytes);
  if (IsLast)
    finish();
  return Written;
}

void HttpResponseWriter::end() {
  if (m_Ended)
    return;
  const bool IsShort = m_BytesLeft.value_or(0) > 0 && !m_HeadOnly;
  if (IsShort) {
    abort();
    return;
  }
  releaseForNextRequest();
  if (m_Chunked && !m_HeadOnly)
    m_Connection->write(LastChunk);
  finish();
}

void HttpResponseWriter::releaseForNextRequest() {
  // Called before the last byte is sent, because the caller's next request may
  // be received immediately after it.
  if (m_KeepAlive)
    m_Connection->clearBusy();
}

void HttpResponseWriter::finish() {
  m_Ended = true;
  if (!m_KeepAlive) {
    m_Connection->setDiscarding();
    m_Connection->clearBusy();
  }
  m_Connection->endAnswer(!m_KeepAlive);
}

void HttpResponseWriter::abort() {
  if (m_Ended)
    return;
  m_Ended = true;
  m_Connection->setDiscarding();
  m_Connection->clearBusy();
  m_Connection->startAnswer(nullptr);
  m_Connection->abort();
}

} // namespace bronzepass::core::adapters::pistache
