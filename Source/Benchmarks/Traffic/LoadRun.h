#ifndef BRONZEPASS_BENCHMARKS_TRAFFIC_LOADRUN_H
#define BRONZEPASS_BENCHMARKS_TRAFFIC_LOADRUN_H

#include "Core/Model/Address.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::benchmarks::traffic {

/// One load on one address: streamed chat completions at an even rate.
struct LoadPlan {
  core::model::Address m_Address;
  std::string m_ModelName;
  uint32_t m_RequestsPerSecond = 0;
  uint32_t m_Requests = 0;
  uint32_t m_Tokens = 0;
};

struct LoadResult {
  /// From a request's start to its answer's first piece.
  std::vector<std::chrono::microseconds> m_FirstPiece;
  /// To the answer's end.
  std::vector<std::chrono::microseconds> m_Whole;
  uint32_t m_Broken = 0;
  /// Of the first broken one: its status and text, or libcurl's error.
  std::string m_FirstBreak;
  /// Answers that carry another request's text.
  uint32_t m_Crossed = 0;
};

/// Runs two loads side by side, a request of each in turn, so that both meet
/// the same state of machine and engine. Blocks until all have ended.
std::vector<LoadResult> runLoads(const std::vector<LoadPlan> &Plans);

/// The value below which \p Percent in 100 of \p Values lie; zero for none.
std::chrono::microseconds
percentile(std::vector<std::chrono::microseconds> Values, double Percent);

} // namespace bronzepass::benchmarks::traffic

#endif // BRONZEPASS_BENCHMARKS_TRAFFIC_LOADRUN_H
