#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTENTRY_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTENTRY_H

#include "Core/Model/Address.h"
#include "Core/Model/Id.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// A model that an engine has loaded, with its loaded adapters.
struct LoadedModel {
  std::string m_Name;
  std::vector<std::string> m_Adapters;

  bool hasAdapter(const std::string &Adapter) const {
    return std::find(m_Adapters.begin(), m_Adapters.end(), Adapter) !=
           m_Adapters.end();
  }
  friend auto operator<=>(const LoadedModel &, const LoadedModel &) = default;
};

/// Null if none of \p Models has that name.
inline const LoadedModel *findModel(const std::vector<LoadedModel> &Models,
                                    const std::string &Name) {
  for (const LoadedModel &Each : Models)
    if (Each.m_Name == Name)
      return &Each;
  return nullptr;
}

/// The entry that an endpoint registers about itself in the store.
struct EndpointEntry {
  model::EndpointId m_Id;
  /// Unix time of the endpoint's start. A restarted endpoint keeps its id but
  /// none of its state. Zero if unknown.
  int64_t m_StartedAtMs = 0;
  std::string m_Service;
  model::Address m_Address;
  model::DomainId m_Domain;
  /// Of its software, in no order; empty if unknown. Streams of one version
  /// can't go on at another.
  std::string m_SoftwareVersion;
  uint32_t m_Slots = 1;
  /// The endpoint is shutting down: no new request may be sent to it.
  bool m_Draining = false;
  std::vector<LoadedModel> m_Models;
  /// Models whose weights it can load without the weight store.
  std::vector<std::string> m_LocalWeights;
  /// Incremented with each renewal of the entry.
  uint64_t m_Renewals = 0;

  const LoadedModel *model(const std::string &Name) const {
    return findModel(m_Models, Name);
  }
  friend auto operator<=>(const EndpointEntry &,
                          const EndpointEntry &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTENTRY_H
