#include "Core/Adapters/Gateway/GatewayMetrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace bronzepass::core::adapters::gateway {

namespace prom = ::prometheus;

namespace {

/// In seconds: from the duration of a short call to the longest route timeouts.
const prom::Histogram::BucketBoundaries Buckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

constexpr const char *Others = "other";

bool isEnd(const std::string &Action) {
  return Action == "answer" || Action == "refuse" || Action == "cut" ||
         Action == "gone";
}

} // namespace

class GatewayMetrics::Impl {
public:
  Impl()
      : m_Requests(prom::BuildCounter()
                       .Name("bronzepass_requests_total")
                       .Help("Requests by kind of route, end and status")
                       .Register(m_Registry)),
        m_Sends(prom::BuildCounter()
                    .Name("bronzepass_sends_total")
                    .Help("Sends to endpoints by kind of route; retries apart")
                    .Register(m_Registry)),
        m_Answers(prom::BuildCounter()
                      .Name("bronzepass_endpoint_answers_total")
                      .Help("Ends of endpoints' answers by framing, the action "
                            "that followed, and whether an event was "
                            "incomplete")
                      .Register(m_Registry)),
        m_StoreRestores(
            prom::BuildCounter()
                .Name("bronzepass_store_restores_total")
                .Help("Restores of the platform's store from a backup")
                .Register(m_Registry)),
        m_UnreadableStatements(
            prom::BuildCounter()
                .Name("bronzepass_unreadable_statements_total")
                .Help("Answers whose endpoint said something of itself that "
                      "could not be read")
                .Register(m_Registry)),
        m_DroppedRequests(
            prom::BuildCounter()
                .Name("bronzepass_dropped_requests_total")
                .Help("Requests read whole whose connection had ended by then")
                .Register(m_Registry)),
        m_LinksLost(prom::BuildCounter()
                        .Name("bronzepass_links_lost_total")
                        .Help("Times that the node lost its links to the "
                              "endpoints of a service, or to all")
                        .Register(m_Registry)),
        m_Left(prom::BuildCounter()
                   .Name("bronzepass_left_requests_total")
                   .Help("Requests whose caller left before the end, by what "
                         "was done for them until then")
                   .Register(m_Registry)),
        m_Turns(prom::BuildHistogram()
                    .Name("bronzepass_loop_turn_seconds")
                    .Help("Turns of the traffic thread's loop; what arrives "
                          "meanwhile waits for the next one")
                    .Register(m_Registry)
                    .Add({}, Buckets)),
        m_ConfigSteps(prom::BuildHistogram()
                          .Name("bronzepass_config_step_seconds")
                          .Help("From the receipt of a configuration until it "
                                "was read, taken by the traffic thread, and "
                                "used for a request")
                          .Register(m_Registry)),
        m_Durations(prom::BuildHistogram()
                        .Name("bronzepass_request_duration_seconds")
                        .Help("From a request's first byte to its end")
                        .Register(m_Registry)),
        m_Refusals(prom::BuildCounter()
                       .Name("bronzepass_access_refusals_total")
                       .Help("Requests refused, or answers cut, for their key "
                             "or the proof of the configuration, by cause")
                       .Register(m_Registry)),
        m_OfOrganisations(prom::BuildCounter()
                              .Name("bronzepass_organisation_requests_total")
                              .Help("Requests by organisation, end and status")
                              .Register(m_Registry)),
        m_CallerBytes(prom::BuildGauge()
                          .Name("bronzepass_caller_memory_bytes")
                          .Help("Memory that callers hold, by budget")
                          .Register(m_Registry)),
        m_AnswerBytes(prom::BuildGauge()
                          .Name("bronzepass_answer_memory_bytes")
                          .Help("Memory that endpoints' answers hold until "
                                "they are passed on")
                          .Register(m_Registry)),
        m_CallerLosses(prom::BuildGauge()
                           .Name("bronzepass_callers_held_back")
                           .Help("Requests, answers and connections of callers "
                                 "that waited or ended for want of memory or "
                                 "places, since the start")
                           .Register(m_Registry)),
        m_Gauges(prom::BuildGauge()
                     .Name("bronzepass_node")
                     .Help("What the node holds now")
                     .Register(m_Registry)) {}

