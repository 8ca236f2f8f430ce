#include "Core/Adapters/Pistache/HttpServer.h"

#include "Core/Model/LowerCase.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sstream>
#include <sys/socket.h>

namespace bronzepass::core::adapters::pistache {

namespace {

constexpr int ListenBacklog = 1024;
const char *const ConnectionData = "bronzepass.connection";

/// Long enough to disable Pistache's own timers. They don't know of responses
/// that Pistache does not write: on expiry it drops the connection (or, unless
/// the peer is set idle, writes a 408 into the response) and reads nothing more
/// from it.
constexpr std::chrono::hours DisabledTimeout(24 * 365);

/// Which part of the current request is being received.
enum class InputPhase { None, Headers, Body };

/// State of a connection on its reactor thread. It is freed with Pistache's
/// peer, whose descriptor is closed by then, so it closes our duplicate as
/// well.
struct PeerState {
  std::shared_ptr<HttpConnection> m_Connection;
  /// Bytes of the current request.
  size_t m_BytesRead = 0;
  InputPhase m_Phase = InputPhase::None;

  PeerState() = default;
  PeerState(const PeerState &) = delete;
  PeerState &operator=(const PeerState &) = delete;
  ~PeerState() {
    const std::shared_ptr<HttpConnection> Connection = m_Connection;
    if (Connection)
      Connection->loop().post([Connection] { Connection->abort(); });
  }
};

std::string headerValue(const Pistache::Http::Header::Header &Header) {
  std::ostringstream Text;
  Header.write(Text);
  return Text.str();
}

/// Pistache stores the headers that it knows separately from the others.
void copyHeaders(const Pistache::Http::Request &From, HttpRequest &To) {
  for (const std::shared_ptr<Pistache::Http::Header::Header> &Header :
       From.headers().list())
    To.m_Headers[model::lowerCase(Header->name())] = headerValue(*Header);
  for (const auto &Entry : From.headers().rawList())
    To.m_Headers[model::lowerCase(Entry.first)] = Entry.second.value();
}

HttpRequest copyRequest(const Pistache::Http::Request &From) {
  HttpRequest To;
  To.m_Method = Pistache::Http::methodString(From.method());
  To.m_Path = From.resource();
  for (auto It = From.query().parameters_begin();
       It != From.query().parameters_end(); ++It)
    To.m_Query[It->first] = It->second;
  To.m_QueryText = From.query().as_str();
  copyHeaders(From, To);
  To.m_Body = From.body();
  To.m_PeerIp = From.address().host();
  return To;
}

bool wantsKeepAlive(const Pistache::Http::Request &Request) {
  using Pistache::Http::ConnectionControl;
  const std::shared_ptr<const Pistache::Http::Header::Connection> Header =
      Request.headers().tryGet<Pistache::Http::Header::Connection>();
  const bool Http11 = Request.version() == Pistache::Http::Version::Http11;
  if (!Header)
    return Http11;
  return Header->control() == ConnectionControl::KeepAlive ||
         (Http11 && Header->control() != ConnectionControl::Close);
}

/// Reads requests with Pistache's parser. It replaces Pistache's own input
/// handler, which answers errors in plain text and by descriptor number.
class InputHandler : public Pistache::Http::Handler {
public:
  HTTP_PROTOTYPE(InputHandler)

  InputHandler(const HttpServerOptions &Options, net::EventLoop &Loop,
               HttpHandler &Handler)
      : m_Options(Options), m_Loop(Loop), m_Handler(Handler) {}

  void onRequest(const Pistache::Http::Request & /*Request*/,
                 Pistache::Http::ResponseWriter /*Writer*/) override {}

private:
  using Peer = std::shared_ptr<Pistache::Tcp::Peer>;

