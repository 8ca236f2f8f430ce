#ifndef BRONZEPASS_CORE_GATEWAY_RELAYTYPES_H
#define BRONZEPASS_CORE_GATEWAY_RELAYTYPES_H

#include "Core/Gateway/EndpointStatement.h"
#include "Core/Model/Address.h"
#include "Core/Model/BodyFraming.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Organisations/KeyDigest.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzepass::core::gateway {

/// A segment of a prompt that other requests may share.
struct PromptPart {
  uint64_t m_Id = 0;
  uint32_t m_Tokens = 0;

  friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
};

/// A model, and optionally an adapter on it.
struct ModelRef {
  std::string m_Model;
  std::string m_Adapter;

  friend auto operator<=>(const ModelRef &, const ModelRef &) = default;
};

/// What a node tells the one to which it forwards a caller's request.
struct ForwardingTerms {
  /// The configuration by which it was read. Another one may handle it
  /// differently.
  uint64_t m_ConfigVersion = 0;
  /// Endpoints that may still run it.
  uint32_t m_RunsLeft = 0;
  /// The only software version at which its stream may go on.
  std::optional<std::string> m_RequiredVersion;
  /// Whose request it is; empty if it needs no key, nullopt where nobody needs
  /// one.
  std::optional<std::string> m_Organisation;
  /// Its caller has a part of the stream. The first send has taken quota for
  /// it, and what the caller has is lost if it does not go on.
  bool m_HasBegun = false;

  friend auto operator<=>(const ForwardingTerms &,
                          const ForwardingTerms &) = default;
};

/// The properties of a caller's request that RelayCore decides by. The driver
/// that read the request keeps its bytes.
struct RelayRequest {
  model::RequestId m_Number;
  /// The caller's own id of the request, for logs.
  std::string m_CallerRequestId;
  std::string m_Host;
  std::string m_Path;
  organisations::Credential m_Credential;
  model::TimePoint m_BeganAt;
  /// How long the caller waits, from m_BeganAt; nullopt if not given.
  std::optional<model::Duration> m_Window;
  /// The caller has the first events of the stream and asks for the rest.
  bool m_IsResumption = false;
  /// Of the last event that the caller has; empty if it takes up no stream.
  std::string m_LastEventId;
  /// The caller's id of the attempt that brought the stream's first event;
  /// empty if not given.
  std::string m_FirstAttempt;
  ModelRef m_ModelRef;
  uint32_t m_PromptTokens = 0;
  uint32_t m_OutputTokens = 0;
  std::vector<PromptPart> m_Prompt;
  /// Equal for requests with the same method, host, target and body; nullopt if
  /// these are not known.
  std::optional<uint64_t> m_Fingerprint;
  /// Set if another node forwarded it. It is not forwarded again.
  std::optional<ForwardingTerms> m_Forwarded;

  friend auto operator<=>(const RelayRequest &, const RelayRequest &) = default;
};

/// The result of one send to an endpoint.
enum class SendResult {
  /// No byte was written to a connection.
  NotSent,
  /// The endpoint proved that it did not run the request.
  NotRun,
  /// The same, because the address belongs to another endpoint or the endpoint
  /// does not hold the model.
  Misdirected,
  /// A complete answer that carries the endpoint's seal and reports a failure.
  Failed,
  /// A complete answer that carries the endpoint's seal.
  Completed,
  /// No complete answer after a byte was sent: the request may have run.
  Broken,
  /// The node to which it was forwarded did not run it, and will not.
  Declined,
};

const char *toString(SendResult Value);

/// What was received of an answer's body when its transfer ended.
struct AnswerEnd {
  model::BodyFraming m_Framing = model::BodyFraming::Connection;
  uint64_t m_BodyBytes = 0;
  /// Complete events of a stream, without those that an earlier answer brought.
  uint64_t m_Events = 0;
  /// Bytes after the last complete event of a stream.
  uint64_t m_PartialEventBytes = 0;

  friend auto operator<=>(const AnswerEnd &, const AnswerEnd &) = default;
};

struct SendOutcome {
  SendResult m_Result = SendResult::Broken;
  int m_Status = 0;
  /// For Broken: no part of an answer was received in time.
  bool m_TimedOut = false;
  /// Description of the failure, for logs.
  std::string m_Detail;
  /// nullopt if no head was received.
  std::optional<AnswerEnd> m_AnswerEnd;
  /// For Declined: when the caller may come back. nullopt if another node may
  /// take the request now.
  std::optional<model::Duration> m_RetryAfter;

  friend auto operator<=>(const SendOutcome &, const SendOutcome &) = default;
};

