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

/// Generous: no test waits for it unless it is about to fail.
constexpr std::chrono::seconds Patience(30);

/// What came back from one request.
struct HttpResult {
  /// 0 where no answer's head came.
  int m_Status = 0;
  /// By lower-case name.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  /// The answer ended as its head said it would.
  bool m_Complete = false;
};

/// Sends a request on a new connection and waits for its answer.
HttpResult fetch(uint16_t Port, const std::string &Method,
                 const std::string &Path, const std::string &Body = "",
                 const std::vector<std::string> &Headers = {});

/// Waits until \p Condition holds; false if it never does.
bool waitFor(const std::function<bool()> &Condition);

/// A plain TCP connection to 127.0.0.1, for what no HTTP client does.
class RawConnection {
public:
  /// \p ReceiveBytes bounds the kernel's buffer; 0 leaves it alone.
  explicit RawConnection(uint16_t Port, int ReceiveBytes = 0);

  bool connected() const { return m_Connected; }
  void send(const std::string &Text);
  /// Reads until \p Marker has come (true) or the connection has ended.
  bool readUntil(const std::string &Marker);
  /// Reads until the other end closes; false if it does not.
  bool readToEnd();
  /// All that was read.
  const std::string &text() const { return m_Text; }
  void clearText() { m_Text.clear(); }
  void close() { m_Fd.reset(); }

private:
  /// False at the end of the connection or of patience.
  bool readSome();

  core::adapters::net::FileDescriptor m_Fd;
  bool m_Connected = false;
  bool m_Ended = false;
  std::string m_Text;
};

/// The text of a POST with \p Body on a connection that is kept.
std::string postText(const std::string &Path, const std::string &Body,
                     const std::string &Headers = "");

} // namespace bronzepass::unit_tests::adapters::http

#endif // BRONZEPASS_UNITTESTS_ADAPTERS_HTTP_HTTPCLIENT_H
