#include "Core/Adapters/Gateway/StoreClient.h"

#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

StoreClient::StoreClient(const model::Address &Address,
                         const gateway::Dialect &Dialect, ControlCalls &Calls,
                         GatewayLog &Log, StoreEraEvents &Events)
    : m_Address(Address), m_Dialect(Dialect), m_Calls(Calls), m_Log(Log),
      m_Events(Events) {}

void StoreClient::call(const gateway::HttpCall &Call, model::Duration Timeout,
                       bool MayBeStale, ControlCalls::CallDone OnDone) {
  m_Calls.call(m_Address, Call, Timeout, ControlCalls::ConnectionUse::Kept,
               [this, Era = m_Eras.onCall(MayBeStale),
                OnDone = std::move(OnDone)](const gateway::HttpResult &Result) {
                 OnDone(isUsable(Era, Result) ? Result : gateway::HttpResult());
               });
}

bool StoreClient::isUsable(const leases::CallEra &Call,
                           const gateway::HttpResult &Result) {
  if (Result.m_Status == 0)
    return true;
  const gateway::Decoded<model::StoreEra> Named =
      m_Dialect.readStoreEra(Result);
  const std::optional<model::StoreEra> Old = m_Eras.current();
  const leases::EraVerdict Verdict = m_Eras.onAnswer(Call, Named.m_Value);
  if (!Named.m_Findings.empty())
    warnOnce("era_unreadable", Named.m_Findings.front().m_Message);
  else if (!Named.m_Value && Old)
    warnOnce("era_missing", "the answer names no era");
  else if (Verdict == leases::EraVerdict::Fallen)
    warnOnce("era_fallen", "the answer names era " +
                               std::to_string(Named.m_Value->m_Value) +
                               " after " + std::to_string(Old->m_Value));
  else
    m_Warned = nullptr;
  if (m_Eras.current() != Old)
    m_Events.onStoreEraChanged(Old, *m_Eras.current());
  return Verdict == leases::EraVerdict::Current ||
         Verdict == leases::EraVerdict::Fallen;
}

bool StoreClient::learnEra(model::StoreEra Era) {
  const std::optional<model::StoreEra> Old = m_Eras.current();
  if (!m_Eras.onTold(Era))
    return false;
  if (Old != Era)
    m_Events.onStoreEraChanged(Old, Era);
  return true;
}

void StoreClient::warnOnce(const char *Problem, const std::string &Text) {
  if (m_Warned != Problem)
    m_Log.write("dependency", Problem,
                {{"dependency", "store"}, {"reason", Text}});
  m_Warned = Problem;
}

} // namespace bronzepass::core::adapters::gateway
