#include "Core/Adapters/Curl/CurlMulti.h"

#include "Core/Adapters/Curl/CurlTransfer.h"
#include "Core/Model/HeaderName.h"
#include "Core/Model/LowerCase.h"

#include <algorithm>
#include <array>
#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzepass::core::adapters::curl {

namespace {

void initCurlOnce() {
  static const CURLcode Done = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(Done);
}

struct MultiDeleter {
  void operator()(CURLM *Multi) const { curl_multi_cleanup(Multi); }
};
std::string makeUrl(const TransferRequest &Request) {
  const bool IsV6 = Request.m_Address.m_Ip.find(':') != std::string::npos;
  const std::string Host =
      IsV6 ? "[" + Request.m_Address.m_Ip + "]" : Request.m_Address.m_Ip;
  return "http://" + Host + ":" + std::to_string(Request.m_Address.m_Port) +
         "/";
}

} // namespace

std::string TransferHead::header(const std::string &Name) const {
  for (auto Line = m_Lines.rbegin(); Line != m_Lines.rend(); ++Line)
    if (model::isSameHeader(Line->first, Name))
      return Line->second;
  return {};
}

std::map<std::string, std::string> TransferHead::headers() const {
  std::map<std::string, std::string> Values;
  for (const auto &[Name, Value] : m_Lines)
    Values[model::lowerCase(Name)] = Value;
  return Values;
}

