#include "UnitTests/Gateway/RelayChangeSimulation.h"

#include <algorithm>
#include <utility>

namespace bronzepass::unit_tests {

namespace {

constexpr int Unauthorised = 401;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

} // namespace

bool RelayChangeSimulation::mayRepeat(const TrackedRequest &Request) {
  const gateway::RouteSpec &Route = *Request.m_Route;
  return Route.m_Repeatable || (Route.m_Stream && Route.m_Resumable);
}

uint32_t RelayChangeSimulation::maxRuns(const TrackedRequest &Request) {
  if (!mayRepeat(Request))
    return 1;
  const uint32_t OfRoute = Request.m_Route->m_MaxAttempts;
  const std::optional<gateway::ForwardingTerms> &Terms =
      Request.m_Request.m_Forwarded;
  return Terms ? std::min(OfRoute, Terms->m_RunsLeft) : OfRoute;
}

bool RelayChangeSimulation::isProven() const {
  if (m_Settings.m_KeyRevocationTime == model::Duration::zero())
    return true;
  return m_ProvenAt && m_Now - *m_ProvenAt < m_Settings.m_KeyRevocationTime;
}

/// By the newest configuration.
bool RelayChangeSimulation::mayBeSent(const TrackedRequest &Tracked) const {
  using organisations::Credential;
  const gateway::RelayRequest &Request = Tracked.m_Request;
  const organisations::OrganisationTable *const Table =
      m_Table->organisations();
  const gateway::RouteSpec *const Route =
      m_Table->find(Request.m_Host, Request.m_Path);
  const bool IsOpen = Route && Route->m_IsOpen;
  if (Request.m_Forwarded) {
    const std::optional<std::string> &Name =
        Request.m_Forwarded->m_Organisation;
    if (!Table && !Name)
      return true;
    if (!Table || !Name ||
        Request.m_Forwarded->m_ConfigVersion != m_Table->config().m_Version)
      return false;
    return Name->empty() ? IsOpen : Table->findByName(*Name) && isProven();
  }
  if (!Table)
    return true;
  const bool HasKey =
      Request.m_Credential.m_State == Credential::State::Present;
  if (!HasKey)
    return IsOpen;
  return isProven() &&
         (IsOpen || Table->findByKey(Request.m_Credential.m_Digest));
}

void RelayChangeSimulation::check() {
  const gateway::RelayEffectList Effects = std::exchange(m_Out, {});
  for (const gateway::RelayEffect &Each : Effects)
    std::visit([this](const auto &Effect) { on(Effect); }, Each);
  const auto Active =
      std::count_if(m_Requests.begin(), m_Requests.end(), [](const auto &Each) {
        const TrackedRequest &Request = Each.second;
        return !Request.m_HasEnded && (!Request.m_HasLeft || Request.m_Attempt);
      });
  expect(m_Core->activeRequestCount() == static_cast<size_t>(Active),
         "a request is active until it has ended", {});
}

void RelayChangeSimulation::on(const gateway::SendRequest &Effect) {
  const model::RequestId Number = Effect.m_Request;
  TrackedRequest &Request = m_Requests.at(Number);
  expect(!Request.m_HasEnded && !Request.m_HasLeft,
         "nothing is sent after its end", Number);
  expect(!Request.m_Attempt, "a request is sent once at a time", Number);
  expect(Effect.m_Remaining > model::Duration::zero() &&
             Effect.m_Remaining <= Request.m_Deadline - m_Now,
         "a send has a part of the time that is left", Number);
  expect(Request.m_PossibleRuns < maxRuns(Request),
         "a request runs no more often than it may", Number);
  expect(Effect.m_Resume == Request.m_HasBegun,
         "a stream that has begun goes on", Number);
  expect(!Request.m_HasBegun ||
             (Request.m_Route->m_Stream && Request.m_Route->m_Resumable),
         "only a stream that may go on does", Number);
  expect(mayBeSent(Request), "the newest configuration allows a send", Number);
  if (Effect.m_Forwarding) {
    ++m_Seen["forward"];
    expect(Effect.m_Forwarding->m_HasBegun == Request.m_HasBegun,
           "the other node is told whether the answer has begun", Number);
    expect(!Request.m_Request.m_Forwarded, "a request is forwarded once",
           Number);
    expect(Request.m_PossibleRuns + Effect.m_Forwarding->m_RunsLeft <=
               maxRuns(Request),
           "the other node runs it no more often than it may", Number);
  } else {
    ++m_Seen["send"];
    const auto Usable = m_Usable.find(Effect.m_Endpoint);
    expect(Usable != m_Usable.end() && Usable->second == Effect.m_Service,
           "the endpoint is registered and stays", Number);
  }
  m_Seen["resume"] += Effect.m_Resume ? 1 : 0;
  Request.m_Attempt = Effect.m_Attempt;
  m_Sends[Effect.m_Attempt] = {Effect, false};
}

void RelayChangeSimulation::on(const gateway::CancelSend &Effect) {
  const auto Found = m_Sends.find(Effect.m_Attempt);
  expect(Found != m_Sends.end(), "a send that is cancelled is in flight", {});
  if (Found == m_Sends.end())
    return;
  ++m_Seen["cancel"];
  TrackedRequest &Request = m_Requests.at(Found->second.m_Sent.m_Request);
  ++Request.m_PossibleRuns;
  Request.m_Attempt = {};
  m_Sends.erase(Found);
}

void RelayChangeSimulation::on(const gateway::ForwardAnswer &Effect) {
  TrackedRequest &Request = m_Requests.at(Effect.m_Request);
  expect(Request.m_HasAnswer, "an answer was received", Effect.m_Request);
  ++m_Seen["answer"];
  end(Request);
}

void RelayChangeSimulation::on(const gateway::AbortAnswer &Effect) {
  TrackedRequest &Request = m_Requests.at(Effect.m_Request);
  expect(Request.m_HasBegun, "an answer that is cut has begun",
         Effect.m_Request);
  ++m_Seen["cut"];
  end(Request);
}

void RelayChangeSimulation::on(const gateway::RejectRequest &Effect) {
  TrackedRequest &Request = m_Requests.at(Effect.m_Request);
  const bool PromisesNotRun = Effect.m_Status == Unauthorised ||
                              Effect.m_Status == NotFound ||
                              Effect.m_Status == TooManyRequests ||
                              Effect.m_Status == ServiceUnavailable;
  expect(PromisesNotRun || Effect.m_Status == BadGateway ||
             Effect.m_Status == GatewayTimeout,
         "a refusal has one of the statuses", Effect.m_Request);
  expect(!Request.m_HasBegun, "an answer that has begun is not refused",
         Effect.m_Request);
  expect(PromisesNotRun == (Request.m_PossibleRuns == 0),
         "a refusal tells whether the request may have run: " +
             std::to_string(Effect.m_Status) + ", " + Effect.m_Reason,
         Effect.m_Request);
  ++m_Seen["refuse " + std::to_string(Effect.m_Status)];
  end(Request);
}

void RelayChangeSimulation::on(const gateway::AskQuotas & /*Effect*/) {
  ++m_Seen["ask for quota"];
}

void RelayChangeSimulation::on(const gateway::RelayLogEntry &Effect) {
  if (Effect.m_Action == "wait")
    ++m_Seen["wait: " + Effect.m_Reason];
  m_Seen["retry"] += Effect.m_Action == "retry" ? 1 : 0;
}

void RelayChangeSimulation::end(TrackedRequest &Request) {
  const model::RequestId Number = Request.m_Request.m_Number;
  expect(!Request.m_HasEnded, "a request ends once", Number);
  expect(!Request.m_HasLeft, "nobody awaits the end", Number);
  expect(!Request.m_Attempt, "no send is in flight at the end", Number);
  Request.m_HasEnded = true;
}

} // namespace bronzepass::unit_tests
