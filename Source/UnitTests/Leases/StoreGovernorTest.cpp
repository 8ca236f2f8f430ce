#include "Core/Leases/StoreGovernor.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::leases {

using namespace core;
using core::leases::GovernorSettings;
using core::leases::RoutedAnswer;
using core::leases::StoreClient;
using core::leases::StoreGovernor;
using ports::StorePriority;
using ports::StoreStatus;
using ports::StoreVerb;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct GovernorFixture {
  explicit GovernorFixture(const GovernorSettings &Settings = {})
      : m_Governor(Settings, m_Random) {}

  model::CallId submit(StoreVerb Verb,
                       StorePriority Priority = StorePriority::Claim,
                       model::Duration Timeout = seconds(2)) {
    ports::StoreCall Call;
    Call.m_Verb = Verb;
    Call.m_Priority = Priority;
    Call.m_Timeout = Timeout;
    return m_Governor.submit(StoreClient::Claims, Call, m_Now, m_Out);
  }

  std::vector<ports::StoreCall> takeSent() {
    std::vector<ports::StoreCall> Calls;
    for (const ports::Effect &E : m_Out)
      Calls.push_back(std::get<ports::StoreCall>(E));
    m_Out.clear();
    return Calls;
  }

  std::optional<RoutedAnswer> answer(model::CallId Id, StoreStatus Status) {
    return m_Governor.onAnswer({.m_Id = Id, .m_Status = Status}, m_Now, m_Out);
  }

  std::vector<RoutedAnswer> advance(model::Duration By) {
    m_Now += By;
    return m_Governor.tick(m_Now, m_Out);
  }

  fakes::FixedRandom m_Random{1};
  StoreGovernor m_Governor;
  model::TimePoint m_Now{seconds(1000)};
  ports::EffectList m_Out;
};

} // namespace

TEST_CASE("A write that may have taken effect is never sent twice") {
  GovernorFixture B;
  const model::CallId Id = B.submit(StoreVerb::Update);
  REQUIRE(B.takeSent().size() == 1);
  const std::optional<RoutedAnswer> Final = B.answer(Id, StoreStatus::Unknown);
  REQUIRE(Final);
  CHECK(Final->m_Client == StoreClient::Claims);
  CHECK(Final->m_Answer.m_Id == Id);
  CHECK(Final->m_Answer.m_Status == StoreStatus::Unknown);
  B.advance(seconds(10));
  CHECK(B.takeSent().empty());
}

TEST_CASE("A failed read and an unsent write are retried and answered under "
          "the first id") {
  for (const StoreVerb Verb : {StoreVerb::Get, StoreVerb::Update}) {
    GovernorFixture B;
    const StoreStatus Fault =
        Verb == StoreVerb::Get ? StoreStatus::Unknown : StoreStatus::NotSent;
    const model::CallId Id = B.submit(Verb);
    B.takeSent();
    CHECK_FALSE(B.answer(Id, Fault));
    B.advance(milliseconds(100));
    const std::vector<ports::StoreCall> Again = B.takeSent();
    REQUIRE(Again.size() == 1);
    CHECK(Again[0].m_Id != Id);
    const std::optional<RoutedAnswer> Final =
        B.answer(Again[0].m_Id, StoreStatus::Ok);
    REQUIRE(Final);
    CHECK(Final->m_Answer.m_Id == Id);
    // A late answer to the first attempt matches no call.
    CHECK_FALSE(B.answer(Id, StoreStatus::Ok));
    CHECK(B.m_Governor.counts().m_Unmatched == 1);
  }
}

TEST_CASE("Calls of higher priority overtake earlier calls") {
  GovernorSettings Settings;
  Settings.m_MaxConcurrent = 1;
  GovernorFixture B(Settings);
  const model::CallId First = B.submit(StoreVerb::Get, StorePriority::Status);
  const model::CallId Status = B.submit(StoreVerb::Get, StorePriority::Status);
  const model::CallId Lease = B.submit(StoreVerb::Get, StorePriority::Lease);
  B.takeSent();
  B.answer(First, StoreStatus::Ok);
  CHECK(B.takeSent().at(0).m_Id == Lease);
  B.answer(Lease, StoreStatus::Ok);
  CHECK(B.takeSent().at(0).m_Id == Status);
}

