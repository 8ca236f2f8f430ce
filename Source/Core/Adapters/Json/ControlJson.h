#ifndef BRONZEPASS_CORE_ADAPTERS_JSON_CONTROLJSON_H
#define BRONZEPASS_CORE_ADAPTERS_JSON_CONTROLJSON_H

#include "Core/Model/Order.h"
#include "Core/Model/Residency.h"
#include "Core/Routing/TrafficEvent.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::json {

/// "/control/load", "/control/unload" or "/control/role".
const char *orderPath(model::OrderKind Kind);
std::string orderToJson(const model::EngineOrder &Order);
/// Nothing where \p Text or \p Path is no order.
std::optional<model::EngineOrder> orderFromJson(const std::string &Text,
                                                const std::string &Path);

/// An engine's report with the changes of its prompt cache.
struct ReportReadResult {
  model::EngineReport m_Report;
  routing::CacheChanged m_Cache;
};

nlohmann::ordered_json reportToJson(const model::EngineReport &Report,
                                    const routing::CacheChanged &Cache);
/// Nothing where \p Text is no report. The receiver sets m_MadeAt.
std::optional<ReportReadResult> reportFromJson(const std::string &Text);

} // namespace bronzepass::core::adapters::json

#endif // BRONZEPASS_CORE_ADAPTERS_JSON_CONTROLJSON_H
