#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_STORECLIENT_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_STORECLIENT_H

#include "Core/Adapters/Gateway/ControlCalls.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Leases/StoreEraTracker.h"
#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <optional>

namespace bronzepass::core::adapters::gateway {

/// Is told when the store's era changes, before the answer that names it is
/// passed on.
class StoreEraEvents {
public:
  virtual ~StoreEraEvents() = default;
  /// \p Old is nullopt for the first era that this node learns of; otherwise
  /// the store has been restored from a backup.
  virtual void onStoreEraChanged(std::optional<model::StoreEra> Old,
                                 model::StoreEra New) = 0;
};

/// The one way to the platform's store. Checks the era that each answer names:
/// an answer that does not reflect the store's present state is passed on as no
/// answer.
class StoreClient {
public:
  /// All arguments except \p Address must outlive this object.
  StoreClient(const model::Address &Address,
              const core::gateway::Dialect &Dialect, ControlCalls &Calls,
              GatewayLog &Log, StoreEraEvents &Events);

  /// Calls \p OnDone once, like ControlCalls::call(). \p MayBeStale: the call
  /// accepts data that is some seconds old.
  void call(const core::gateway::HttpCall &Call, model::Duration Timeout,
            bool MayBeStale, ControlCalls::CallDone OnDone);
  std::optional<model::StoreEra> era() const { return m_Eras.current(); }
  /// Another node was told \p Era by the store. False if this one knows a later
  /// one.
  bool learnEra(model::StoreEra Era);

private:
  bool isUsable(const leases::CallEra &Call,
                const core::gateway::HttpResult &Result);
  void warnOnce(const char *Problem, const std::string &Text);

  const model::Address m_Address;
  const core::gateway::Dialect &m_Dialect;
  ControlCalls &m_Calls;
  GatewayLog &m_Log;
  StoreEraEvents &m_Events;
  leases::StoreEraTracker m_Eras;
  /// The last problem that was logged; cleared by an answer without one.
  const char *m_Warned = nullptr;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_STORECLIENT_H