  prom::Registry m_Registry;
  prom::Family<prom::Counter> &m_Requests;
  prom::Family<prom::Counter> &m_Sends;
  prom::Family<prom::Counter> &m_Answers;
  prom::Family<prom::Counter> &m_StoreRestores;
  prom::Family<prom::Counter> &m_UnreadableStatements;
  prom::Family<prom::Counter> &m_DroppedRequests;
  prom::Family<prom::Counter> &m_LinksLost;
  prom::Family<prom::Counter> &m_Left;
  prom::Histogram &m_Turns;
  prom::Family<prom::Histogram> &m_ConfigSteps;
  prom::Family<prom::Histogram> &m_Durations;
  prom::Family<prom::Counter> &m_Refusals;
  prom::Family<prom::Counter> &m_OfOrganisations;
  prom::Family<prom::Gauge> &m_CallerBytes;
  prom::Family<prom::Gauge> &m_AnswerBytes;
  prom::Family<prom::Gauge> &m_CallerLosses;
  prom::Family<prom::Gauge> &m_Gauges;
  /// The series of an organisation, or of "other".
  std::map<std::string, std::set<prom::Counter *>> m_Series;
  std::set<std::string> m_Organisations;
};

GatewayMetrics::GatewayMetrics() : m_Impl(std::make_unique<Impl>()) {}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::count(const core::gateway::RelayLogEntry &Entry) {
  if (Entry.m_AnswerEnd)
    m_Impl->m_Answers
        .Add({{"framing", toString(Entry.m_AnswerEnd->m_Framing)},
              {"action", Entry.m_Action},
              {"inside_event",
               Entry.m_AnswerEnd->m_PartialEventBytes > 0 ? "true" : "false"}})
        .Increment();
  if (Entry.m_Action == "send" || Entry.m_Action == "retry" ||
      Entry.m_Action == "forward") {
    m_Impl->m_Sends.Add({{"kind", Entry.m_Kind}, {"try", Entry.m_Action}})
        .Increment();
    return;
  }
  if (!isEnd(Entry.m_Action))
    return;
  m_Impl->m_Requests
      .Add({{"kind", Entry.m_Kind},
            {"end", Entry.m_Action},
            {"status", std::to_string(Entry.m_Status)}})
      .Increment();
  if (Entry.m_Action == "gone")
    m_Impl->m_Left.Add({{"stage", Entry.m_Stage}}).Increment();
  if (!Entry.m_RefusalCause.empty())
    m_Impl->m_Refusals.Add({{"cause", Entry.m_RefusalCause}}).Increment();
  if (!Entry.m_Organisation.empty()) {
    const bool IsNamed = m_Impl->m_Organisations.contains(Entry.m_Organisation);
    const std::string Name = IsNamed ? Entry.m_Organisation : Others;
    prom::Counter &Counter = m_Impl->m_OfOrganisations.Add(
        {{"organisation", Name},
         {"end", Entry.m_Action},
         {"status", std::to_string(Entry.m_Status)}});
    Counter.Increment();
    m_Impl->m_Series[Name].insert(&Counter);
  }
  m_Impl->m_Durations
      .Add({{"kind", Entry.m_Kind}, {"end", Entry.m_Action}}, Buckets)
      .Observe(std::chrono::duration<double>(Entry.m_Elapsed).count());
}

void GatewayMetrics::count(const core::gateway::LinksChange &Change) {
  if (Change.m_IsLost)
    m_Impl->m_LinksLost
        .Add({{"of", Change.m_Service.empty() ? "all" : "service"}})
        .Increment();
}

void GatewayMetrics::countUnreadableStatement() {
  m_Impl->m_UnreadableStatements.Add({}).Increment();
}

void GatewayMetrics::countDroppedRequest() {
  m_Impl->m_DroppedRequests.Add({}).Increment();
}

void GatewayMetrics::observeTurn(std::chrono::microseconds Length) {
  m_Impl->m_Turns.Observe(std::chrono::duration<double>(Length).count());
}

void GatewayMetrics::observeConfigStep(const char *Step, model::Duration Time) {
  m_Impl->m_ConfigSteps.Add({{"step", Step}}, Buckets)
      .Observe(std::chrono::duration<double>(Time).count());
}

void GatewayMetrics::countStoreRestore() {
  m_Impl->m_StoreRestores.Add({}).Increment();
}

void GatewayMetrics::setOrganisations(const std::vector<std::string> &Names) {
  m_Impl->m_Organisations.clear();
  for (const std::string &Each : Names)
    if (m_Impl->m_Organisations.size() < MaxOrganisations && Each != Others)
      m_Impl->m_Organisations.insert(Each);
  std::erase_if(m_Impl->m_Series, [this](const auto &Entry) {
    if (Entry.first == Others || m_Impl->m_Organisations.contains(Entry.first))
      return false;
    for (prom::Counter *const Each : Entry.second)
      m_Impl->m_OfOrganisations.Remove(Each);
    return true;
  });
}

