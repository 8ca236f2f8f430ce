#ifndef BRONZEPASS_CORE_GATEWAY_DIALECT_H
#define BRONZEPASS_CORE_GATEWAY_DIALECT_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/GatewayConfig.h"
#include "Core/Gateway/ObjectFeed.h"
#include "Core/Gateway/PlacementOrder.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Finding.h"
#include "Core/Ports/Store.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzepass::core::gateway {

/// A header's name and value.
using HeaderLine = std::pair<std::string, std::string>;
using HeaderLines = std::vector<HeaderLine>;

/// An HTTP call to the store or to an endpoint, without its address.
struct HttpCall {
  std::string m_Method = "GET";
  /// Path and query.
  std::string m_Target;
  HeaderLines m_Headers;
  std::string m_Body;

  friend auto operator<=>(const HttpCall &, const HttpCall &) = default;
};

/// Its answer. Status 0: none came.
struct HttpResult {
  int m_Status = 0;
  std::string m_Body;
  /// No byte of the call was handed to a connection.
  bool m_NotSent = false;

  friend auto operator<=>(const HttpResult &, const HttpResult &) = default;
};

/// How an endpoint's answer to a caller's request begins.
struct AnswerHead {
  /// It bears the endpoint's seal: it is the endpoint's own.
  bool m_Sealed = false;
  /// It proves that the request did not run.
  bool m_NotRun = false;
  /// It proves that another endpoint, or none with that model, was reached.
  bool m_Misdirected = false;
  /// It belongs to another request.
  bool m_Foreign = false;
  /// How long the endpoint keeps an idle connection; nullopt if it did not say.
  std::optional<std::chrono::seconds> m_KeepAlive;

  friend auto operator<=>(const AnswerHead &, const AnswerHead &) = default;
};

/// The objects that a node follows in the platform's store.
enum class FeedKind { Config, Endpoints, Nodes };

/// A node as it registers itself for the others.
struct NodeEntry {
  model::NodeId m_Node;
  model::Address m_PeerAddress;
  model::DomainId m_Domain;

  friend auto operator<=>(const NodeEntry &, const NodeEntry &) = default;
};

/// A value read from a platform's text: what could be read, and what could not.
template <typename ValueT> struct Decoded {
  std::optional<ValueT> m_Value;
  model::FindingList m_Findings;
};

/// Names, formats and calls of the platform that the gateway stands on. It
/// translates and decides nothing; each member may be called from any thread.
class Dialect {
public:
  virtual ~Dialect() = default;

  // Callers' requests and endpoints' answers.
  /// What \p Headers say of a request.
  virtual void readRequest(const HeaderLines &Headers,
                           RelayRequest &Request) const = 0;
  /// The headers to send to an endpoint, from the caller's \p Headers.
  /// \p LastEvent: go on behind it.
  virtual HeaderLines
  headersToSend(const HeaderLines &Headers, const SendRequest &Send,
                const std::optional<std::string> &LastEvent) const = 0;
  virtual AnswerHead readHead(int Status, const HeaderLines &Headers,
                              const std::string &CallerRequestId) const = 0;
  /// The headers to pass on to the caller.
  virtual HeaderLines headersToPass(const HeaderLines &Headers) const = 0;
  /// The headers of a refusal of our own.
  virtual HeaderLines
  refusalHeaders(const std::string &CallerRequestId,
                 std::optional<model::Duration> RetryAfter) const = 0;

  // The store.
  virtual HttpCall feedCall(FeedKind Kind, const FeedCall &Call) const = 0;
  virtual FeedAnswer readFeed(const FeedCall &Call,
                              const HttpResult &Result) const = 0;
  virtual Decoded<GatewayConfig>
  readConfig(const std::string &Content) const = 0;
  virtual Decoded<EndpointEntry>
  readEndpoint(const std::string &Name, const std::string &Content) const = 0;
  virtual Decoded<NodeEntry> readNode(const std::string &Name,
                                      const std::string &Content) const = 0;
  /// Writes a node's entry: creates it, or replaces what is there.
  virtual HttpCall writeNode(const NodeEntry &Entry, bool Create) const = 0;
  virtual HttpCall removeNode(const model::NodeId &Node) const = 0;
  /// Leases; nullopt where \p Call has no counterpart.
  virtual std::optional<HttpCall>
  storeCall(const ports::StoreCall &Call) const = 0;
  virtual ports::StoreAnswer readStore(const ports::StoreCall &Call,
                                       const HttpResult &Result) const = 0;

  // Orders to engines.
  virtual HttpCall orderCall(const PlacementOrder &Order) const = 0;
  virtual OrderReply readOrder(const HttpResult &Result) const = 0;
  virtual HttpCall reportCall(const model::EndpointId &Endpoint) const = 0;
  virtual Decoded<EngineState> readReport(const HttpResult &Result) const = 0;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_DIALECT_H
