#ifndef BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPISETTINGS_H
#define BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPISETTINGS_H

#include "Core/Model/Address.h"

#include <chrono>
#include <compare>
#include <string>

namespace bronzepass::core::adapters::object_api {

/// Address and namespace of a deployment's objects.
struct ObjectApiSettings {
  model::Address m_Address;
  std::string m_Namespace = "default";
  std::chrono::milliseconds m_ConnectTimeout = std::chrono::milliseconds(500);

  friend bool operator==(const ObjectApiSettings &,
                         const ObjectApiSettings &) = default;
};

} // namespace bronzepass::core::adapters::object_api

#endif // BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPISETTINGS_H
