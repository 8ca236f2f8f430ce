#include "Core/Adapters/WebSocket/SocketTransport.h"

#include <map>
#include <thread>
#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace bronzepass::core::adapters::web_socket {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

/// A dialled or accepted connection.
struct Connection {
  connection_hdl m_Handle;
  bool m_Dialled = false;
  bool m_HasReceived = false;
};

/// Maximum wait for the peer's part of the closing handshake.
constexpr long CloseTimeoutMs = 1000;

} // namespace

class SocketTransport::Implementation {
public:
  Implementation(TransportListener &Listener, TransportLimits Limits)
      : m_Listener(Listener), m_Limits(Limits),
        m_Work(boost::asio::make_work_guard(m_Io)) {
    m_Server.init_asio(&m_Io);
    m_Client.init_asio(&m_Io);
    m_Server.set_reuse_addr(true);
    prepare(m_Server, false);
    prepare(m_Client, true);
    m_Thread = std::thread([this] { run(); });
  }

  ~Implementation() {
    post([this] { closeAll(); });
    m_Work.reset();
    m_Thread.join();
  }

  bool listen(const std::string &Ip, uint16_t Port, std::string &Reason) {
    boost::system::error_code AddressError;
    const auto Address = boost::asio::ip::make_address(Ip, AddressError);
    websocketpp::lib::error_code Error;
    if (!AddressError)
      m_Server.listen(boost::asio::ip::tcp::endpoint(Address, Port), Error);
    if (!AddressError && !Error)
      m_Server.start_accept(Error);
    if (AddressError || Error) {
      Reason = "cannot listen at " + Ip + ":" + std::to_string(Port) + ": " +
               (AddressError ? AddressError.message() : Error.message());
      return false;
    }
    m_Port = m_Server.get_local_endpoint(AddressError).port();
    return true;
  }

  uint16_t port() const { return m_Port; }

  void post(std::function<void()> Task) {
    boost::asio::post(m_Io, std::move(Task));
  }

  ConnectionId dial(const std::string &Ip, uint16_t Port) {
    const ConnectionId Id = ++m_LastId;
    const bool IsV6 = Ip.find(':') != std::string::npos;
    const std::string Host = IsV6 ? "[" + Ip + "]" : Ip;
    websocketpp::lib::error_code Error;
    const Client::connection_ptr Dialled = m_Client.get_connection(
        "ws://" + Host + ":" + std::to_string(Port) + "/", Error);
    if (Error) {
      post([this, Id] { m_Listener.onClose(Id); });
      return Id;
    }
    add(Id, Dialled->get_handle(), true);
    m_Client.connect(Dialled);
    return Id;
  }

  void send(ConnectionId Id, const std::string &Bytes) {
    const auto Found = m_Connections.find(Id);
    if (Found == m_Connections.end())
      return;
    if (Found->second.m_Dialled)
      sendOn(m_Client, Id, Found->second.m_Handle, Bytes);
    else
      sendOn(m_Server, Id, Found->second.m_Handle, Bytes);
  }

  void close(ConnectionId Id, const std::string &Reason) {
    const auto Found = m_Connections.find(Id);
    if (Found == m_Connections.end())
      return;
    websocketpp::lib::error_code Ignored;
    const auto Code = websocketpp::close::status::policy_violation;
    if (Found->second.m_Dialled)
      m_Client.close(Found->second.m_Handle, Code, Reason, Ignored);
    else
      m_Server.close(Found->second.m_Handle, Code, Reason, Ignored);
  }

private:
  template <typename EndpointT>
  void prepare(EndpointT &Endpoint, bool Dialled) {
    Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    Endpoint.set_max_message_size(m_Limits.m_MaxMessageBytes);
    Endpoint.set_max_http_body_size(0);
    Endpoint.set_open_handshake_timeout(m_Limits.m_OpenTimeout.count());
    Endpoint.set_close_handshake_timeout(CloseTimeoutMs);
    Endpoint.set_tcp_post_init_handler(
        [&Endpoint](const connection_hdl &Handle) {
          websocketpp::lib::error_code Ignored;
          const auto Opened = Endpoint.get_con_from_hdl(Handle, Ignored);
          boost::system::error_code Unset;
          if (Opened)
            Opened->get_raw_socket().set_option(
                boost::asio::ip::tcp::no_delay(true), Unset);
        });
    Endpoint.set_open_handler(
        [this, &Endpoint, Dialled](const connection_hdl &Handle) {
          handleOpen(Endpoint, Handle, Dialled);
        });
    Endpoint.set_message_handler(
        [this](const connection_hdl &Handle, const auto &Message) {
          handleMessage(Handle, Message->get_payload());
        });
    Endpoint.set_close_handler([this, &Endpoint](const connection_hdl &Handle) {
      reportRefusal(Endpoint, Handle);
      handleClose(Handle);
    });
    Endpoint.set_fail_handler(
        [this](const connection_hdl &Handle) { handleClose(Handle); });
  }

  void add(ConnectionId Id, const connection_hdl &Handle, bool Dialled) {
    m_Connections[Id] = {Handle, Dialled, false};
    m_Ids[Handle] = Id;
  }

  template <typename EndpointT>
  void handleOpen(EndpointT &Endpoint, const connection_hdl &Handle,
                  bool Dialled) {
    if (!Dialled)
      add(++m_LastId, Handle, false);
    const ConnectionId Id = m_Ids.at(Handle);
    if (m_Connections.size() > m_Limits.m_MaxConnections) {
      m_Listener.onRefused(Id, "too many connections");
      close(Id, "too many connections");
      return;
    }
    awaitFirstMessage(Endpoint, Id);
    m_Listener.onOpen(Id);
  }

