#include "Core/Adapters/Curl/CurlTransfer.h"

#include "Core/Adapters/Curl/HeaderField.h"
#include "Core/Model/HeaderValue.h"
#include "Core/Model/LowerCase.h"

#include <algorithm>
#include <exception>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace bronzepass::core::adapters::curl {

namespace {

constexpr int FirstStatus = 100;
constexpr int FirstFinalStatus = 200;
/// For the header lines of one answer: of interim answers, the head and
/// trailers. A server that sends more does not answer in HTTP.
constexpr size_t MaxHeaderBytes = 64 << 10;
/// The same; what is kept of a short line takes many times its bytes.
constexpr size_t MaxHeaderLines = 256;
/// libcurl and the listener keep each line.
constexpr uint64_t LineCopies = 2;
/// What keeping a line takes beside its bytes.
constexpr uint64_t LineOverhead = 256;

bool hasBody(const TransferRequest &Request, int Status) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return Request.m_Method != "HEAD" && Status != NoContent &&
         Status != NotModified;
}

/// Whether a status line stands behind the start of the line: the server began
/// another answer inside this one's head.
bool holdsOtherAnswer(std::string_view Line) {
  constexpr std::string_view Start = "HTTP/1.";
  constexpr size_t StatusOffset = Start.size() + 2;
  constexpr size_t StatusLength = 3;
  for (size_t At = Line.find(Start, 1); At != std::string_view::npos;
       At = Line.find(Start, At + 1)) {
    const std::string_view Status =
        Line.substr(std::min(Line.size(), At + StatusOffset), StatusLength);
    if (Status.size() == StatusLength &&
        Status.find_first_not_of("0123456789") == std::string_view::npos)
      return true;
  }
  return false;
}

size_t handleHeaderLine(Transfer &Running, std::string_view Line) {
  if (Running.m_Cancelled)
    return 0; // libcurl closes the connection.
  Running.m_HeaderBytes += Line.size();
  ++Running.m_HeaderLines;
  Running.m_PartialLineBytes = 0;
  if (Running.m_HeaderBytes > MaxHeaderBytes) {
    Running.m_AbortReason = "the answer's header lines are longer than " +
                            std::to_string(MaxHeaderBytes) + " bytes";
    return 0; // libcurl ends the transfer.
  }
  if (Running.m_HeaderLines > MaxHeaderLines) {
    Running.m_AbortReason = "the answer has more than " +
                            std::to_string(MaxHeaderLines) + " header lines";
    return 0;
  }
  Running.m_Listener->onHeadBytes(headBytes(Running));
  if (Running.m_Cancelled)
    return 0;
  // Header lines after the head are trailers.
  if (Running.m_HeadReceived)
    return Line.size();
  if (holdsOtherAnswer(Line)) {
    Running.m_AbortReason = "another answer begins inside the head";
    return 0;
  }
  if (Line.substr(0, 5) == "HTTP/") {
    Running.m_Head = {};
    return Line.size();
  }
  if (!model::trimBlanks(Line).empty()) {
    std::optional<std::pair<std::string, std::string>> Field =
        readHeaderField(Line);
    if (!Field) {
      Running.m_AbortReason = "a line of the answer's head is no header field";
      return 0;
    }
    Running.m_Head.m_Lines.push_back(std::move(*Field));
    return Line.size();
  }
  long Status = 0;
  curl_easy_getinfo(Running.m_Easy.get(), CURLINFO_RESPONSE_CODE, &Status);
  if (Status < FirstStatus) {
    Running.m_AbortReason = "the answer's status is not valid";
    return 0;
  }
  if (Status < FirstFinalStatus)
    return Line.size();
  Running.m_Head.m_Status = static_cast<int>(Status);
  const std::optional<BodyFormat> Body =
      readBodyFormat(Running.m_Head.m_Lines,
                     hasBody(Running.m_Request, Running.m_Head.m_Status));
  if (!Body) {
    Running.m_AbortReason =
        "the answer's length or transfer coding is not valid";
    return 0;
  }
  Running.m_Head.m_BodyFormat = *Body;
  long Connects = 0;
  curl_easy_getinfo(Running.m_Easy.get(), CURLINFO_NUM_CONNECTS, &Connects);
  Running.m_Head.m_OnNewConnection = Connects > 0;
  Running.m_HeadReceived = true;
  Running.m_Listener->onHead(Running.m_Head);
  // The listener keeps what it needs.
  HeaderLineList().swap(Running.m_Head.m_Lines);
  return Running.m_Cancelled ? 0 : Line.size();
}

