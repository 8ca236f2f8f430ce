#ifndef BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_SCRIPTEDENDPOINT_H
#define BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_SCRIPTEDENDPOINT_H

#include "Core/Adapters/Net/FileDescriptor.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

/// One connection accepted by a scripted endpoint, on which its script writes.
class ScriptConnection {
public:
  explicit ScriptConnection(int Fd) : m_Fd(Fd) {}

  /// Returns false if the peer has closed the connection.
  bool write(const std::string &Bytes);
  /// Closes with a reset; data that the peer has not read yet is lost.
  void reset();
  /// Ends the connection cleanly.
  void close();
  /// Waits until the peer closes; returns false if it does not within
  /// \p Millis.
  bool waitForClose(int Millis);

private:
  friend class ScriptedEndpoint;
  core::adapters::net::FileDescriptor m_Fd;
};

/// Listens on 127.0.0.1 and lets a script write the raw bytes of each answer,
/// to simulate the behaviour of faulty servers.
class ScriptedEndpoint {
public:
  /// Receives the raw request and its number, which starts at 1.
  using Script = std::function<void(ScriptConnection &Connection,
                                    const std::string &Request, int Number)>;

  explicit ScriptedEndpoint(Script OnRequest);
  ~ScriptedEndpoint();
  ScriptedEndpoint(const ScriptedEndpoint &) = delete;
  ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

  uint16_t port() const { return m_Port; }
  std::vector<std::string> requests() const;
  int connections() const { return m_Connections; }

private:
  void acceptAll();
  void serve(int Fd);

  Script m_OnRequest;
  core::adapters::net::FileDescriptor m_Listener;
  uint16_t m_Port = 0;
  std::atomic<bool> m_Stopping = false;
  std::atomic<int> m_Connections = 0;
  mutable std::mutex m_Mutex;
  std::vector<std::string> m_Requests;
  std::vector<std::thread> m_Servers;
  std::thread m_Acceptor;
};

} // namespace bronzepass::unit_tests::adapters::gateway

#endif // BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_SCRIPTEDENDPOINT_H
