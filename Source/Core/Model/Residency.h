#ifndef BRONZEPASS_CORE_MODEL_RESIDENCY_H
#define BRONZEPASS_CORE_MODEL_RESIDENCY_H

#include "Core/Model/Address.h"
#include "Core/Model/Artifact.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace bronzepass::core::model {

enum class CopyState { Loading, Serving, Draining, Unloading };

/// One artifact on one engine, as the engine reports it.
struct CopyReport {
  ArtifactId m_Artifact;
  CopyState m_State = CopyState::Loading;
  uint64_t m_MemoryBytes = 0;

  friend auto operator<=>(const CopyReport &, const CopyReport &) = default;
};

/// An engine's report on its own state. Reports arrive late and may be lost.
struct EngineReport {
  EndpointId m_Endpoint;
  /// Rises with every report of one engine process.
  uint64_t m_Sequence = 0;
  /// When the engine made it, by the clock of the node that asked.
  TimePoint m_MadeAt;
  std::vector<CopyReport> m_Copies;
  uint64_t m_MemoryBytes = 0;
  /// Weights and exported KV cache held now.
  uint64_t m_UsedBytes = 0;
  uint32_t m_Running = 0;
  uint32_t m_Waiting = 0;
  /// Highest fencing token of the orders it has accepted.
  FencingToken m_HighestToken;

  friend auto operator<=>(const EngineReport &, const EngineReport &) = default;
};

/// One artifact on one engine as routing sees it.
struct Copy {
  ArtifactId m_Artifact;
  EndpointId m_Endpoint;
  CopyState m_State = CopyState::Loading;

  friend auto operator<=>(const Copy &, const Copy &) = default;
};

enum class Liveness { Live, Suspect, Leaving, Gone };

enum class VmKind { Entry, Endpoint };

/// One entry of the platform's list of VMs, which lags behind. The ports are
/// set for the system's own entry VMs.
struct VmState {
  VmId m_Vm;
  VmKind m_Kind = VmKind::Endpoint;
  Liveness m_Liveness = Liveness::Live;
  DomainId m_Domain;
  RegionId m_Region;
  Address m_PeerAddress;
  Address m_CallerAddress;

  friend auto operator<=>(const VmState &, const VmState &) = default;
};

/// An endpoint's liveness, by which routing and placement treat it.
struct EndpointState {
  EndpointId m_Endpoint;
  Liveness m_Liveness = Liveness::Live;
  /// Raised by every node that sees a change. Of two statements the one with
  /// the higher version wins, then the worse liveness.
  uint64_t m_Version = 0;

  friend auto operator<=>(const EndpointState &,
                          const EndpointState &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_RESIDENCY_H
