#ifndef BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPMESSAGE_H
#define BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPMESSAGE_H

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::pistache {

/// One complete request.
struct HttpRequest {
  /// "GET", "POST", ...
  std::string m_Method;
  /// Without the query.
  std::string m_Path;
  std::map<std::string, std::string> m_Query;
  /// "?a=1&b=2", or empty.
  std::string m_QueryText;
  /// Values by lower-case name.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  /// IP address of the client.
  std::string m_PeerIp;

  /// Empty if there is no such header; \p LowerName in lower case.
  std::string header(const std::string &LowerName) const {
    auto Found = m_Headers.find(LowerName);
    return Found == m_Headers.end() ? std::string() : Found->second;
  }

  /// Empty if there is no such query parameter.
  std::string query(const std::string &Name) const {
    auto Found = m_Query.find(Name);
    return Found == m_Query.end() ? std::string() : Found->second;
  }

  friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;

  friend auto operator<=>(const HttpHeader &, const HttpHeader &) = default;
};

/// A complete response.
struct HttpReply {
  int m_Status = 200;
  std::string m_Body;
  std::string m_ContentType = "application/json";
  std::vector<HttpHeader> m_Headers;
  /// Close the connection after the response.
  bool m_Close = false;

  friend bool operator==(const HttpReply &, const HttpReply &) = default;
};

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPMESSAGE_H