class CurlMulti::Impl {
public:
  Impl(net::EventLoop &Loop, long MaxIdleConnections) : m_Loop(Loop) {
    initCurlOnce();
    m_Multi.reset(curl_multi_init());
    curl_multi_setopt(m_Multi.get(), CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(m_Multi.get(), CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_Multi.get(), CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(m_Multi.get(), CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_Multi.get(), CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  }

  ~Impl() {
    stopTimer();
    for (auto &Entry : m_Transfers)
      curl_multi_remove_handle(m_Multi.get(), Entry.second->m_Easy.get());
    m_Transfers.clear();
    m_Multi.reset();
  }

  uint64_t start(TransferRequest Request,
                 std::shared_ptr<TransferListener> Listener) {
    std::unique_ptr<Transfer> Added = std::make_unique<Transfer>();
    Added->m_Id = m_NextId++;
    Added->m_Request = std::move(Request);
    Added->m_Listener = std::move(Listener);
    Added->m_Easy.reset(curl_easy_init());
    setOptions(*Added);
    const uint64_t Id = Added->m_Id;
    CURL *const Easy = Added->m_Easy.get();
    m_Transfers[Id] = std::move(Added);
    if (m_InCurl)
      m_ToStart.push_back(Id);
    else
      curl_multi_add_handle(m_Multi.get(), Easy);
    return Id;
  }

  void cancel(uint64_t Id) {
    auto Found = m_Transfers.find(Id);
    if (Found == m_Transfers.end())
      return;
    Found->second->m_Cancelled = true;
    if (m_InCurl)
      m_ToRemove.push_back(Id);
    else
      remove(Id);
  }

  bool hasBegun(uint64_t Id) const {
    const auto Found = m_Transfers.find(Id);
    return Found != m_Transfers.end() && Found->second->m_SendStarted;
  }

  bool hasArrived(uint64_t Id) const {
    const auto Found = m_Transfers.find(Id);
    if (Found == m_Transfers.end() || !Found->second->m_SendStarted)
      return false;
    const Transfer &Running = *Found->second;
    if (Running.m_HeadReceived)
      return true;
    curl_off_t Written = 0;
    curl_easy_getinfo(Running.m_Easy.get(), CURLINFO_SIZE_UPLOAD_T, &Written);
    const TransferRequest &Request = Running.m_Request;
    const std::string &Body =
        Request.m_SharedBody ? *Request.m_SharedBody : Request.m_Body;
    if (static_cast<size_t>(Written) < Body.size())
      return false;
    int Unacknowledged = 0;
    return Running.m_Socket < 0 ||
           ::ioctl(Running.m_Socket, TIOCOUTQ, &Unacknowledged) != 0 ||
           Unacknowledged == 0;
  }

private:
  void setOptions(Transfer &Added) {
    CURL *const Easy = Added.m_Easy.get();
    const TransferRequest &Request = Added.m_Request;
    curl_easy_setopt(Easy, CURLOPT_URL, makeUrl(Request).c_str());
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.m_Method.c_str());
    curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    // Not part of the URL, because libcurl would normalise it.
    curl_easy_setopt(Easy, CURLOPT_REQUEST_TARGET, Request.m_Path.c_str());
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Request.m_ConnectTimeout.count()));
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Request.m_Timeout.count()));
    const long Fresh = Request.m_FreshConnection ? 1L : 0L;
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, Fresh);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, Fresh);
    if (Request.m_MaxIdleAge.count() > 0)
      curl_easy_setopt(Easy, CURLOPT_MAXAGE_CONN,
                       static_cast<long>(Request.m_MaxIdleAge.count()));
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, onBeforeSend);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Added);
    curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, onSocketCreated);
    curl_easy_setopt(Easy, CURLOPT_SOCKOPTDATA, &Added);
    curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, onSocketClosed);
    curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETDATA, this);
    setBody(Added);
    setHeaders(Added);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Added);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Added);
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, &Added);
  }

  static void setBody(Transfer &Added) {
    CURL *const Easy = Added.m_Easy.get();
    const TransferRequest &Request = Added.m_Request;
    if (Request.m_Method == "HEAD")
      curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
    const std::string &Body =
        Request.m_SharedBody ? *Request.m_SharedBody : Request.m_Body;
    if (Body.empty() &&
        (Request.m_Method == "GET" || Request.m_Method == "HEAD"))
      return;
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Body.c_str());
  }

  static void setHeaders(Transfer &Added) {
    // Avoids the "100 Continue" round trip before a long body.
    curl_slist *List = curl_slist_append(nullptr, "Expect:");
    for (const std::string &Header : Added.m_Request.m_Headers)
      List = curl_slist_append(List, Header.c_str());
    Added.m_HeaderList.reset(List);
    curl_easy_setopt(Added.m_Easy.get(), CURLOPT_HTTPHEADER, List);
  }

  void remove(uint64_t Id) {
    auto Found = m_Transfers.find(Id);
    if (Found == m_Transfers.end())
      return;
    // Known until its connection is closed.
    curl_multi_remove_handle(m_Multi.get(), Found->second->m_Easy.get());
    m_Transfers.erase(Id);
  }

  static Transfer &transferOf(CURL *Easy) {
    char *Private = nullptr;
    curl_easy_getinfo(Easy, CURLINFO_PRIVATE, &Private);
    // NOLINTNEXTLINE(bugprone-casting-through-void): set by setOptions().
    return *static_cast<Transfer *>(static_cast<void *>(Private));
  }

  static int onSocket(CURL *Easy, curl_socket_t Socket, int What, void *User,
                      void * /*SocketUser*/) {
    Impl &Self = *static_cast<Impl *>(User);
    if (What == CURL_POLL_REMOVE) {
      if (Self.neverConnected(Socket)) {
        Self.forget(Socket);
        return 0;
      }
      Self.m_Loop.watch(Socket, EPOLLIN, [&Self, Socket](uint32_t) {
        Self.spoilIdleConnection(Socket);
      });
      return 0;
    }
    uint32_t Events = 0;
    if ((What & CURL_POLL_IN) != 0)
      Events |= EPOLLIN;
    if ((What & CURL_POLL_OUT) != 0)
      Events |= EPOLLOUT;
    Transfer &Waiting = transferOf(Easy);
    Waiting.m_Socket = Socket;
    const uint64_t Id = Waiting.m_Id;
    Self.m_LastUsers[Socket] = Id;
    Self.m_Loop.watch(Socket, Events, [&Self, Socket, Id](uint32_t Ready) {
      Self.onSocketReady(Socket, Id, Ready);
    });
    return 0;
  }

  void onSocketReady(curl_socket_t Socket, uint64_t Id, uint32_t ReadyEvents) {
    int Action = 0;
    if ((ReadyEvents & (EPOLLIN | EPOLLHUP)) != 0)
      Action |= CURL_CSELECT_IN;
    if ((ReadyEvents & EPOLLOUT) != 0)
      Action |= CURL_CSELECT_OUT;
    if ((ReadyEvents & EPOLLERR) != 0)
      Action |= CURL_CSELECT_ERR;
    if (!readerOfHead(Id) || (ReadyEvents & EPOLLIN) == 0) {
      performSocketAction(Socket, Action);
      return;
    }
    int Unread = 0;
    ::ioctl(Socket, FIONREAD, &Unread);
    performSocketAction(Socket, Action);
    countPartialLine(Id, static_cast<size_t>(Unread));
  }

  /// The transfer, if its head is being received.
  Transfer *readerOfHead(uint64_t Id) {
    const auto Found = m_Transfers.find(Id);
    if (Found == m_Transfers.end() || Found->second->m_HeadReceived ||
        !Found->second->m_SendStarted)
      return nullptr;
    return Found->second.get();
  }

  /// libcurl tells of a header line once it is complete, and keeps what it has
  /// read of it in a buffer that grows by doubling.
  void countPartialLine(uint64_t Id, size_t Read) {
    Transfer *const Reading = readerOfHead(Id);
    if (!Reading)
      return;
    Reading->m_PartialLineBytes =
        std::min(Reading->m_PartialLineBytes + 2 * Read, MaxPartialLineBytes);
    const std::shared_ptr<TransferListener> Listener = Reading->m_Listener;
    Listener->onHeadBytes(headBytes(*Reading));
  }

  /// libcurl closes the descriptor of an attempt to connect by itself, and
  /// names it afterwards: another thread may have opened one of that number
  /// since.
  bool neverConnected(curl_socket_t Socket) const {
    const auto Last = m_LastUsers.find(Socket);
    if (Last == m_LastUsers.end())
      return false;
    const auto Running = m_Transfers.find(Last->second);
    return Running != m_Transfers.end() && !Running->second->m_SendStarted;
  }

  void forget(curl_socket_t Socket) {
    m_Loop.unwatch(Socket);
    const auto Last = m_LastUsers.find(Socket);
    if (Last == m_LastUsers.end())
      return;
    const auto Running = m_Transfers.find(Last->second);
    if (Running != m_Transfers.end() && Running->second->m_Socket == Socket)
      Running->second->m_Socket = -1;
    m_LastUsers.erase(Last);
  }

  static int onSocketClosed(void *User, curl_socket_t Socket) {
    Impl &Self = *static_cast<Impl *>(User);
    const auto Last = Self.m_LastUsers.find(Socket);
    if (Last != Self.m_LastUsers.end()) {
      const auto Running = Self.m_Transfers.find(Last->second);
      if (Running != Self.m_Transfers.end() && Running->second->m_Cancelled)
        resetOnClose(Socket);
    }
    Self.forget(Socket);
    return ::close(Socket);
  }

  /// Otherwise the kernel would go on delivering what is left of the request.
  static void resetOnClose(curl_socket_t Socket) {
    const linger Linger{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
  }

  /// The server has closed the connection, or sent bytes that belong to no
  /// request. libcurl would take these for the answer to the next one, so makes
  /// it see a closed connection.
  void spoilIdleConnection(curl_socket_t Socket) {
    m_Loop.unwatch(Socket);
    std::array<char, 4096> Bytes; // NOLINT: filled by recv().
    for (int Reads = 0; Reads < MaxIdleReads; ++Reads)
      if (::recv(Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT) <= 0)
        break;
    ::shutdown(Socket, SHUT_RDWR);
  }

  static int onTimer(CURLM * /*Multi*/, long Millis, void *User) {
    Impl &Self = *static_cast<Impl *>(User);
    Self.stopTimer();
    if (Millis < 0)
      return 0;
    Self.m_TimerRuns = true;
    Self.m_Timer =
        Self.m_Loop.runAfter(std::chrono::milliseconds(Millis), [&Self] {
          Self.m_TimerRuns = false;
          Self.performSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
    return 0;
  }

  void stopTimer() {
    if (m_TimerRuns)
      m_Loop.cancel(m_Timer);
    m_TimerRuns = false;
  }

  void performSocketAction(curl_socket_t Socket, int Action) {
    int Running = 0;
    m_InCurl = true;
    curl_multi_socket_action(m_Multi.get(), Socket, Action, &Running);
    m_InCurl = false;
    processFinished();
    runDeferred();
  }

  void processFinished() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_Multi.get(), &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      finish(transferOf(Message->easy_handle), Message->data.result);
    }
  }

  void finish(Transfer &Ended, CURLcode Code) {
    const TransferResult Result = makeResult(Ended, Code);
    const std::shared_ptr<TransferListener> Listener = Ended.m_Listener;
    const bool Cancelled = Ended.m_Cancelled;
    remove(Ended.m_Id);
    if (!Cancelled)
      Listener->onDone(Result);
  }

  /// Runs the starts and removals that were requested in libcurl's callbacks,
  /// where libcurl refuses them.
  void runDeferred() {
    const std::vector<uint64_t> ToRemove = std::move(m_ToRemove);
    m_ToRemove.clear();
    for (const uint64_t Id : ToRemove)
      remove(Id);
    const std::vector<uint64_t> ToStart = std::move(m_ToStart);
    m_ToStart.clear();
    for (const uint64_t Id : ToStart) {
      auto Found = m_Transfers.find(Id);
      if (Found != m_Transfers.end())
        curl_multi_add_handle(m_Multi.get(), Found->second->m_Easy.get());
    }
  }

  /// libcurl's limit of a header line, with what its buffer grows beyond.
  static constexpr size_t MaxPartialLineBytes = 128 << 10;
  /// Of the bytes behind an answer; a server may send them without end.
  static constexpr int MaxIdleReads = 16;

  net::EventLoop &m_Loop;
  std::unique_ptr<CURLM, MultiDeleter> m_Multi;
  std::unordered_map<uint64_t, std::unique_ptr<Transfer>> m_Transfers;
  /// The last transfer on each connection.
  std::unordered_map<curl_socket_t, uint64_t> m_LastUsers;
  uint64_t m_NextId = 1;
  bool m_InCurl = false;
  std::vector<uint64_t> m_ToStart;
  std::vector<uint64_t> m_ToRemove;
  bool m_TimerRuns = false;
  net::EventLoop::TimerId m_Timer;
};

CurlMulti::CurlMulti(net::EventLoop &Loop, long MaxIdleConnections)
    : m_Impl(std::make_unique<Impl>(Loop, MaxIdleConnections)) {}

CurlMulti::~CurlMulti() = default;

uint64_t CurlMulti::start(TransferRequest Request,
                          std::shared_ptr<TransferListener> Listener) {
  return m_Impl->start(std::move(Request), std::move(Listener));
}

void CurlMulti::cancel(uint64_t Transfer) { m_Impl->cancel(Transfer); }

bool CurlMulti::hasBegun(uint64_t Transfer) const {
  return m_Impl->hasBegun(Transfer);
}

bool CurlMulti::hasArrived(uint64_t Transfer) const {
  return m_Impl->hasArrived(Transfer);
}

} // namespace bronzepass::core::adapters::curl