TEST_CASE("The rate limit bounds the calls sent") {
  GovernorSettings Settings;
  Settings.m_CallsPerSecond = 10;
  Settings.m_Burst = 5;
  Settings.m_MaxConcurrent = 100;
  GovernorFixture B(Settings);
  for (int I = 0; I < 50; ++I)
    B.submit(StoreVerb::Get, StorePriority::Claim, seconds(60));
  CHECK(B.takeSent().size() == 5);
  B.advance(milliseconds(500));
  CHECK(B.takeSent().size() == 5);
  B.advance(milliseconds(1));
  CHECK(B.takeSent().empty());
}

TEST_CASE("While the circuit is open, only probes are sent") {
  GovernorFixture B;
  for (int I = 0; I < 5; ++I)
    B.answer(B.submit(StoreVerb::Update), StoreStatus::Unknown);
  CHECK(B.m_Governor.isCircuitOpen());
  B.takeSent();
  size_t Probes = 0;
  for (int I = 0; I < 600; ++I) {
    B.submit(StoreVerb::Update, StorePriority::Claim, seconds(1));
    B.advance(milliseconds(100));
    for (const ports::StoreCall &Call : B.takeSent()) {
      ++Probes;
      B.answer(Call.m_Id, StoreStatus::Unknown);
    }
  }
  CHECK(Probes >= 5);
  CHECK(Probes <= 60);
  // One successful answer closes the circuit, and queued calls are sent again.
  B.advance(seconds(10));
  B.submit(StoreVerb::Update);
  B.submit(StoreVerb::Update);
  const std::vector<ports::StoreCall> Probe = B.takeSent();
  REQUIRE(Probe.size() == 1);
  B.answer(Probe[0].m_Id, StoreStatus::Ok);
  CHECK_FALSE(B.m_Governor.isCircuitOpen());
  CHECK(B.takeSent().size() == 1);
}

TEST_CASE("Retries stop when the retry budget is used up") {
  GovernorSettings Settings;
  Settings.m_MaxRetryTokens = 3;
  Settings.m_MaxAttempts = 100;
  Settings.m_Circuit.m_FailureThreshold = 1000;
  GovernorFixture B(Settings);
  const model::CallId Id =
      B.submit(StoreVerb::Get, StorePriority::Claim, seconds(3600));
  std::optional<RoutedAnswer> Final;
  size_t Attempts = 0;
  while (!Final && Attempts < 50) {
    for (const ports::StoreCall &Call : B.takeSent()) {
      ++Attempts;
      Final = B.answer(Call.m_Id, StoreStatus::NotSent);
    }
    B.advance(seconds(3));
  }
  REQUIRE(Final);
  CHECK(Final->m_Answer.m_Id == Id);
  CHECK(Attempts == 4);
}

TEST_CASE("A call is answered even if it is never sent or gets no answer") {
  GovernorSettings Settings;
  Settings.m_MaxConcurrent = 1;
  GovernorFixture B(Settings);
  const model::CallId Sent =
      B.submit(StoreVerb::Update, StorePriority::Claim, seconds(2));
  const model::CallId Waiting =
      B.submit(StoreVerb::Update, StorePriority::Claim, seconds(1));
  std::vector<RoutedAnswer> Answers = B.advance(seconds(1));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].m_Answer.m_Id == Waiting);
  CHECK(Answers[0].m_Answer.m_Status == StoreStatus::NotSent);
  Answers = B.advance(seconds(5));
  REQUIRE(Answers.size() == 1);
  CHECK(Answers[0].m_Answer.m_Id == Sent);
  CHECK(Answers[0].m_Answer.m_Status == StoreStatus::Unknown);
  CHECK(B.m_Governor.inFlightCount() == 0);
}

} // namespace bronzepass::unit_tests::leases
