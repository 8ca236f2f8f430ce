#ifndef BRONZEPASS_CORE_GATEWAY_STREAMNOTICE_H
#define BRONZEPASS_CORE_GATEWAY_STREAMNOTICE_H

#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// Hash of the caller's id of the attempt that began a stream.
using StreamKey = uint64_t;

/// A stream began at an engine of a software version.
struct StreamOrigin {
  StreamKey m_Stream = 0;
  std::string m_SoftwareVersion;

  friend auto operator<=>(const StreamOrigin &, const StreamOrigin &) = default;
};

/// Streams of the service may have begun at several software versions.
struct MixedService {
  std::string m_Service;
  /// Until the last stream that began at another version has ended.
  model::Duration m_Remaining{0};

  friend auto operator<=>(const MixedService &, const MixedService &) = default;
};

/// What a node tells its peers about the software versions of streams, and what
/// is recorded in the store for nodes that start.
struct StreamNotice {
  std::vector<StreamOrigin> m_Origins;
  std::vector<MixedService> m_MixedServices;

  bool isEmpty() const { return m_Origins.empty() && m_MixedServices.empty(); }
  friend auto operator<=>(const StreamNotice &, const StreamNotice &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STREAMNOTICE_H