void GatewayMetrics::setConfigAge(std::optional<model::Duration> Age) {
  if (Age)
    m_Impl->m_Gauges.Add({{"what", "config_proof_age_seconds"}})
        .Set(std::chrono::duration<double>(*Age).count());
}

void GatewayMetrics::setActive(size_t Requests, size_t Connections) {
  m_Impl->m_Gauges.Add({{"what", "requests_live"}})
      .Set(static_cast<double>(Requests));
  m_Impl->m_Gauges.Add({{"what", "callers_connections"}})
      .Set(static_cast<double>(Connections));
}

void GatewayMetrics::setCallerMemory(const resources::CallerMemory &Memory) {
  const auto Show = [this](const char *Name,
                           const resources::MemoryBudget &Budget) {
    const auto Set = [&](const char *What, uint64_t Bytes) {
      m_Impl->m_CallerBytes.Add({{"budget", Name}, {"what", What}})
          .Set(static_cast<double>(Bytes));
    };
    Set("limit", Budget.limit());
    Set("in_use", Budget.inUse());
    Set("highest", Budget.highest());
  };
  Show("small_requests", Memory.smallRequests());
  Show("large_requests", Memory.largeRequests());
  Show("unsent_answers", Memory.unsentAnswers());
  const resources::MemoryCounters &Counters = Memory.counters();
  const auto Count = [this](const char *Cause, uint64_t Times) {
    m_Impl->m_CallerLosses.Add({{"cause", Cause}})
        .Set(static_cast<double>(Times));
  };
  Count("waited", Counters.m_Waits);
  Count("stalled", Counters.m_LostStalled);
  Count("largest", Counters.m_LostLargest);
  Count("crowded", Counters.m_LostCrowded);
  Count("answer_unread", Counters.m_LostAnswers);
}

void GatewayMetrics::setAnswerMemory(const resources::AnswerMemory &Memory) {
  const auto Set = [this](const char *What, uint64_t Bytes) {
    m_Impl->m_AnswerBytes.Add({{"what", What}}).Set(static_cast<double>(Bytes));
  };
  Set("limit", Memory.budget().limit());
  Set("in_use", Memory.budget().inUse());
  Set("highest", Memory.budget().highest());
  m_Impl->m_Gauges.Add({{"what", "answers_lost_for_memory"}})
      .Set(static_cast<double>(Memory.lost()));
}

void GatewayMetrics::setCallerPlaces(uint64_t GivenUp, uint64_t AcceptPauses) {
  m_Impl->m_CallerLosses.Add({{"cause", "place"}})
      .Set(static_cast<double>(GivenUp));
  m_Impl->m_CallerLosses.Add({{"cause", "accept_paused"}})
      .Set(static_cast<double>(AcceptPauses));
}

void GatewayMetrics::setConfigVersion(uint64_t Version) {
  m_Impl->m_Gauges.Add({{"what", "config_version"}})
      .Set(static_cast<double>(Version));
}

void GatewayMetrics::setQuarantinedTraits(size_t Traits) {
  m_Impl->m_Gauges.Add({{"what", "quarantined_traits"}})
      .Set(static_cast<double>(Traits));
}

void GatewayMetrics::setPacedEndpoints(size_t Endpoints) {
  m_Impl->m_Gauges.Add({{"what", "paced_endpoints"}})
      .Set(static_cast<double>(Endpoints));
}

void GatewayMetrics::setQuotas(
    const std::vector<core::organisations::QuotaUse> &Uses) {
  core::organisations::QuotaUse Sum;
  for (const core::organisations::QuotaUse &Each : Uses) {
    Sum.m_Spent += Each.m_Spent;
    Sum.m_Granted += Each.m_Granted;
    Sum.m_Refused += Each.m_Refused;
    Sum.m_Standing += Each.m_Standing;
  }
  m_Impl->m_Gauges.Add({{"what", "quota_spent"}}).Set(Sum.m_Spent);
  m_Impl->m_Gauges.Add({{"what", "quota_granted"}}).Set(Sum.m_Granted);
  m_Impl->m_Gauges.Add({{"what", "quota_refused"}})
      .Set(static_cast<double>(Sum.m_Refused));
  m_Impl->m_Gauges.Add({{"what", "quota_standing_per_second"}})
      .Set(Sum.m_Standing);
}

void GatewayMetrics::setLinesDropped(uint64_t Lines) {
  m_Impl->m_Gauges.Add({{"what", "log_lines_dropped"}})
      .Set(static_cast<double>(Lines));
}

std::string GatewayMetrics::text() const {
  return prom::TextSerializer().Serialize(m_Impl->m_Registry.Collect());
}

} // namespace bronzepass::core::adapters::gateway
