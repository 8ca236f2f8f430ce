#ifndef BRONZEPASS_CORE_MODEL_ADDRESS_H
#define BRONZEPASS_CORE_MODEL_ADDRESS_H

#include <compare>
#include <cstdint>
#include <string>

namespace bronzepass::core::model {

/// An IP address and a port. Host names are never resolved.
struct Address {
  std::string m_Ip;
  uint16_t m_Port = 0;

  friend auto operator<=>(const Address &, const Address &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_ADDRESS_H