  void onConnection(const Peer &Peer) override {
    Peer->putData(ParserData, std::make_shared<Pistache::Http::RequestParser>(
                                  getMaxRequestSize()));
    const std::shared_ptr<PeerState> State = std::make_shared<PeerState>();
    State->m_Connection = std::make_shared<HttpConnection>(
        m_Loop, Peer->fd(), m_Options.m_Connections);
    Peer->putData(ConnectionData, State);
    if (!State->m_Connection->hasDescriptor()) {
      // No response could be written. Pistache sees the shutdown and closes the
      // connection.
      ::shutdown(Peer->fd(), SHUT_RDWR);
      return;
    }
    m_Loop.post(
        [Connection = State->m_Connection, Limit = m_Options.m_HeaderTimeout] {
          Connection->expectInput(Limit, nullptr);
        });
  }

  void onInput(const char *Data, size_t Size, const Peer &Peer) override {
    PeerState &State =
        *std::static_pointer_cast<PeerState>(Peer->getData(ConnectionData));
    if (State.m_Connection->isDiscarding() || State.m_Connection->isBusy())
      return;
    Pistache::Http::RequestParser &Parser = *getParser(Peer);
    State.m_BytesRead += Size;
    try {
      readInput({Data, Size}, Parser, State);
    } catch (const Pistache::Http::HttpError &Exception) {
      rejectRequest(HttpRequestError::Malformed, Exception.reason(), Parser,
                    State);
    } catch (const std::exception &Exception) {
      rejectRequest(HttpRequestError::Malformed, Exception.what(), Parser,
                    State);
    }
  }

  void readInput(std::string_view Data, Pistache::Http::RequestParser &Parser,
                 PeerState &State) {
    const bool Fits = Parser.feed(Data.data(), Data.size());
    const bool Done =
        Fits && Parser.parse() == Pistache::Http::Private::State::Done;
    if (Done && Parser.request.body().size() <= m_Options.m_MaxBodyBytes) {
      handleRequest(Parser, State);
      return;
    }
    const bool InHeaders = !Done && isReadingHeaders(Parser);
    if (InHeaders && (!Fits || State.m_BytesRead > m_Options.m_MaxHeaderBytes))
      rejectRequest(HttpRequestError::HeadersTooLarge,
                    "the headers are too large", Parser, State);
    else if (!InHeaders &&
             (Done || !Fits || declaresTooLargeBody(Parser.request)))
      rejectRequest(HttpRequestError::BodyTooLarge, "the body is too large",
                    Parser, State);
    else
      startReadTimeout(InHeaders ? InputPhase::Headers : InputPhase::Body,
                       State);
  }

  /// Starts the timeout for the rest of a request, once for its headers and
  /// once for its body.
  void startReadTimeout(InputPhase Phase, PeerState &State) {
    if (State.m_Phase == Phase)
      return;
    State.m_Phase = Phase;
    const std::chrono::milliseconds Limit = Phase == InputPhase::Headers
                                                ? m_Options.m_HeaderTimeout
                                                : m_Options.m_BodyTimeout;
    HttpReply Reply = m_Handler.onRequestError(HttpRequestError::TimedOut,
                                               "the request came too slowly");
    Reply.m_Close = true;
    const std::shared_ptr<HttpConnection> Connection = State.m_Connection;
    m_Loop.post([Connection, Limit, Reply = std::move(Reply)] {
      Connection->expectInput(Limit, [Connection, Reply] {
        Connection->setDiscarding();
        HttpResponseWriter(Connection, true, false, false).send(Reply);
      });
    });
  }

  static bool isReadingHeaders(Pistache::Http::RequestParser &Parser) {
    return Parser.step()->id() != Pistache::Http::Private::BodyStep::Id;
  }

  bool declaresTooLargeBody(const Pistache::Http::Request &Request) const {
    const std::shared_ptr<const Pistache::Http::Header::ContentLength> Length =
        Request.headers().tryGet<Pistache::Http::Header::ContentLength>();
    return Length && Length->value() > m_Options.m_MaxBodyBytes;
  }

  void handleRequest(Pistache::Http::RequestParser &Parser, PeerState &State) {
    // Fails if the read timeout has just expired.
    if (!State.m_Connection->tryMarkBusy())
      return;
    HttpRequest Request = copyRequest(Parser.request);
    const bool Http11 =
        Parser.request.version() == Pistache::Http::Version::Http11;
    std::shared_ptr<HttpResponseWriter> Answer =
        std::make_shared<HttpResponseWriter>(State.m_Connection, Http11,
                                             wantsKeepAlive(Parser.request),
                                             Request.m_Method == "HEAD");
    resetInput(Parser, State);
    m_Handler.onRequest(std::move(Request), std::move(Answer));
  }

