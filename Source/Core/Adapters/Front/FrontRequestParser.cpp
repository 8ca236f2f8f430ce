#include "Core/Adapters/Front/FrontRequestParser.h"

#include "Core/Model/Hash.h"
#include "Core/Model/HeaderName.h"

#include <algorithm>
#include <bit>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <utility>

namespace bronzepass::core::adapters::front {

namespace {

namespace http = boost::beast::http;

constexpr int BadRequest = 400;
constexpr int ContentTooLarge = 413;
constexpr int HeadersTooLarge = 431;
constexpr uint64_t SmallBlockBytes = 16 << 10;
/// Blocks of this size and more go back to the system when they are freed
/// (daemon::returnLargeBlocks()).
constexpr uint64_t LargeBlockBytes = 128 << 10;

std::string text(boost::beast::string_view View) {
  return {View.data(), View.size()};
}

/// Unlike the assignment of an empty string, frees the memory.
void release(std::string &Text) { std::string().swap(Text); }

int statusOf(const boost::system::error_code &Error) {
  if (Error == http::error::header_limit)
    return HeadersTooLarge;
  if (Error == http::error::body_limit)
    return ContentTooLarge;
  return BadRequest;
}

} // namespace

std::optional<std::string> FrontRequest::header(std::string_view Name) const {
  for (const pistache::HttpHeader &Each : m_Headers)
    if (model::isSameHeader(Each.m_Name, Name))
      return Each.m_Value;
  return std::nullopt;
}

uint64_t FrontRequest::fingerprint() const {
  uint64_t Hash = model::stableHash(m_Method);
  Hash = model::stableHash(header("Host").value_or(""), Hash);
  Hash = model::stableHash(m_Target, Hash);
  return model::stableHash(m_Body, Hash);
}

std::string_view FrontRequest::path() const {
  return std::string_view(m_Target).substr(0, m_Target.find('?'));
}

class FrontRequestParser::Parser
    : public http::request_parser<http::empty_body> {};

FrontRequestParser::FrontRequestParser(ParserLimits Limits)
    : m_Limits(Limits) {}

FrontRequestParser::~FrontRequestParser() = default;

void FrontRequestParser::startRequest() {
  m_Parser = std::make_unique<Parser>();
  m_Parser->header_limit(m_Limits.m_MaxHeaderBytes);
  m_Parser->body_limit(m_Limits.m_MaxBodyBytes);
  m_BeganAt = std::chrono::steady_clock::now();
  m_CheckedBytes = 0;
  m_HeaderLines = {};
  m_ExpectsContinue = false;
  m_Chunks.reset();
  m_BodyLeft = 0;
  m_HeadBytes = 0;
  m_ReceivedBytes = 0;
  m_State = ParserState::Headers;
}

ParserState FrontRequestParser::fail(int Status, std::string Reason) {
  m_Error = {Status, std::move(Reason)};
  m_State = ParserState::Failed;
  return m_State;
}

/// Rejects bare line feeds, null characters and folded header lines. Beast
/// joins folded lines, but an endpoint may interpret them differently. Stops at
/// the end of the headers: the body may hold any bytes.
bool FrontRequestParser::checkHeaderLines() {
  for (; m_CheckedBytes < m_Buffer.size() && !m_HeaderLines.m_Ended;
       ++m_CheckedBytes) {
    const char C = m_Buffer[m_CheckedBytes];
    const char Before = std::exchange(m_HeaderLines.m_LastByte, C);
    if ((C == '\n' && Before != '\r') || C == '\0')
      return false;
    if ((C == ' ' || C == '\t') && Before == '\n')
      return false;
    if (C != '\n') {
      ++m_HeaderLines.m_LineLength;
      continue;
    }
    m_HeaderLines.m_Ended = m_HeaderLines.m_LineLength == 1;
    m_HeaderLines.m_LineLength = 0;
  }
  return true;
}

ParserState FrontRequestParser::feed(std::string_view Bytes) {
  if (m_State == ParserState::Failed)
    return m_State;
  m_ReceivedBytes += Bytes.size();
  if (m_State == ParserState::Body)
    return parseBody(Bytes);
  m_Buffer.append(Bytes);
  if (m_State == ParserState::Complete)
    return m_State;
  if (m_State == ParserState::Idle) {
    // An empty line before a request line is allowed.
    while (m_Buffer.rfind("\r\n", 0) == 0)
      m_Buffer.erase(0, 2);
    if (m_Buffer.empty() || m_Buffer == "\r")
      return m_State;
    startRequest();
  }
  if (parseHeaders() != ParserState::Body)
    return m_State;
  const std::string Behind = std::exchange(m_Buffer, {});
  return parseBody(Behind);
}

ParserState FrontRequestParser::parseHeaders() {
  if (!checkHeaderLines())
    return fail(BadRequest, "a header line does not end as HTTP/1.1 asks");
  boost::system::error_code Error;
  const size_t Consumed = m_Parser->put(
      boost::asio::buffer(m_Buffer.data(), m_Buffer.size()), Error);
  m_Buffer.erase(0, Consumed);
  m_CheckedBytes -= std::min(m_CheckedBytes, Consumed);
  m_HeadBytes += Consumed;
  if (Error && Error != http::error::need_more)
    return fail(statusOf(Error), Error.message());
  if (m_Parser->is_header_done())
    return validateHeaders();
  if (m_Buffer.size() > m_Limits.m_MaxHeaderBytes)
    return fail(HeadersTooLarge, "the headers are too large");
  return m_State;
}

ParserState FrontRequestParser::parseBody(std::string_view Input) {
  if (m_Chunks) {
    makeBodyRoom(chunkedBytesAfter(Input.size()));
    const ChunkState State = m_Chunks->read(Input, m_Body);
    m_Buffer = Input;
    return onChunks(State);
  }
  const size_t Taken =
      static_cast<size_t>(std::min<uint64_t>(m_BodyLeft, Input.size()));
  makeBodyRoom(m_Body.size() + Taken);
  m_Body.append(Input.substr(0, Taken));
  m_Buffer = Input.substr(Taken);
  m_BodyLeft -= Taken;
  if (m_BodyLeft == 0)
    m_State = ParserState::Complete;
  return m_State;
}

ParserState FrontRequestParser::onChunks(ChunkState State) {
  switch (State) {
  case ChunkState::MoreNeeded:
    return m_State;
  case ChunkState::Done:
    m_Body.shrink_to_fit();
    m_State = ParserState::Complete;
    return m_State;
  case ChunkState::Malformed:
    return fail(BadRequest, "the chunks are malformed");
  case ChunkState::BodyTooLarge:
    return fail(ContentTooLarge, "the body is too large");
  case ChunkState::FramingTooLarge:
    return fail(HeadersTooLarge, "extensions and trailers are too large");
  }
  return m_State;
}

uint64_t FrontRequestParser::chunkedBytesAfter(size_t Incoming) const {
  return std::min<uint64_t>(m_Body.size() + Incoming, m_Limits.m_MaxBodyBytes);
}

uint64_t FrontRequestParser::bodyCapacityFor(uint64_t Bytes) const {
  if (Bytes <= m_Body.capacity())
    return m_Body.capacity();
  const uint64_t Whole =
      m_Chunks ? m_Limits.m_MaxBodyBytes : m_Body.size() + m_BodyLeft;
  if (!m_Chunks && Whole <= LargeBlockBytes)
    return std::max(Bytes, Whole);
  // A body that grows by small blocks leaves holes between those of others.
  const uint64_t Block =
      Bytes <= SmallBlockBytes
          ? Bytes
          : std::max<uint64_t>(LargeBlockBytes, std::bit_ceil(Bytes));
  return std::max(Bytes, std::min(Whole, Block));
}

void FrontRequestParser::makeBodyRoom(uint64_t Bytes) {
  const uint64_t Capacity = bodyCapacityFor(Bytes);
  if (Capacity <= m_Body.capacity())
    return;
  // reserve() would give more to a string that has grown before.
  std::string Larger;
  Larger.reserve(Capacity);
  Larger.append(m_Body);
  m_Body = std::move(Larger);
}

uint64_t FrontRequestParser::bytesHeldAfter(size_t Incoming) const {
  const uint64_t Buffered = m_Buffer.capacity() + Incoming;
  // The head is held as it came and as fields.
  const uint64_t Head = 2 * m_HeadBytes;
  if (m_State != ParserState::Body || Incoming == 0)
    return Head + Buffered + m_Body.capacity();
  const uint64_t Body =
      m_Chunks ? chunkedBytesAfter(Incoming)
               : m_Body.size() + std::min<uint64_t>(m_BodyLeft, Incoming);
  return Head + Buffered + bodyCapacityFor(Body);
}

void FrontRequestParser::drop() {
  m_Parser.reset();
  release(m_Buffer);
  release(m_Body);
  m_HeadBytes = 0;
  m_State = ParserState::Failed;
}

std::vector<pistache::HttpHeader> FrontRequestParser::receivedHeaders() const {
  std::vector<pistache::HttpHeader> Headers;
  if (m_Parser && m_Parser->is_header_done())
    for (const auto &Field : m_Parser->get())
      Headers.push_back({text(Field.name_string()), text(Field.value())});
  return Headers;
}

ParserState FrontRequestParser::validateHeaders() {
  const http::request<http::empty_body> &Message = m_Parser->get();
  for (const auto &Field : Message)
    if (!model::isToken(text(Field.name_string())))
      return fail(BadRequest, "a header's name is not a token");
  const bool HasChunks = Message.count(http::field::transfer_encoding) != 0;
  if (HasChunks && !m_Parser->chunked())
    return fail(BadRequest, "a transfer encoding other than chunked");
  if (HasChunks && Message.count(http::field::content_length) != 0)
    return fail(BadRequest, "both a length and chunks");
  if (Message.count(http::field::transfer_encoding) > 1 ||
      Message.count(http::field::host) > 1)
    return fail(BadRequest, "a header that may come once came twice");
  m_ExpectsContinue =
      model::isSameHeader(text(Message[http::field::expect]), "100-continue");
  const uint64_t MaxHeaderBytes = m_Limits.m_MaxHeaderBytes;
  if (HasChunks)
    m_Chunks.emplace(m_Limits.m_MaxBodyBytes,
                     MaxHeaderBytes -
                         std::min<uint64_t>(MaxHeaderBytes, m_HeadBytes));
  else if (const auto Length = m_Parser->content_length())
    m_BodyLeft = *Length;
  m_State = ParserState::Body;
  return m_State;
}

FrontRequest FrontRequestParser::take() {
  FrontRequest Request;
  const http::request<http::empty_body> &Message = m_Parser->get();
  Request.m_Method = text(Message.method_string());
  Request.m_Target = text(Message.target());
  Request.m_Headers = receivedHeaders();
  constexpr unsigned Http11 = 11;
  Request.m_Http11 = Message.version() >= Http11;
  Request.m_KeepAlive = Message.keep_alive();
  Request.m_Body = std::move(m_Body);
  Request.m_BeganAt = m_BeganAt;
  release(m_Body);
  m_Parser.reset();
  m_HeadBytes = 0;
  // An idle connection holds no buffer.
  if (m_Buffer.empty())
    release(m_Buffer);
  m_State = ParserState::Idle;
  return Request;
}

} // namespace bronzepass::core::adapters::front
