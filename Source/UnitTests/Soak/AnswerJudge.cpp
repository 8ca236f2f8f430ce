#include "UnitTests/Soak/AnswerJudge.h"

namespace bronzepass::unit_tests::soak {

namespace {

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

bool judgeAnswer(RequestRecord &Record, const std::string &Id, RequestKind Kind,
                 const CallerResponse &Response,
                 const std::optional<LostAnswer> &Loss) {
  const std::string EchoedId = Response.header("x-request-id");
  if (Response.m_Status != 0 && !EchoedId.empty() && EchoedId != Id)
    Record.violation("own answer", Id + " got the answer to " + EchoedId);
  if (!Response.m_Complete) {
    if (Loss)
      Record.onLost(Id, *Loss);
    return false;
  }
  if (promisesNotRun(Response.m_Status)) {
    Record.onPromisedNotRun(Id, Response.m_Status);
    return false;
  }
  if (Response.m_Status != 200)
    return false;
  Record.onSuccess(Id, Response.header("x-server-seal"));
  if (Response.m_Body != completeBody(Id, Kind))
    Record.violation(
        "whole answers",
        Id + " is complete with " + std::to_string(Response.m_Body.size()) +
            " of " + std::to_string(completeBody(Id, Kind).size()) + " bytes");
  return true;
}

} // namespace bronzepass::unit_tests::soak