  template <typename EndpointT>
  void awaitFirstMessage(EndpointT &Endpoint, ConnectionId Id) {
    Endpoint.set_timer(m_Limits.m_OpenTimeout.count(),
                       [this, Id](const websocketpp::lib::error_code &Error) {
                         const auto Found = m_Connections.find(Id);
                         if (Error || Found == m_Connections.end() ||
                             Found->second.m_HasReceived)
                           return;
                         close(Id, "no first message");
                       });
  }

  void handleMessage(const connection_hdl &Handle, const std::string &Bytes) {
    const auto Found = m_Ids.find(Handle);
    if (Found == m_Ids.end())
      return;
    m_Connections.at(Found->second).m_HasReceived = true;
    m_Listener.onMessage(Found->second, Bytes);
  }

  /// Reports why the library itself closed a connection: a violation of the
  /// WebSocket protocol or of the message size limit.
  template <typename EndpointT>
  void reportRefusal(EndpointT &Endpoint, const connection_hdl &Handle) {
    websocketpp::lib::error_code Ignored;
    const auto Closed = Endpoint.get_con_from_hdl(Handle, Ignored);
    const auto Found = m_Ids.find(Handle);
    if (!Closed || Found == m_Ids.end())
      return;
    const auto Code = Closed->get_local_close_code();
    if (Code == websocketpp::close::status::message_too_big)
      m_Listener.onRefused(Found->second, "too large");
    if (Code == websocketpp::close::status::protocol_error ||
        Code == websocketpp::close::status::invalid_payload)
      m_Listener.onRefused(Found->second, "not WebSocket");
  }

  void handleClose(const connection_hdl &Handle) {
    const auto Found = m_Ids.find(Handle);
    if (Found == m_Ids.end())
      return;
    const ConnectionId Id = Found->second;
    m_Ids.erase(Found);
    m_Connections.erase(Id);
    m_Listener.onClose(Id);
  }

  template <typename EndpointT>
  void sendOn(EndpointT &Endpoint, ConnectionId Id,
              const connection_hdl &Handle, const std::string &Bytes) {
    websocketpp::lib::error_code Error;
    const auto Open = Endpoint.get_con_from_hdl(Handle, Error);
    if (Error)
      return;
    if (Open->get_buffered_amount() + Bytes.size() >
        m_Limits.m_MaxBufferedBytes) {
      m_Listener.onRefused(Id, "peer reads too slowly");
      // A closing handshake would wait behind the data that the peer doesn't
      // read.
      boost::system::error_code Ignored;
      Open->get_raw_socket().close(Ignored);
      return;
    }
    Open->send(Bytes, websocketpp::frame::opcode::binary);
  }

  void closeAll() {
    websocketpp::lib::error_code Ignored;
    if (m_Server.is_listening())
      m_Server.stop_listening(Ignored);
    const std::map<ConnectionId, Connection> Open = m_Connections;
    for (const auto &[Id, Unused] : Open)
      close(Id, "stopping");
    m_StopTimer = std::make_unique<boost::asio::steady_timer>(
        m_Io, std::chrono::milliseconds(CloseTimeoutMs));
    m_StopTimer->async_wait(
        [this](const boost::system::error_code &) { m_Io.stop(); });
    stopWhenClosed();
  }

  void stopWhenClosed() {
    if (m_Connections.empty()) {
      m_Io.stop();
      return;
    }
    constexpr long PollMs = 10;
    m_Client.set_timer(PollMs, [this](const websocketpp::lib::error_code &) {
      stopWhenClosed();
    });
  }

  void run() {
    while (!m_Io.stopped()) {
      try {
        m_Io.run();
      } catch (const std::exception &Error) {
        // An exception from one connection must not end the others.
        m_Listener.onRefused(0, Error.what());
      }
    }
  }

  TransportListener &m_Listener;
  TransportLimits m_Limits;
  boost::asio::io_context m_Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work;
  Server m_Server;
  Client m_Client;
  uint16_t m_Port = 0;
  ConnectionId m_LastId = 0;
  std::map<ConnectionId, Connection> m_Connections;
  std::map<connection_hdl, ConnectionId, std::owner_less<connection_hdl>> m_Ids;
  std::unique_ptr<boost::asio::steady_timer> m_StopTimer;
  std::thread m_Thread;
};

SocketTransport::SocketTransport(TransportListener &Listener,
                                 TransportLimits Limits)
    : m_Implementation(std::make_unique<Implementation>(Listener, Limits)) {}

SocketTransport::~SocketTransport() = default;

bool SocketTransport::listen(const std::string &Ip, uint16_t Port,
                             std::string &Reason) {
  return m_Implementation->listen(Ip, Port, Reason);
}

uint16_t SocketTransport::port() const { return m_Implementation->port(); }

void SocketTransport::post(std::function<void()> Task) {
  m_Implementation->post(std::move(Task));
}

ConnectionId SocketTransport::dial(const std::string &Ip, uint16_t Port) {
  return m_Implementation->dial(Ip, Port);
}

void SocketTransport::send(ConnectionId Connection, const std::string &Bytes) {
  m_Implementation->send(Connection, Bytes);
}

void SocketTransport::close(ConnectionId Connection,
                            const std::string &Reason) {
  m_Implementation->close(Connection, Reason);
}

} // namespace bronzepass::core::adapters::web_socket