  static void resetInput(Pistache::Http::RequestParser &Parser,
                         PeerState &State) {
    Parser.reset();
    State.m_BytesRead = 0;
    State.m_Phase = InputPhase::None;
  }

  void rejectRequest(HttpRequestError Error, const std::string &Message,
                     Pistache::Http::RequestParser &Parser, PeerState &State) {
    if (!State.m_Connection->tryMarkBusy())
      return;
    State.m_Connection->setDiscarding();
    resetInput(Parser, State);
    HttpReply Reply = m_Handler.onRequestError(Error, Message);
    Reply.m_Close = true;
    const std::shared_ptr<HttpResponseWriter> Answer =
        std::make_shared<HttpResponseWriter>(State.m_Connection, true, false,
                                             false);
    m_Loop.post([Answer, Reply = std::move(Reply)] { Answer->send(Reply); });
  }

  HttpServerOptions m_Options;
  net::EventLoop &m_Loop;
  HttpHandler &m_Handler;
};

} // namespace

class HttpServer::Impl {
public:
  Impl(const HttpServerOptions &Options, net::EventLoop &Loop,
       HttpHandler &Handler)
      : m_Options(Options),
        m_Handler(std::make_shared<InputHandler>(Options, Loop, Handler)) {}

  std::optional<std::string> start() {
    try {
      m_Endpoint = std::make_unique<Pistache::Http::Endpoint>(
          Pistache::Address(m_Options.m_Address.m_Ip,
                            Pistache::Port(m_Options.m_Address.m_Port)));
      m_Endpoint->init(Pistache::Http::Endpoint::options()
                           .threads(m_Options.m_Threads)
                           .threadsName("http")
                           .flags(Pistache::Tcp::Options::ReuseAddr)
                           .backlog(ListenBacklog)
                           .maxRequestSize(m_Options.m_MaxHeaderBytes +
                                           m_Options.m_MaxBodyBytes)
                           .headerTimeout(DisabledTimeout)
                           .bodyTimeout(DisabledTimeout)
                           .keepaliveTimeout(DisabledTimeout));
      // Endpoint::init() ignores the backlog and uses 128. In a burst, callers
      // beyond that wait a second for their connection's retry.
      m_Endpoint->initArgs(static_cast<size_t>(m_Options.m_Threads),
                           Pistache::Flags<Pistache::Tcp::Options>(
                               Pistache::Tcp::Options::ReuseAddr),
                           std::string("http"), ListenBacklog);
      m_Endpoint->setHandler(m_Handler);
      m_Endpoint->serveThreaded();
    } catch (const std::exception &Exception) {
      m_Endpoint.reset();
      return "cannot listen on " + m_Options.m_Address.m_Ip + ":" +
             std::to_string(m_Options.m_Address.m_Port) + ": " +
             Exception.what();
    }
    return std::nullopt;
  }

  void stop() {
    if (m_Endpoint)
      m_Endpoint->shutdown();
    m_Endpoint.reset();
  }

  uint16_t port() const {
    return m_Endpoint ? static_cast<uint16_t>(m_Endpoint->getPort()) : 0;
  }

private:
  HttpServerOptions m_Options;
  std::shared_ptr<InputHandler> m_Handler;
  std::unique_ptr<Pistache::Http::Endpoint> m_Endpoint;
};

HttpServer::HttpServer(const HttpServerOptions &Options, net::EventLoop &Loop,
                       HttpHandler &Handler)
    : m_Impl(std::make_unique<Impl>(Options, Loop, Handler)) {}

HttpServer::~HttpServer() { stop(); }

std::optional<std::string> HttpServer::start() { return m_Impl->start(); }

void HttpServer::stop() { m_Impl->stop(); }

uint16_t HttpServer::port() const { return m_Impl->port(); }

} // namespace bronzepass::core::adapters::pistache
