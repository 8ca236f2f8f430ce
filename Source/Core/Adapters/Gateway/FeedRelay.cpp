#include "Core/Adapters/Gateway/FeedRelay.h"

#include "Core/Adapters/Gateway/FeedRelayCodec.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr int Ok = 200;
constexpr int BadRequest = 400;
/// No node asks for longer.
constexpr model::Duration MaxWait = std::chrono::seconds(30);

} // namespace

FeedRelay::FeedRelay(net::EventLoop &Loop, ControlCalls &Calls,
                     const ports::Clock &Clock)
    : m_Calls(Calls), m_Clock(Clock), m_Server(Loop, *this) {
  front::FrontLimits Limits = m_Server.limits();
  Limits.m_Parser.m_MaxBodyBytes = MaxFeedQueryBytes;
  Limits.m_MaxUnsentBytes = MaxFeedReplyBytes;
  m_Server.setLimits(Limits);
}

std::optional<std::string> FeedRelay::listen(const model::Address &Address) {
  return m_Server.listen(Address);
}

void FeedRelay::ask(const model::Address &Watcher,
                    const gateway::FeedQuery &Query, model::Duration Timeout,
                    ReplyHandler OnReply) {
  const gateway::HttpCall Call{"POST",
                               FeedRelayPath,
                               {{"Content-Type", "application/cbor"}},
                               encodeFeedQuery(Query)};
  m_Calls.call(
      Watcher, Call, Timeout, ControlCalls::ConnectionUse::Kept,
      [OnReply = std::move(OnReply)](const gateway::HttpResult &Result) {
        std::string Reason = "status " + std::to_string(Result.m_Status);
        std::optional<gateway::FeedReply> Reply;
        if (Result.m_Status == 0)
          Reason = "no answer";
        else if (Result.m_Status == Ok)
          Reply = decodeFeedReply(Result.m_Body, Reason);
        else
          Reason += ": " + Result.m_Body;
        OnReply(Reply, Reason);
      });
}

void FeedRelay::tick() {
  const model::TimePoint Now = m_Clock.now();
  for (auto &Each : m_Publishers)
    Each.second.tick(Now);
}

void FeedRelay::close() {
  m_Closed = true;
  for (auto &Each : m_Publishers)
    Each.second.setStanding({});
}

void FeedRelay::onRequest(
    front::FrontRequest Request,
    std::shared_ptr<pistache::HttpResponseWriter> Answer) {
  std::string Reason = "unknown path";
  std::optional<gateway::FeedQuery> Query;
  if (Request.path() == FeedRelayPath)
    Query = decodeFeedQuery(Request.m_Body, Reason);
  if (!Query) {
    Answer->send({.m_Status = BadRequest,
                  .m_Body = Reason + "\n",
                  .m_ContentType = "text/plain"});
    return;
  }
  Query->m_Wait = std::min(Query->m_Wait, MaxWait);
  const auto Reply = [Answer](const gateway::FeedReply &Text) {
    Answer->send({.m_Status = Ok,
                  .m_Body = encodeFeedReply(Text),
                  .m_ContentType = "application/cbor"});
  };
  if (m_Closed) {
    Reply({});
    return;
  }
  gateway::FeedPublisher &Publisher = m_Publishers[Query->m_Kind];
  const uint64_t Id = Publisher.ask(*Query, m_Clock.now(), Reply);
  if (!Answer->hasEnded())
    Answer->onDisconnect([&Publisher, Id] { Publisher.cancel(Id); });
}

} // namespace bronzepass::core::adapters::gateway
