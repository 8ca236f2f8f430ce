#ifndef BRONZEPASS_CORE_GATEWAY_RELAYTYPES_H
#define BRONZEPASS_CORE_GATEWAY_RELAYTYPES_H

#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzepass::core::gateway {

/// A part of a prompt that other requests may share.
struct PromptPart {
  uint64_t m_Id = 0;
  uint32_t m_Tokens = 0;

  friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
};

/// A model, and an adapter on it where one is named.
struct ModelUse {
  std::string m_Model;
  std::string m_Adapter;

  friend auto operator<=>(const ModelUse &, const ModelUse &) = default;
};

/// What the decisions need to know of a caller's request; its bytes stay with
/// the adapter that read it.
struct RelayRequest {
  model::RequestId m_Number;
  /// The caller's own id of it, for logs.
  std::string m_CallerRequestId;
  std::string m_Host;
  std::string m_Path;
  model::TimePoint m_BeganAt;
  /// How long the caller waits from m_BeganAt; nullopt where it did not say.
  std::optional<model::Duration> m_Window;
  ModelUse m_Use;
  uint32_t m_PromptTokens = 0;
  uint32_t m_OutputTokens = 0;
  std::vector<PromptPart> m_Prompt;

  friend auto operator<=>(const RelayRequest &, const RelayRequest &) = default;
};

/// How one send to an endpoint ended.
enum class SendEnd {
  /// No byte was handed to a connection.
  NotSent,
  /// The endpoint proved that it did not run it.
  NotRun,
  /// It proved that by not being the endpoint that was meant, or by not
  /// holding the model.
  Misdirected,
  /// A whole answer that bears the endpoint's seal and tells of a failure.
  Failed,
  /// A whole answer that bears the endpoint's seal.
  Whole,
  /// No whole answer, after a byte had left: it may have run.
  Broken,
};

const char *toString(SendEnd Value);

struct SendOutcome {
  SendEnd m_End = SendEnd::Broken;
  int m_Status = 0;
  /// For Broken: nothing of an answer came in the time given.
  bool m_TimedOut = false;
  /// What broke, for logs.
  std::string m_Detail;

  friend auto operator<=>(const SendOutcome &, const SendOutcome &) = default;
};

/// Send the request to an endpoint.
struct SendRequest {
  model::RequestId m_Request;
  model::AttemptId m_Attempt;
  model::EndpointId m_Endpoint;
  std::string m_Service;
  model::Address m_Address;
  /// Of what the caller and the route allow.
  model::Duration m_Remaining{0};
  uint32_t m_Rank = 0;
  /// Go on with the stream behind the last event that was passed on.
  bool m_Resume = false;
  bool m_Stream = false;

  friend auto operator<=>(const SendRequest &, const SendRequest &) = default;
};

/// Close the send's connection, so that the endpoint stops working on it.
struct AbandonSend {
  model::AttemptId m_Attempt;

  friend auto operator<=>(const AbandonSend &, const AbandonSend &) = default;
};

/// Pass on the answer that the send has collected.
struct PassAnswer {
  model::RequestId m_Request;

  friend auto operator<=>(const PassAnswer &, const PassAnswer &) = default;
};

/// Answer with a failure of our own; nothing has reached the caller.
struct RefuseAnswer {
  model::RequestId m_Request;
  int m_Status = 0;
  std::optional<model::Duration> m_RetryAfter;
  std::string m_Reason;

  friend auto operator<=>(const RefuseAnswer &, const RefuseAnswer &) = default;
};

/// Break the connection: a part of an answer has reached the caller and the
/// rest can't.
struct CutAnswer {
  model::RequestId m_Request;
  std::string m_Reason;

  friend auto operator<=>(const CutAnswer &, const CutAnswer &) = default;
};

/// Ask the holder of the placement lease for a copy.
struct CopyWanted {
  std::string m_Service;
  ModelUse m_Use;

  friend auto operator<=>(const CopyWanted &, const CopyWanted &) = default;
};

/// What a choice of an endpoint was made from.
struct ChoiceInputs {
  /// Endpoints that hold what is asked for and may be used.
  uint32_t m_Candidates = 0;
  /// Requests under way at the chosen one: this node's own, and the others' as
  /// they told last.
  uint32_t m_OwnLoad = 0;
  uint32_t m_PeerLoad = 0;
  /// Age of the oldest notice that counts; zero without peers.
  model::Duration m_PeerAge{0};
  /// Predicted wait for a slot.
  model::Duration m_Wait{0};
  /// Prompt tokens that it is taken to read, and those that wait there.
  uint32_t m_MissingTokens = 0;
  uint32_t m_TokensAhead = 0;

  friend auto operator<=>(const ChoiceInputs &, const ChoiceInputs &) = default;
};

/// How an answer's pieces came.
struct AnswerPace {
  /// From the send to the first piece.
  model::Duration m_First{0};
  /// The longest pause between two pieces, and its end since the request began.
  model::Duration m_LongestPause{0};
  model::Duration m_PauseEnd{0};

  friend auto operator<=>(const AnswerPace &, const AnswerPace &) = default;
};

/// One line for the log about a request.
struct RelayNote {
  model::RequestId m_Request;
  std::string m_CallerRequestId;
  /// One word: "send", "retry", "wait", "refuse", "cut", "gone", "answer".
  std::string m_Action;
  /// "once", "repeatable" or "stream"; empty where no route fits.
  std::string m_Kind;
  std::string m_Route;
  ModelUse m_Use;
  std::string m_Endpoint;
  uint64_t m_ConfigVersion = 0;
  int m_Status = 0;
  uint32_t m_Sends = 0;
  /// Since the request began.
  model::Duration m_Elapsed{0};
  std::string m_Reason;
  /// Of "send" and "retry", and of a refusal for lack of a slot.
  std::optional<ChoiceInputs> m_Inputs;
  /// Of an end, where pieces had come.
  std::optional<AnswerPace> m_Pace;

  friend auto operator<=>(const RelayNote &, const RelayNote &) = default;
};

using RelayEffect =
    std::variant<SendRequest, AbandonSend, PassAnswer, RefuseAnswer, CutAnswer,
                 CopyWanted, RelayNote>;
using RelayEffectList = std::vector<RelayEffect>;

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RELAYTYPES_H