/// Effect: send the request to an endpoint, or forward it to another node.
struct SendRequest {
  model::RequestId m_Request;
  model::AttemptId m_Attempt;
  /// Empty if another node is to choose the endpoint.
  model::EndpointId m_Endpoint;
  std::string m_SoftwareVersion;
  std::string m_Service;
  model::Address m_Address;
  /// Time left of what the caller and the route allow.
  model::Duration m_Remaining{0};
  uint32_t m_Priority = 0;
  /// Whose request it is; empty if it needs no key, nullopt where nobody needs
  /// one and the caller's headers are passed on as they are.
  std::optional<std::string> m_Organisation;
  /// Resume the stream after the last event that was forwarded.
  bool m_Resume = false;
  bool m_Stream = false;
  /// Open a new connection and give up early, since the links may be lost.
  bool m_IsTrial = false;
  /// Set if it is forwarded.
  std::optional<ForwardingTerms> m_Forwarding;

  friend auto operator<=>(const SendRequest &, const SendRequest &) = default;
};

/// Effect: close the send's connection, so that the endpoint stops working on
/// it.
struct CancelSend {
  model::AttemptId m_Attempt;

  friend auto operator<=>(const CancelSend &, const CancelSend &) = default;
};

/// Effect: the caller has left; take the send back if the endpoint can't have
/// all of it yet, and leave it to finish otherwise.
struct WithdrawSend {
  model::AttemptId m_Attempt;

  friend auto operator<=>(const WithdrawSend &, const WithdrawSend &) = default;
};

/// Effect: forward the answer that was received from the endpoint.
struct ForwardAnswer {
  model::RequestId m_Request;

  friend auto operator<=>(const ForwardAnswer &,
                          const ForwardAnswer &) = default;
};

/// Effect: answer with an error of the gateway's own; nothing has been sent to
/// the caller yet.
struct RejectRequest {
  model::RequestId m_Request;
  int m_Status = 0;
  std::optional<model::Duration> m_RetryAfter;
  std::string m_Reason;

  friend auto operator<=>(const RejectRequest &,
                          const RejectRequest &) = default;
};

/// Effect: close the caller's connection, because part of the answer was
/// forwarded and the rest is not available.
struct AbortAnswer {
  model::RequestId m_Request;
  std::string m_Reason;

  friend auto operator<=>(const AbortAnswer &, const AbortAnswer &) = default;
};

/// Effect: ask the holder of the placement lease to load a copy of a model.
struct CopyRequest {
  std::string m_Service;
  ModelRef m_ModelRef;

  friend auto operator<=>(const CopyRequest &, const CopyRequest &) = default;
};

/// The inputs to the choice of an endpoint.
struct ChoiceInputs {
  /// Usable endpoints that hold the model.
  uint32_t m_Candidates = 0;
  /// Requests in flight at the chosen endpoint: this node's, and the other
  /// nodes' by their last notices.
  uint32_t m_OwnLoad = 0;
  uint32_t m_PeerLoad = 0;
  /// Age of the oldest peer notice in use; zero without peers.
  model::Duration m_PeerAge{0};
  /// Predicted wait for a slot.
  model::Duration m_PredictedWait{0};
  /// Prompt tokens that the endpoint is estimated to lack in its prefix cache,
  /// and prompt tokens already queued there.
  uint32_t m_MissingTokens = 0;
  uint32_t m_TokensAhead = 0;

  friend auto operator<=>(const ChoiceInputs &, const ChoiceInputs &) = default;
};

/// When the chunks of an answer were received.
struct AnswerTiming {
  /// From the send to the first chunk.
  model::Duration m_TimeToFirstChunk{0};
  /// The longest pause between two chunks, and the time from the request's
  /// start to the end of that pause.
  model::Duration m_LongestPause{0};
  model::Duration m_PauseEnd{0};

  friend auto operator<=>(const AnswerTiming &, const AnswerTiming &) = default;
};

