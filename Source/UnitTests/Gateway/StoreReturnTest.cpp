#include "Core/Gateway/EndpointRegistry.h"
#include "Core/Gateway/ObjectFeed.h"
#include "Core/Gateway/StoreHealth.h"
#include "Core/Gateway/WatchTimes.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <doctest/doctest.h>
#include <optional>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration Step = 5ms;
constexpr model::Duration RoundTrip = 10ms;
/// From the registry to the choice of an endpoint for a request.
constexpr model::Duration DeliveryTime = 50ms;
constexpr model::Duration LeaveNotice = 2s;

/// How calls to a store end that does not serve this node.
enum class Outage { Refuses, Silent };

struct Day {
  Outage m_Outage = Outage::Refuses;
  model::Duration m_Contact = 3s;
  /// After the outage begins: its end, and when the endpoint leaves.
  model::Duration m_End{0};
  model::Duration m_Left{0};
  uint64_t m_Seed = 1;
  /// The node follows others in a large fleet and asks the store rarely.
  bool m_IsFollower = false;
};

/// One node's endpoint feed and registry against a store that is away from this
/// node alone.
class NodeWithoutStore {
public:
  explicit NodeWithoutStore(const Day &Played)
      : m_Day(Played), m_Random(Played.m_Seed), m_Feed(settings(), m_Random),
        m_Registry(lapsedRetention(Played.m_Contact)) {
    if (Played.m_IsFollower)
      m_Feed.setMaxBackoff(followerMaxBackoff(Played.m_Contact));
  }

  /// When the node drops the endpoint, since the return of the store.
  model::Duration droppedAfterReturn() {
    EndpointEntry Entry;
    Entry.m_Id = model::EndpointId("a");
    m_Registry.set(Entry, m_Start);
    m_Feed.nextCall(m_Start);
    m_Feed.handleAnswer({.m_Status = FeedStatus::Ok,
                         .m_Objects = {{"a", 1, false, "x"}},
                         .m_Revision = 1},
                        m_Start);
    const model::TimePoint Return = m_Start + m_Day.m_End;
    m_Now = m_Start;
    while (!m_Registry.empty() && m_Now < Return + 20s) {
      m_Now += Step;
      if (m_AnswerAt && m_Now >= *m_AnswerAt)
        answer();
      if (!m_AnswerAt)
        if (const std::optional<FeedCall> Call = m_Feed.nextCall(m_Now))
          begin(*Call);
      m_Registry.dropLapsed(m_Health, m_Now);
    }
    return m_Now - Return;
  }

private:
  FeedSettings settings() const {
    FeedSettings Settings;
    Settings.m_WatchTimeout =
        endpointWatchTimes(LeaveNotice, m_Day.m_Contact, false).m_WatchTimeout;
    return Settings;
  }
  bool isAway(model::TimePoint At) const { return At < m_Start + m_Day.m_End; }
  bool hasLeft(model::TimePoint At) const {
    return At >= m_Start + m_Day.m_Left;
  }

  void begin(const FeedCall &Call) {
    m_Call = Call;
    m_CallAt = m_Now;
    if (isAway(m_Now)) {
      m_AnswerAt = m_Now + (m_Day.m_Outage == Outage::Silent ? Call.m_Timeout
                                                             : RoundTrip);
      m_Fails = true;
      return;
    }
    m_Fails = false;
    const bool HasNews = Call.m_Verb == FeedCall::Verb::List ||
                         (Call.m_Revision < 2 && hasLeft(m_Now));
    const model::TimePoint LeftAt = m_Start + m_Day.m_Left;
    const model::TimePoint End = m_Now + Call.m_Wait;
    m_AnswerAt =
        RoundTrip + (HasNews ? m_Now : std::min(std::max(LeftAt, m_Now), End));
  }

  void answer() {
    const FeedCall Call = m_Call;
    m_AnswerAt.reset();
    FeedAnswer Answer;
    if (m_Fails) {
      m_Health.recordFailure(m_Now);
    } else {
      m_Health.recordAnswer();
      Answer.m_Status = FeedStatus::Ok;
      Answer.m_Revision = hasLeft(m_Now) ? 2 : 1;
      if (hasLeft(m_Now) && Call.m_Revision < 2)
        Answer.m_Objects = {{"a", 2, true, ""}};
    }
    for (const FeedChange &Each : m_Feed.handleAnswer(Answer, m_Now))
      if (!Each.m_Content)
        m_Registry.remove(model::EndpointId("a"), m_Health, m_Now);
  }

  const Day m_Day;
  const model::TimePoint m_Start = model::TimePoint(100s);
  model::TimePoint m_Now;
  unit_tests::fakes::FixedRandom m_Random;
  ObjectFeed m_Feed;
  StoreHealth m_Health;
  EndpointRegistry m_Registry;
  FeedCall m_Call;
  model::TimePoint m_CallAt;
  std::optional<model::TimePoint> m_AnswerAt;
  bool m_Fails = false;
};

/// How much later than allowed the endpoint is dropped, over all phases of the
/// node's calls, if it leaves while the store is away or soon after.
model::Duration latestExcess(Day Played) {
  model::Duration Latest = -10s;
  for (Played.m_End = 7s; Played.m_End < 10s; Played.m_End += 35ms)
    for (const model::Duration Left : {-400ms, 0ms, 300ms, 1300ms})
      for (Played.m_Seed = 1; Played.m_Seed <= 5; ++Played.m_Seed) {
        Played.m_Left = Played.m_End + Left;
        const model::Duration Bound =
            std::max(Played.m_Contact, Left + LeaveNotice);
        Latest =
            std::max(Latest, NodeWithoutStore(Played).droppedAfterReturn() +
                                 DeliveryTime - Bound);
      }
  return Latest;
}

} // namespace

// Guards against sending to an endpoint that left while the store was away from
// this node alone.
TEST_CASE("a node whose store returns drops what has left meanwhile within the "
          "contact time") {
  for (const Outage Kind : {Outage::Refuses, Outage::Silent})
    for (const bool IsFollower : {false, true})
      for (const model::Duration Contact : {2s, 3s, 5s, 10s}) {
        CAPTURE(static_cast<int>(Kind));
        CAPTURE(IsFollower);
        CAPTURE(Contact.count());
        CHECK(latestExcess({.m_Outage = Kind,
                            .m_Contact = Contact,
                            .m_IsFollower = IsFollower}) <= 0s);
      }
}

} // namespace bronzepass::core::gateway
