#include "Core/Routing/DemandMeter.h"

#include "Core/Routing/Seconds.h"

namespace bronzepass::core::routing {

model::DemandSample &DemandMeter::sample(const model::ArtifactId &Artifact) {
  if (Artifact.m_Model.empty())
    return m_Ignored;
  model::DemandSample &Value = m_Samples[Artifact];
  Value.m_Artifact = Artifact;
  return Value;
}

void DemandMeter::onArrival(const model::ArtifactId &Artifact) {
  ++sample(Artifact).m_Arrivals;
}

void DemandMeter::onQueued(const model::ArtifactId &Artifact) {
  ++sample(Artifact).m_Waiting;
}

void DemandMeter::onDequeued(const model::ArtifactId &Artifact) {
  uint32_t &Waiting = sample(Artifact).m_Waiting;
  if (Waiting > 0)
    --Waiting;
}

void DemandMeter::onRefused(const model::ArtifactId &Artifact) {
  ++sample(Artifact).m_Refused;
}

void DemandMeter::onAnswered(const model::ArtifactId &Artifact, bool InTime) {
  if (InTime)
    ++sample(Artifact).m_InTime;
}

void DemandMeter::addSlotTime(const model::ArtifactId &Artifact,
                              model::Duration Span) {
  sample(Artifact).m_SlotSeconds += toSeconds(Span);
}

std::vector<model::DemandSample> DemandMeter::takeSamples() {
  std::vector<model::DemandSample> Taken;
  for (auto It = m_Samples.begin(); It != m_Samples.end();) {
    model::DemandSample &Value = It->second;
    Taken.push_back(Value);
    uint32_t Waiting = Value.m_Waiting;
    if (Waiting == 0) {
      It = m_Samples.erase(It);
      continue;
    }
    Value = model::DemandSample();
    Value.m_Artifact = It->first;
    Value.m_Waiting = Waiting;
    ++It;
  }
  return Taken;
}

} // namespace bronzepass::core::routing
