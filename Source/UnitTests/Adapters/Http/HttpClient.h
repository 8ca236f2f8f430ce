#ifndef BRONZEPASS_UNITTESTS_ADAPTERS_HTTP_HTTPCLIENT_H
#define BRONZEPASS_UNITTESTS_ADAPTERS_HTTP_HTTPCLIENT_H

#include "Core/Adapters/Net/FileDescriptor.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::adapters::http {

/// Long, because a test waits for it only if it is about to fail.
constexpr std::chrono::seconds TestTimeout(30);

/// The response to one request.
struct HttpResult {
  /// 0 if no response head was received.
  int m_Status = 0;
  /// Values by lower-case name.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  /// The response ended as its head declared.
  bool m_Complete = false;
};

/// Sends a request on a new connection and waits for its response.
HttpResult fetch(uint16_t Port, const std::string &Method,
                 const std::string &Path, const std::string &Body = "",
                 const std::vector<std::string> &Headers = {});

/// Waits until \p Condition holds; false if it does not within TestTimeout.
bool waitFor(const std::function<bool()> &Condition);

/// A plain TCP connection to 127.0.0.1, for input that HTTP clients don't send.
class RawConnection {
public:
  /// \p ReceiveBytes limits the kernel's receive buffer; 0 means the default.
  explicit RawConnection(uint16_t Port, int ReceiveBytes = 0);

  bool connected() const { return m_Connected; }
  void send(const std::string &Text);
  /// Reads until \p Marker is received (true), or until the connection ends or
  /// TestTimeout expires (false).
  bool readUntil(const std::string &Marker);
  /// Reads until \p Bytes more are received; false if the connection ends or
  /// TestTimeout expires before.
  bool readAtLeast(size_t Bytes);
  /// Reads until the server closes the connection; false if it does not.
  bool readToEnd();
  /// The connection ended with a reset instead of a clean close.
  bool wasReset() const { return m_Reset; }
  /// All text read so far.
  const std::string &text() const { return m_Text; }
  void clearText() { m_Text.clear(); }
  void close() { m_Fd.reset(); }

private:
  /// False at the end of the connection or after TestTimeout.
  bool readSome();

  core::adapters::net::FileDescriptor m_Fd;
  bool m_Connected = false;
  bool m_Ended = false;
  bool m_Reset = false;
  std::string m_Text;
};

/// Returns the text of a POST request that keeps its connection open.
std::string makePost(const std::string &Path, const std::string &Body,
                     const std::string &Headers = "");

} // namespace bronzepass::unit_tests::adapters::http

#endif // BRONZEPASS_UNITTESTS_ADAPTERS_HTTP_HTTPCLIENT_H
