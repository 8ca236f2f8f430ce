#ifndef BRONZEPASS_CORE_GATEWAY_DIALECT_H
#define BRONZEPASS_CORE_GATEWAY_DIALECT_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/EndpointStatement.h"
#include "Core/Gateway/GatewayConfig.h"
#include "Core/Gateway/ObjectFeed.h"
#include "Core/Gateway/PlacementOrder.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Gateway/StreamRecordKeeper.h"
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

/// An HTTP request to the store or to an endpoint, without its address.
struct HttpCall {
  std::string m_Method = "GET";
  /// Path and query.
  std::string m_Target;
  HeaderLines m_Headers;
  std::string m_Body;

  friend auto operator<=>(const HttpCall &, const HttpCall &) = default;
};

/// The response to an HttpCall. Status 0: no response was received.
struct HttpResult {
  int m_Status = 0;
  std::string m_Body;
  /// No byte of the call was written to a connection.
  bool m_NotSent = false;
  HeaderLines m_Headers;

  friend auto operator<=>(const HttpResult &, const HttpResult &) = default;
};

/// The request that an answer names by its id.
enum class NamedRequest { Own, None, Other };

/// What the status and headers of an endpoint's answer to a caller's request
/// say.
struct AnswerHead {
  /// Carries the endpoint's seal header, so it was written by the endpoint
  /// itself and not by something in between.
  bool m_Sealed = false;
  /// Proves that the request did not run.
  bool m_NotRun = false;
  /// Proves that the request reached another endpoint, or one that does not
  /// hold the model.
  bool m_Misdirected = false;
  NamedRequest m_Names = NamedRequest::Own;
  /// Type of the body, in lower case and without parameters; empty if not
  /// given.
  std::string m_MediaType;
  /// How long the endpoint keeps an idle connection open; nullopt if not given.
  std::optional<std::chrono::seconds> m_KeepAlive;
  EndpointStatement m_Statement;
  /// With a request turned away: the endpoint wants nothing from this node for
  /// so long.
  std::optional<model::Duration> m_PauseFor;
  /// The first line of the statement that could not be read; empty if all
  /// could.
  std::string m_UnreadableStatement;

  friend auto operator<=>(const AnswerHead &, const AnswerHead &) = default;
};

/// The kinds of object that a node watches in the platform's store.
enum class FeedKind { Config, Endpoints, Nodes };

/// The entry that a node registers for its peers.
struct NodeEntry {
  model::NodeId m_Node;
  model::Address m_PeerAddress;
  model::DomainId m_Domain;
  /// Hundredths of a processor core that the node may use; 0 if unknown.
  uint32_t m_CpuPercent = 0;

  friend auto operator<=>(const NodeEntry &, const NodeEntry &) = default;
};

/// A value parsed from the platform's text, and the problems found in it.
template <typename ValueT> struct Decoded {
  std::optional<ValueT> m_Value;
  model::FindingList m_Findings;
};

/// Translates between the gateway and the platform it runs on: header names,
/// object formats and HTTP calls. Makes no decisions; every member may be
/// called from any thread.
class Dialect {
public:
  virtual ~Dialect() = default;

  // Callers' requests and endpoints' answers.
  /// Fills \p Request from the caller's \p Headers.
  virtual void readRequest(const HeaderLines &Headers,
                           RelayRequest &Request) const = 0;
  /// The headers to send to an endpoint, made from the caller's \p Headers.
  /// With \p LastEvent the endpoint resumes the stream after that event.
  virtual HeaderLines
  headersToSend(const HeaderLines &Headers, const SendRequest &Send,
                const std::optional<std::string> &LastEvent) const = 0;
  virtual AnswerHead readHead(int Status, const HeaderLines &Headers,
                              const std::string &CallerRequestId) const = 0;
  /// The headers of an endpoint's answer that are forwarded to the caller.
  virtual HeaderLines headersToPass(const HeaderLines &Headers) const = 0;
  /// The headers of an error that the gateway itself answers.
  virtual HeaderLines
  refusalHeaders(const std::string &CallerRequestId,
                 std::optional<model::Duration> RetryAfter) const = 0;

  // The store.
  /// The era that the store's answer \p Result names; no value if it names
  /// none, with a finding if what it names is not an era.
  virtual Decoded<model::StoreEra>
  readStoreEra(const HttpResult &Result) const = 0;
  virtual HttpCall feedCall(FeedKind Kind, const FeedCall &Call) const = 0;
  virtual FeedAnswer readFeed(const FeedCall &Call,
                              const HttpResult &Result) const = 0;
  /// The one object of its kind that holds the configuration.
  virtual std::string configName() const = 0;
  /// An object's \p Content as nodes pass it on to each other: without the keys
  /// of callers. The readers below read it the same.
  virtual std::string contentForNodes(FeedKind Kind,
                                      const std::string &Content) const = 0;
  virtual Decoded<GatewayConfig>
  readConfig(const std::string &Content) const = 0;
  virtual Decoded<EndpointEntry>
  readEndpoint(const std::string &Name, const std::string &Content) const = 0;
  virtual Decoded<NodeEntry> readNode(const std::string &Name,
                                      const std::string &Content) const = 0;
  /// Writes a node's entry: creates it, or replaces the existing one.
  virtual HttpCall writeNode(const NodeEntry &Entry, bool Create) const = 0;
  /// Removes a node's entry; with \p Revision, only if that is the entry's.
  virtual HttpCall removeNode(const model::NodeId &Node,
                              std::optional<uint64_t> Revision) const = 0;
  /// A call on the recorded origins of streams. A list is read by readFeed(),
  /// its objects by readStreamRecord().
  virtual HttpCall streamRecordCall(const StreamRecordCall &Call) const = 0;
  virtual Decoded<StreamNotice>
  readStreamRecord(const std::string &Name,
                   const std::string &Content) const = 0;
  /// What became of a call that creates, replaces or removes an object.
  virtual WriteResult readWrite(const HttpResult &Result) const = 0;
  /// A call on leases; nullopt if the platform has no counterpart of \p Call.
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
