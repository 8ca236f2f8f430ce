#ifndef BRONZEPASS_UNITTESTS_SOAK_THREADSERVER_H
#define BRONZEPASS_UNITTESTS_SOAK_THREADSERVER_H

#include "Core/Adapters/Net/FileDescriptor.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace bronzepass::unit_tests::soak {

struct ServerRequest {
  std::string m_Method;
  std::string m_Target;
  /// Values by lower-case name.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  std::string header(const std::string &LowerName) const {
    const auto Found = m_Headers.find(LowerName);
    return Found == m_Headers.end() ? std::string() : Found->second;
  }
  /// The value of a parameter of the query; empty if there is none.
  std::string query(const std::string &Name) const;
  std::string path() const { return m_Target.substr(0, m_Target.find('?')); }
};

/// A server's side of one connection; used on its own thread.
class ServerConnection {
public:
  explicit ServerConnection(int Fd) : m_Fd(Fd) {}

  /// False if the peer is gone.
  bool write(std::string_view Bytes);
  /// Writes a response with a Content-Length.
  bool answer(int Status, const std::string &Body,
              const std::string &ExtraHeaders = "");
  void reset();
  /// Ends the connection without an error.
  void close() { m_Fd.reset(); }
  bool isOpen() const { return m_Fd.valid(); }
  bool hasPeerClosed() const;

private:
  friend class ThreadServer;
  core::adapters::net::FileDescriptor m_Fd;
};

/// An HTTP server on 127.0.0.1 with a thread for each connection, whose handler
/// may write any bytes.
class ThreadServer {
public:
  using Handler =
      std::function<void(ServerConnection &, const ServerRequest &)>;

  using OpenHandler = std::function<void(ServerConnection &)>;

  /// \p OnOpen, if any, may write before the first request has arrived.
  explicit ThreadServer(Handler OnRequest, OpenHandler OnOpen = {});
  ~ThreadServer();
  ThreadServer(const ThreadServer &) = delete;
  ThreadServer &operator=(const ThreadServer &) = delete;

  uint16_t port() const { return m_Port; }
  /// Refuses connections and resets those that are open, until open().
  void crash();
  /// Listens again, on the same port.
  void open();

private:
  bool listen();
  void acceptAll();
  void serve(int Fd);
  /// Reads until \p Bytes begin with a whole request; 0 at the end.
  static size_t receiveRequest(int Fd, std::string &Bytes);

  const Handler m_OnRequest;
  const OpenHandler m_OnOpen;
  uint16_t m_Port = 0;
  std::mutex m_Mutex;
  std::condition_variable m_AllEnded;
  core::adapters::net::FileDescriptor m_Listener;
  std::set<int> m_Connections;
  bool m_Stopping = false;
  std::thread m_Acceptor;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_THREADSERVER_H
