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
/// nullopt if \p Text or \p Path is not that of an order.
std::optional<model::EngineOrder> orderFromJson(const std::string &Text,
                                                const std::string &Path);

/// An engine's report and the changes of its prompt cache.
struct ReportReadResult {
  model::EngineReport m_Report;
  routing::CacheChanged m_Cache;
};

nlohmann::ordered_json reportToJson(const model::EngineReport &Report,
                                    const routing::CacheChanged &Cache);
/// nullopt if \p Text is not a report. The receiver sets m_MadeAt.
std::optional<ReportReadResult> reportFromJson(const std::string &Text);

} // namespace bronzepass::core::adapters::json

#endif // BRONZEPASS_CORE_ADAPTERS_JSON_CONTROLJSON_H
