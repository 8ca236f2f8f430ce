#include "Core/Adapters/Pistache/HttpServer.h"

#include <algorithm>
#include <cctype>
#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <sstream>

namespace bronzepass::core::adapters::pistache {

namespace {

constexpr int ListenBacklog = 1024;
const char *const ConnectionData = "bronzepass.connection";

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

/// What a connection's reactor knows of it; freed with Pistache's peer, whose
/// descriptor is closed by then: ours is to follow.
struct PeerState {
  std::shared_ptr<HttpConnection> m_Connection;
  /// Of the request that is coming in.
  size_t m_BytesRead = 0;

  PeerState() = default;
  PeerState(const PeerState &) = delete;
  PeerState &operator=(const PeerState &) = delete;
  ~PeerState() {
    const std::shared_ptr<HttpConnection> Connection = m_Connection;
    if (Connection)
      Connection->loop().post([Connection] { Connection->cut(); });
  }
};

std::string valueOf(const Pistache::Http::Header::Header &Header) {
  std::ostringstream Text;
  Header.write(Text);
  return Text.str();
}

/// Pistache keeps the headers that it knows apart from the others.
void copyHeaders(const Pistache::Http::Request &From, HttpRequest &To) {
  for (const std::shared_ptr<Pistache::Http::Header::Header> &Header :
       From.headers().list())
    To.m_Headers[lowerCase(Header->name())] = valueOf(*Header);
  for (const auto &Entry : From.headers().rawList())
    To.m_Headers[lowerCase(Entry.first)] = Entry.second.value();
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

/// Reads requests with Pistache's parser. It takes the place of Pistache's own
/// input handler, which answers faults in plain text and by descriptor number.
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

  void onInput(const char *Data, size_t Size, const Peer &Peer) override {
    const std::shared_ptr<PeerState> State = stateOf(Peer);
    HttpConnection &Connection = *State->m_Connection;
    if (Connection.isDiscarding() || Connection.isBusy())
      return;
    Pistache::Http::RequestParser &Parser = *getParser(Peer);
    if (State->m_BytesRead == 0)
      Parser.reset(); // Its timeouts count from here.
    State->m_BytesRead += Size;
    Peer->setIdle(false);
    try {
      readInput({Data, Size}, Parser, Peer, *State);
    } catch (const Pistache::Http::HttpError &Error) {
      answerFault(HttpFault::Malformed, Error.reason(), Peer, *State);
    } catch (const std::exception &Error) {
      answerFault(HttpFault::Malformed, Error.what(), Peer, *State);
    }
  }

  void readInput(std::string_view Data, Pistache::Http::RequestParser &Parser,
                 const Peer &Peer, PeerState &State) {
    const bool Fits = Parser.feed(Data.data(), Data.size());
    const bool Done =
        Fits && Parser.parse() == Pistache::Http::Private::State::Done;
    if (Done && Parser.request.body().size() <= m_Options.m_MaxBodyBytes) {
      takeRequest(Parser, Peer, State);
      return;
    }
    if (!Done && inHeaders(Parser)) {
      if (!Fits || State.m_BytesRead > m_Options.m_MaxHeaderBytes)
        answerFault(HttpFault::HeadersTooLarge, "the headers are too large",
                    Peer, State);
      return;
    }
    if (Done || !Fits || announcesTooMuch(Parser.request))
      answerFault(HttpFault::BodyTooLarge, "the body is too large", Peer,
                  State);
  }

  static bool inHeaders(Pistache::Http::RequestParser &Parser) {
    return Parser.step()->id() != Pistache::Http::Private::BodyStep::Id;
  }

  bool announcesTooMuch(const Pistache::Http::Request &Request) const {
    const std::shared_ptr<const Pistache::Http::Header::ContentLength> Length =
        Request.headers().tryGet<Pistache::Http::Header::ContentLength>();
    return Length && Length->value() > m_Options.m_MaxBodyBytes;
  }

  void takeRequest(Pistache::Http::RequestParser &Parser, const Peer &Peer,
                   PeerState &State) {
    HttpRequest Request = copyRequest(Parser.request);
    const bool Http11 =
        Parser.request.version() == Pistache::Http::Version::Http11;
    std::shared_ptr<HttpAnswer> Answer = std::make_shared<HttpAnswer>(
        State.m_Connection, Http11, wantsKeepAlive(Parser.request),
        Request.m_Method == "HEAD");
    prepareAnswer(Parser, Peer, State);
    m_Handler.onRequest(std::move(Request), std::move(Answer));
  }

  void prepareAnswer(Pistache::Http::RequestParser &Parser, const Peer &Peer,
                     PeerState &State) {
    Parser.reset();
    State.m_BytesRead = 0;
    State.m_Connection->setBusy(true);
    // Pistache's timers know nothing of an answer that it does not write;
    // an idle peer is exempt from them.
    Peer->setIdle(true);
  }

  void answerFault(HttpFault Fault, const std::string &Message,
                   const Peer &Peer, PeerState &State) {
    HttpReply Reply = m_Handler.onFault(Fault, Message);
    Reply.m_Close = true;
    std::shared_ptr<HttpAnswer> Answer =
        std::make_shared<HttpAnswer>(State.m_Connection, true, false, false);
    prepareAnswer(*getParser(Peer), Peer, State);
    State.m_Connection->setDiscarding();
    m_Loop.post([Answer, Reply = std::move(Reply)] { Answer->send(Reply); });
  }

  std::shared_ptr<PeerState> stateOf(const Peer &Peer) {
    std::shared_ptr<void> Known = Peer->tryGetData(ConnectionData);
    if (Known)
      return std::static_pointer_cast<PeerState>(Known);
    const std::shared_ptr<PeerState> State = std::make_shared<PeerState>();
    State->m_Connection = std::make_shared<HttpConnection>(
        m_Loop, Peer->fd(), m_Options.m_Connections);
    Peer->putData(ConnectionData, State);
    return State;
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
      m_Endpoint->init(
          Pistache::Http::Endpoint::options()
              .threads(m_Options.m_Threads)
              .threadsName("http")
              .flags(Pistache::Tcp::Options::ReuseAddr)
              .backlog(ListenBacklog)
              .maxRequestSize(m_Options.m_MaxHeaderBytes +
                              m_Options.m_MaxBodyBytes)
              .headerTimeout(m_Options.m_HeaderTimeout)
              .bodyTimeout(m_Options.m_BodyTimeout)
              .keepaliveTimeout(m_Options.m_Connections.m_KeepAlive));
      m_Endpoint->setHandler(m_Handler);
      m_Endpoint->serveThreaded();
    } catch (const std::exception &Error) {
      m_Endpoint.reset();
      return "cannot listen on " + m_Options.m_Address.m_Ip + ":" +
             std::to_string(m_Options.m_Address.m_Port) + ": " + Error.what();
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

HttpServer::HttpServer(HttpServerOptions Options, net::EventLoop &Loop,
                       HttpHandler &Handler)
    : m_Impl(std::make_unique<Impl>(Options, Loop, Handler)) {}

HttpServer::~HttpServer() { stop(); }

std::optional<std::string> HttpServer::start() { return m_Impl->start(); }

void HttpServer::stop() { m_Impl->stop(); }

uint16_t HttpServer::port() const { return m_Impl->port(); }

} // namespace bronzepass::core::adapters::pistache
