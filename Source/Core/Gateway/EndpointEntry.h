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

/// A model that an engine holds, with the adapters on it.
struct HeldModel {
  std::string m_Name;
  std::vector<std::string> m_Adapters;

  bool hasAdapter(const std::string &Adapter) const {
    return std::find(m_Adapters.begin(), m_Adapters.end(), Adapter) !=
           m_Adapters.end();
  }
  friend auto operator<=>(const HeldModel &, const HeldModel &) = default;
};

/// Null where none of \p Models has that name.
inline const HeldModel *findModel(const std::vector<HeldModel> &Models,
                                  const std::string &Name) {
  for (const HeldModel &Each : Models)
    if (Each.m_Name == Name)
      return &Each;
  return nullptr;
}

/// What an endpoint says of itself where endpoints register.
struct EndpointEntry {
  model::EndpointId m_Id;
  /// Unix time of its start in milliseconds; an endpoint that starts again
  /// under its id knows nothing of before. Zero where it was not told.
  int64_t m_BornMs = 0;
  std::string m_Service;
  model::Address m_Address;
  model::DomainId m_Domain;
  uint32_t m_Slots = 1;
  /// It is leaving: nothing new may be sent to it.
  bool m_Draining = false;
  std::vector<HeldModel> m_Models;
  /// Weights that it can load without the weight store.
  std::vector<std::string> m_LocalWeights;
  /// Rises with each renewal of the entry.
  uint64_t m_Renewals = 0;

  const HeldModel *model(const std::string &Name) const {
    return findModel(m_Models, Name);
  }
  friend auto operator<=>(const EndpointEntry &,
                          const EndpointEntry &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTENTRY_H
