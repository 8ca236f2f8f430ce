#include "Core/Adapters/Prometheus/PrometheusMetrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace bronzepass::core::adapters::prometheus {

namespace {

struct MetricDescription {
  ports::Metric m_Metric;
  bool m_IsGauge;
  const char *m_Name;
  /// The name of the label that distinguishes the series of the metric.
  const char *m_Label;
  const char *m_Help;
};

constexpr std::array<MetricDescription, 10> Descriptions = {{
    {ports::Metric::RequestsAnswered, false,
     "bronzepass_requests_answered_total", "how", "Requests answered whole"},
    {ports::Metric::RequestsRefused, false, "bronzepass_requests_refused_total",
     "reason", "Requests refused or broken off"},
    {ports::Metric::AttemptsStarted, false, "bronzepass_attempts_started_total",
     "endpoint", "Tries of requests at endpoints"},
    {ports::Metric::StaleAnswersDropped, false,
     "bronzepass_stale_answers_dropped_total", "kind",
     "Late, crossed or duplicate pieces of answers"},
    {ports::Metric::StoreCalls, false, "bronzepass_store_calls_total", "verb",
     "Calls to the object API"},
    {ports::Metric::PeerBytesOut, false, "bronzepass_peer_bytes_out_total",
     "kind", "Bytes sent to other nodes"},
    {ports::Metric::PeerMessagesRejected, false,
     "bronzepass_peer_messages_rejected_total", "reason",
     "Messages of other nodes that were refused"},
    {ports::Metric::OrdersSent, false, "bronzepass_orders_sent_total", "kind",
     "Orders to engines"},
    {ports::Metric::ModelMoves, false, "bronzepass_model_moves_total", "kind",
     "Moves of models between engines"},
    {ports::Metric::GenerationInForce, true, "bronzepass_generation_in_force",
     "intent", "Generation of the configuration in force"},
}};

const MetricDescription &descriptionOf(ports::Metric Which) {
  for (const MetricDescription &Description : Descriptions)
    if (Description.m_Metric == Which)
      return Description;
  return Descriptions.front();
}

::prometheus::Labels labelsOf(const MetricDescription &Description,
                              const std::string &Value) {
  if (Value.empty())
    return {};
  return {{Description.m_Label, Value}};
}

} // namespace

class PrometheusMetrics::Impl {
public:
  ::prometheus::Counter &counter(ports::Metric Which,
                                 const std::string &Label) {
    const MetricDescription &Description = descriptionOf(Which);
    // The registry returns the existing family or series if there is one.
    return ::prometheus::BuildCounter()
        .Name(Description.m_Name)
        .Help(Description.m_Help)
        .Register(m_Registry)
        .Add(labelsOf(Description, Label));
  }

  ::prometheus::Gauge &gauge(ports::Metric Which, const std::string &Label) {
    const MetricDescription &Description = descriptionOf(Which);
    return ::prometheus::BuildGauge()
        .Name(Description.m_Name)
        .Help(Description.m_Help)
        .Register(m_Registry)
        .Add(labelsOf(Description, Label));
  }

  ::prometheus::Registry m_Registry;
};

PrometheusMetrics::PrometheusMetrics() : m_Impl(std::make_unique<Impl>()) {}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::add(ports::Metric Which, const std::string &Label,
                            double Amount) {
  if (descriptionOf(Which).m_IsGauge)
    m_Impl->gauge(Which, Label).Increment(Amount);
  else
    m_Impl->counter(Which, Label).Increment(Amount);
}

void PrometheusMetrics::set(ports::Metric Which, const std::string &Label,
                            double Value) {
  if (descriptionOf(Which).m_IsGauge)
    m_Impl->gauge(Which, Label).Set(Value);
}

std::string PrometheusMetrics::text() const {
  std::ostringstream Text;
  ::prometheus::TextSerializer().Serialize(Text, m_Impl->m_Registry.Collect());
  return Text.str();
}

} // namespace bronzepass::core::adapters::prometheus