/// Effect: write one log line about a request.
struct RelayLogEntry {
  model::RequestId m_Request;
  std::string m_CallerRequestId;
  /// One word: "send", "retry", "forward", "wait", "refuse", "cut", "gone",
  /// "answer", "end".
  std::string m_Action;
  /// Whose request it is; empty if it needs no key or is not known.
  std::string m_Organisation;
  /// Why AccessControl refused it, in one word; empty if it did not.
  std::string m_RefusalCause;
  /// "once", "repeatable" or "stream"; empty if no route matches.
  std::string m_Kind;
  std::string m_Route;
  ModelRef m_ModelRef;
  std::string m_Endpoint;
  /// The node to which it is forwarded.
  std::string m_Peer;
  /// Another node forwarded it.
  bool m_IsForwarded = false;
  /// Of the endpoint's software.
  std::string m_SoftwareVersion;
  /// The caller's attempt that began the stream, if this request resumes it.
  std::string m_FirstAttempt;
  uint64_t m_ConfigVersion = 0;
  int m_Status = 0;
  uint32_t m_Sends = 0;
  /// Since the request's start.
  model::Duration m_Elapsed{0};
  std::string m_Reason;
  /// Set for "send", "retry" and a refusal for lack of a slot.
  std::optional<ChoiceInputs> m_Inputs;
  /// For "gone" and "cut": what was done for the request until then, in one
  /// word.
  std::string m_Stage;
  /// Set when the request ends after chunks were received.
  std::optional<AnswerTiming> m_Timing;
  /// Set in the first line after the end of an endpoint's answer.
  std::optional<AnswerEnd> m_AnswerEnd;
  /// What the request is, set if the last send broke off.
  struct Content {
    uint64_t m_Fingerprint = 0;
    std::string m_Path;
    /// The ids of the prompt's parts.
    std::vector<uint64_t> m_PromptParts;

    friend auto operator<=>(const Content &, const Content &) = default;
  };
  std::optional<Content> m_Content;

  friend auto operator<=>(const RelayLogEntry &,
                          const RelayLogEntry &) = default;
};

/// Effect: write one log line about a trait that entered or left quarantine.
struct QuarantineChange {
  uint64_t m_Trait = 0;
  bool m_Entered = false;
  /// Engines that went silent while they ran a request with the trait.
  uint32_t m_Engines = 0;
  /// Another node reported the change.
  bool m_FromPeer = false;

  friend auto operator<=>(const QuarantineChange &,
                          const QuarantineChange &) = default;
};

/// Effect: write one log line about an endpoint whose statement differs from
/// the one before.
struct StatementChange {
  model::EndpointId m_Endpoint;
  EndpointStatement m_Statement;

  friend auto operator<=>(const StatementChange &,
                          const StatementChange &) = default;
};

/// Effect: write one log line about an endpoint that wants nothing for a while.
struct PauseBegun {
  model::EndpointId m_Endpoint;
  model::Duration m_Length{0};

  friend auto operator<=>(const PauseBegun &, const PauseBegun &) = default;
};

/// Effect: write one log line about links of this node that were lost or
/// regained.
struct LinksChange {
  /// Empty for the endpoints of all services.
  std::string m_Service;
  bool m_IsLost = false;
  /// Endpoints to which no connection could be opened, and those that were
  /// silent, when the links were lost.
  uint32_t m_UnconnectedEndpoints = 0;
  uint32_t m_SilentEndpoints = 0;

  friend auto operator<=>(const LinksChange &, const LinksChange &) = default;
};

/// Effect: write one log line about an endpoint whose pace began or ended.
struct PaceChange {
  model::EndpointId m_Endpoint;
  bool m_Begins = false;
  std::string m_Cause;
  /// Requests in flight that it was found to take, at the end.
  double m_Window = 0;

  friend auto operator<=>(const PaceChange &, const PaceChange &) = default;
};

/// Effect: ask the store whether endpoints have joined or changed that this
/// node does not know of; RelayCore::onEndpointsConfirmed() takes the answer.
struct ConfirmEndpoints {
  friend auto operator<=>(const ConfirmEndpoints &,
                          const ConfirmEndpoints &) = default;
};

/// Effect: write one log line that this node can no longer prove, or can prove
/// again, that its configuration is in force.
struct ProofChange {
  bool m_Holds = false;
  /// Of the configuration's last proof; nullopt if there was none.
  std::optional<model::Duration> m_Age;

  friend auto operator<=>(const ProofChange &, const ProofChange &) = default;
};

/// Effect: ask the holder of quotas for what requests wait for;
/// RelayCore::onQuotaAnswer() takes the answer.
struct AskQuotas {
  friend auto operator<=>(const AskQuotas &, const AskQuotas &) = default;
};

using RelayEffect =
    std::variant<SendRequest, CancelSend, WithdrawSend, ForwardAnswer,
                 RejectRequest, AbortAnswer, CopyRequest, RelayLogEntry,
                 QuarantineChange, StatementChange, PauseBegun, LinksChange,
                 PaceChange, ConfirmEndpoints, ProofChange, AskQuotas>;
using RelayEffectList = std::vector<RelayEffect>;

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RELAYTYPES_H
