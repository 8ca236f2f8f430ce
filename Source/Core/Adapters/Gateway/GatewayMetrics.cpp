#include "Core/Adapters/Gateway/GatewayMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bronzepass::core::adapters::gateway {

namespace prom = ::prometheus;

namespace {

/// Seconds: from a plain call's time to the longest time-outs of routes.
const prom::Histogram::BucketBoundaries Buckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

bool isEnd(const std::string &Action) {
  return Action == "answer" || Action == "refuse" || Action == "cut" ||
         Action == "gone";
}

} // namespace

class GatewayMetrics::Impl {
public:
  Impl()
      : m_Ends(prom::BuildCounter()
                   .Name("bronzepass_requests_total")
                   .Help("Requests by kind of route, end and status")
                   .Register(m_Registry)),
        m_Sends(prom::BuildCounter()
                    .Name("bronzepass_sends_total")
                    .Help("Sends to endpoints by kind of route; retries apart")
                    .Register(m_Registry)),
        m_Times(prom::BuildHistogram()
                    .Name("bronzepass_request_duration_seconds")
                    .Help("From a request's first byte to its end")
                    .Register(m_Registry)),
        m_Gauges(prom::BuildGauge()
                     .Name("bronzepass_node")
                     .Help("What the node holds now")
                     .Register(m_Registry)) {}

  prom::Registry m_Registry;
  prom::Family<prom::Counter> &m_Ends;
  prom::Family<prom::Counter> &m_Sends;
  prom::Family<prom::Histogram> &m_Times;
  prom::Family<prom::Gauge> &m_Gauges;
};

GatewayMetrics::GatewayMetrics() : m_Impl(std::make_unique<Impl>()) {}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::count(const core::gateway::RelayLogEntry &Note) {
  if (Note.m_Action == "send" || Note.m_Action == "retry") {
    m_Impl->m_Sends.Add({{"kind", Note.m_Kind}, {"try", Note.m_Action}})
        .Increment();
    return;
  }
  if (!isEnd(Note.m_Action))
    return;
  m_Impl->m_Ends
      .Add({{"kind", Note.m_Kind},
            {"end", Note.m_Action},
            {"status", std::to_string(Note.m_Status)}})
      .Increment();
  m_Impl->m_Times.Add({{"kind", Note.m_Kind}, {"end", Note.m_Action}}, Buckets)
      .Observe(std::chrono::duration<double>(Note.m_Elapsed).count());
}

void GatewayMetrics::setLive(size_t Requests, size_t Connections) {
  m_Impl->m_Gauges.Add({{"what", "requests_live"}})
      .Set(static_cast<double>(Requests));
  m_Impl->m_Gauges.Add({{"what", "callers_connections"}})
      .Set(static_cast<double>(Connections));
}

void GatewayMetrics::setConfigVersion(uint64_t Version) {
  m_Impl->m_Gauges.Add({{"what", "config_version"}})
      .Set(static_cast<double>(Version));
}

void GatewayMetrics::setLinesDropped(uint64_t Lines) {
  m_Impl->m_Gauges.Add({{"what", "log_lines_dropped"}})
      .Set(static_cast<double>(Lines));
}

std::string GatewayMetrics::text() const {
  return prom::TextSerializer().Serialize(m_Impl->m_Registry.Collect());
}

} // namespace bronzepass::core::adapters::gateway
