#include "Core/Gateway/AnswerOutcome.h"

#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

namespace {

ReceivedAnswer sealedAnswer(TransferEnd End, bool IsStream = false) {
  ReceivedAnswer Answer;
  Answer.m_Head = AnswerHead{.m_Sealed = true};
  Answer.m_Status = 200;
  Answer.m_IsStream = IsStream;
  Answer.m_End.m_Framing = End == TransferEnd::ConnectionClosed
                               ? model::BodyFraming::Connection
                               : model::BodyFraming::Chunked;
  Answer.m_End.m_BodyBytes = 100;
  Answer.m_TransferEnd = End;
  Answer.m_IsSent = true;
  return Answer;
}

bool isResult(const ReceivedAnswer &Answer, SendResult Expected) {
  return outcomeOf(Answer).m_Result == Expected;
}

} // namespace

TEST_CASE(
    "an answer that ended as framed, or by a clean close without framing, "
    "is complete") {
  for (const bool IsStream : {false, true}) {
    for (const TransferEnd End :
         {TransferEnd::AsFramed, TransferEnd::ConnectionClosed})
      CHECK(isResult(sealedAnswer(End, IsStream), SendResult::Completed));
    CHECK(isResult(sealedAnswer(TransferEnd::Broken, IsStream),
                   SendResult::Broken));
  }
}

// Guards against an answer that was broken off reaching its caller as complete.
TEST_CASE("a stream that ended inside an event is broken in any framing") {
  for (const TransferEnd End :
       {TransferEnd::AsFramed, TransferEnd::ConnectionClosed}) {
    ReceivedAnswer Answer = sealedAnswer(End, true);
    Answer.m_End.m_PartialEventBytes = 1;
    const SendOutcome Outcome = outcomeOf(Answer);
    CHECK((Outcome.m_Result == SendResult::Broken));
    CHECK((Outcome.m_AnswerEnd == Answer.m_End));
  }
}

// Guards against an empty answer in place of one that broke off.
TEST_CASE("a stream without events is broken only if nothing frames it") {
  ReceivedAnswer Closed = sealedAnswer(TransferEnd::ConnectionClosed, true);
  Closed.m_End.m_BodyBytes = 0;
  CHECK(isResult(Closed, SendResult::Broken));
  ReceivedAnswer Framed = sealedAnswer(TransferEnd::AsFramed, true);
  Framed.m_End.m_BodyBytes = 0;
  CHECK(isResult(Framed, SendResult::Completed));
}

// Guards against a stream that ends as complete where it broke off.
TEST_CASE("a stream that is continued is complete only with a further event") {
  for (const TransferEnd End :
       {TransferEnd::AsFramed, TransferEnd::ConnectionClosed}) {
    ReceivedAnswer Answer = sealedAnswer(End, true);
    Answer.m_IsContinuation = true;
    CHECK(isResult(Answer, SendResult::Broken));
    Answer.m_End.m_Events = 1;
    CHECK(isResult(Answer, SendResult::Completed));
  }
}

TEST_CASE("what proves that the request did not run counts without a complete "
          "body") {
  ReceivedAnswer Answer = sealedAnswer(TransferEnd::Broken);
  Answer.m_Status = 503;
  Answer.m_Head->m_NotRun = true;
  CHECK(isResult(Answer, SendResult::NotRun));
  Answer.m_Head->m_Misdirected = true;
  CHECK(isResult(Answer, SendResult::Misdirected));
  ReceivedAnswer None;
  CHECK(isResult(None, SendResult::NotSent));
  None.m_IsSent = true;
  CHECK(isResult(None, SendResult::Broken));
  CHECK_FALSE(outcomeOf(None).m_AnswerEnd);
}

// Guards against an answer that belongs to an earlier request.
TEST_CASE("an answer belongs to a request that it names, or that is the first "
          "on its connection") {
  AnswerHead Head;
  for (const bool IsFirst : {false, true}) {
    Head.m_Names = NamedRequest::Own;
    CHECK(foreignFault(Head, IsFirst) == nullptr);
    Head.m_Names = NamedRequest::Other;
    CHECK(foreignFault(Head, IsFirst) != nullptr);
  }
  Head.m_Names = NamedRequest::None;
  CHECK(foreignFault(Head, true) == nullptr);
  CHECK(foreignFault(Head, false) != nullptr);
}

TEST_CASE("a failure is the endpoint's only with its seal") {
  ReceivedAnswer Answer = sealedAnswer(TransferEnd::AsFramed);
  Answer.m_Status = 500;
  CHECK(isResult(Answer, SendResult::Failed));
  Answer.m_Head->m_Sealed = false;
  CHECK(isResult(Answer, SendResult::Broken));
}

} // namespace bronzepass::core::gateway
