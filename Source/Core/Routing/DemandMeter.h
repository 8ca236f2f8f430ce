#ifndef BRONZEPASS_CORE_ROUTING_DEMANDMETER_H
#define BRONZEPASS_CORE_ROUTING_DEMANDMETER_H

#include "Core/Model/Demand.h"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::routing {

/// Counts what callers asked of each artifact through this node. Plain services
/// have no artifact and are not counted.
class DemandMeter {
public:
  void arrived(const model::ArtifactId &Artifact);
  void waits(const model::ArtifactId &Artifact);
  void waitsNoMore(const model::ArtifactId &Artifact);
  void refused(const model::ArtifactId &Artifact);
  void answered(const model::ArtifactId &Artifact, bool InTime);
  void usedSlot(const model::ArtifactId &Artifact, model::Duration Span);

  /// Counts since the last call, sorted by artifact.
  std::vector<model::DemandSample> take();

private:
  model::DemandSample &sample(const model::ArtifactId &Artifact);

  model::DemandSample m_Ignored;
  std::map<model::ArtifactId, model::DemandSample> m_Samples;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_DEMANDMETER_H
