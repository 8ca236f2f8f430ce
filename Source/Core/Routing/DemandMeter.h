#ifndef BRONZEPASS_CORE_ROUTING_DEMANDMETER_H
#define BRONZEPASS_CORE_ROUTING_DEMANDMETER_H

#include "Core/Model/Demand.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::routing {

/// Counts the demand for each artifact on this node: arrivals, waiting and
/// refused requests, answers in time and slot seconds. Plain services have no
/// artifact and are not counted.
class DemandMeter {
public:
  void onArrival(const model::ArtifactId &Artifact);
  void onQueued(const model::ArtifactId &Artifact);
  void onDequeued(const model::ArtifactId &Artifact);
  void onRefused(const model::ArtifactId &Artifact);
  void onAnswered(const model::ArtifactId &Artifact, bool InTime);
  void addSlotTime(const model::ArtifactId &Artifact, model::Duration Span);

  /// Returns the counts since the last call, sorted by artifact. The number of
  /// waiting requests carries over.
  std::vector<model::DemandSample> takeSamples();

private:
  model::DemandSample &sample(const model::ArtifactId &Artifact);

  // Takes the counts of plain services.
  model::DemandSample m_Ignored;
  std::map<model::ArtifactId, model::DemandSample> m_Samples;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_DEMANDMETER_H
