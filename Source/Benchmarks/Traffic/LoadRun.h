#ifndef BRONZEPASS_BENCHMARKS_TRAFFIC_LOADRUN_H
#define BRONZEPASS_BENCHMARKS_TRAFFIC_LOADRUN_H

#include "Core/Model/Address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::benchmarks::traffic {

/// Load on one address: streamed chat completions at a constant rate.
struct LoadPlan {
  core::model::Address m_Address;
  std::string m_ModelName;
  uint32_t m_RequestsPerSecond = 0;
  uint32_t m_Requests = 0;
  uint32_t m_Tokens = 0;
};

struct LoadResult {
  /// From the start of a request to the first chunk of its answer.
  std::vector<std::chrono::microseconds> m_TimesToFirstChunk;
  /// From the start of a request to the end of its answer.
  std::vector<std::chrono::microseconds> m_TimesToEnd;
  uint32_t m_Broken = 0;
  /// Status, libcurl error and text of the first broken answer.
  std::string m_FirstError;
  /// Complete answers without the text of their own request.
  uint32_t m_Crossed = 0;
};

/// Runs the loads concurrently, so that all of them meet the same state of the
/// machine and the engine. Blocks until every request has ended.
std::vector<LoadResult> runLoads(const std::vector<LoadPlan> &Plans);

/// The value below which \p Percent in 100 of \p Values lie; zero for none.
std::chrono::microseconds
percentile(std::vector<std::chrono::microseconds> Values, double Percent);

} // namespace bronzepass::benchmarks::traffic

#endif // BRONZEPASS_BENCHMARKS_TRAFFIC_LOADRUN_H