size_t handleBody(Transfer &Running, std::string_view Chunk) {
  if (Running.m_Cancelled)
    return 0; // libcurl closes the connection.
  if (!Running.m_Listener->onChunk(Chunk)) {
    Running.m_AbortReason = "the body is too long";
    return 0;
  }
  return Running.m_Cancelled ? 0 : Chunk.size();
}

/// Calls \p Handle for one of libcurl's callbacks. An exception ends only this
/// transfer: it must not pass through libcurl, whose state it would corrupt.
size_t guardCallback(void *User, std::string_view Bytes,
                     size_t (*Handle)(Transfer &, std::string_view)) {
  Transfer &Running = *static_cast<Transfer *>(User);
  try {
    return Handle(Running, Bytes);
  } catch (const std::exception &Error) {
    Running.m_AbortReason = Error.what();
    return 0;
  }
}

} // namespace

uint64_t headBytes(const Transfer &Running) {
  return LineCopies * Running.m_HeaderBytes +
         LineOverhead * Running.m_HeaderLines + Running.m_PartialLineBytes;
}

/// libcurl resends a request by itself if a reused connection turns out to be
/// dead, although the server may have run it. Aborts that second attempt.
int onBeforeSend(void *User, char *, char *, int, int) {
  Transfer &Running = *static_cast<Transfer *>(User);
  if (Running.m_SendStarted)
    return CURL_PREREQFUNC_ABORT;
  if (Running.m_Request.m_MaySend && !Running.m_Request.m_MaySend()) {
    Running.m_AbortReason = "nobody waits for the answer any more";
    return CURL_PREREQFUNC_ABORT;
  }
  Running.m_SendStarted = true;
  return CURL_PREREQFUNC_OK;
}

int onSocketCreated(void *User, curl_socket_t Socket, curlsocktype) {
  const TransferRequest &Request = static_cast<Transfer *>(User)->m_Request;
  if (Request.m_TcpUserTimeout.count() == 0)
    return CURL_SOCKOPT_OK;
  const unsigned Millis =
      static_cast<unsigned>(Request.m_TcpUserTimeout.count());
  ::setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis, sizeof(Millis));
  // The kernel counts probes in whole seconds.
  const int On = 1;
  const int Second = 1;
  const int Probes = std::max(1, static_cast<int>(Millis / 1000));
  ::setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  ::setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &Second, sizeof(Second));
  ::setsockopt(Socket, IPPROTO_TCP, TCP_KEEPINTVL, &Second, sizeof(Second));
  ::setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
  return CURL_SOCKOPT_OK;
}

size_t onHeaderLine(char *Data, size_t Size, size_t Count, void *User) {
  return guardCallback(User, {Data, Size * Count}, handleHeaderLine);
}

size_t onBody(char *Data, size_t Size, size_t Count, void *User) {
  return guardCallback(User, {Data, Size * Count}, handleBody);
}

TransferResult makeResult(const Transfer &Ended, CURLcode Code) {
  CURL *const Easy = Ended.m_Easy.get();
  long Sent = 0;
  long Connects = 0;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &Sent);
  curl_easy_getinfo(Easy, CURLINFO_NUM_CONNECTS, &Connects);
  // Without a length or chunks, the end of the body can't be distinguished
  // from a broken connection.
  const bool Delimited =
      Ended.m_Head.m_BodyFormat.m_Framing != model::BodyFraming::Connection;
  TransferResult Result;
  Result.m_Complete = Code == CURLE_OK && Delimited;
  Result.m_EndedByClose = Code == CURLE_OK && !Delimited;
  Result.m_BytesSent = static_cast<uint64_t>(Sent);
  Result.m_Connects = static_cast<uint32_t>(Connects);
  Result.m_Refused = Code == CURLE_COULDNT_CONNECT;
  Result.m_TimedOut = Code == CURLE_OPERATION_TIMEDOUT;
  if (!Ended.m_AbortReason.empty())
    Result.m_Error = Ended.m_AbortReason;
  else if (Code == CURLE_OUT_OF_MEMORY && !Ended.m_HeadReceived)
    // libcurl's code for a header line beyond its limit.
    Result.m_Error = "a header line of the answer is too long";
  else if (Code != CURLE_OK)
    Result.m_Error = curl_easy_strerror(Code);
  else if (!Delimited)
    Result.m_Error = "the answer has neither a length nor chunks";
  return Result;
}

} // namespace bronzepass::core::adapters::curl
