#ifndef BRONZEPASS_CORE_MODEL_ARTIFACT_H
#define BRONZEPASS_CORE_MODEL_ARTIFACT_H

#include "Core/Model/Id.h"

#include <compare>
#include <string>

namespace bronzepass::core::model {

/// What an engine loads, unloads and holds in memory: one version of a model
/// or, if m_Adapter is set, one adapter for that version.
struct ArtifactId {
  ModelId m_Model;
  std::string m_Version;
  AdapterId m_Adapter;

  bool isAdapter() const { return !m_Adapter.empty(); }
  /// The model version that must be loaded together with the adapter.
  ArtifactId base() const { return {m_Model, m_Version, AdapterId()}; }

  friend auto operator<=>(const ArtifactId &, const ArtifactId &) = default;
};

/// "model@version" or "model@version+adapter", as logs and engines name it.
inline std::string toString(const ArtifactId &Value) {
  std::string Text = Value.m_Model.str() + "@" + Value.m_Version;
  if (Value.isAdapter())
    Text += "+" + Value.m_Adapter.str();
  return Text;
}

} // namespace bronzepass::core::model

template <> struct std::hash<bronzepass::core::model::ArtifactId> {
  size_t operator()(const bronzepass::core::model::ArtifactId &Value) const {
    return std::hash<std::string>()(bronzepass::core::model::toString(Value));
  }
};

#endif // BRONZEPASS_CORE_MODEL_ARTIFACT_H
