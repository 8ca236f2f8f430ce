#ifndef BRONZEPASS_CORE_GATEWAY_ANSWEROUTCOME_H
#define BRONZEPASS_CORE_GATEWAY_ANSWEROUTCOME_H

#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/RelayTypes.h"

#include <compare>
#include <optional>
#include <string>

namespace bronzepass::core::gateway {

/// How the transfer of an answer ended.
enum class TransferEnd {
  /// With the last chunk, or the last byte of the length.
  AsFramed,
  /// Without either to wait for, by a connection that closed without an error.
  ConnectionClosed,
  /// Before its end, by a reset or by a timeout.
  Broken,
};

/// What one send brought.
struct ReceivedAnswer {
  /// nullopt: no complete head was received.
  std::optional<AnswerHead> m_Head;
  int m_Status = 0;
  /// The body is a stream of events.
  bool m_IsStream = false;
  /// It goes on after events that the caller has.
  bool m_IsContinuation = false;
  AnswerEnd m_End;
  TransferEnd m_TransferEnd = TransferEnd::Broken;
  /// A byte of the request was written to a connection.
  bool m_IsSent = false;
  bool m_TimedOut = false;
  /// Description of the transfer's failure, for logs.
  std::string m_Error;

  friend auto operator<=>(const ReceivedAnswer &,
                          const ReceivedAnswer &) = default;
};

bool isSuccess(int Status);

/// Why the answer may be that to another request, for example a second copy of
/// an earlier one; nullptr if it is not. \p IsFirstOnConnection: no other
/// request was sent on its connection.
const char *foreignFault(const AnswerHead &Head, bool IsFirstOnConnection);

/// Judges whether the answer is complete and what it proves.
SendOutcome outcomeOf(const ReceivedAnswer &Answer);
/// The same for the answer of the node to which the request was forwarded: an
/// endpoint's, or a refusal of the node's own.
SendOutcome forwardedOutcomeOf(const ReceivedAnswer &Answer);

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ANSWEROUTCOME_H
