#ifndef BRONZEPASS_CORE_MEMBERSHIP_INTENTWATCH_H
#define BRONZEPASS_CORE_MEMBERSHIP_INTENTWATCH_H

#include "Core/Membership/Backoff.h"
#include "Core/Model/IntentDocument.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

#include <functional>
#include <optional>

namespace bronzepass::core::membership {

/// Gives a call to the object API its id and sends it on its way.
using StoreSubmitter = std::function<model::CallId(ports::StoreCall)>;

/// Reads the intent's head from the object API: once at start, and with a
/// waiting watch for as long as this node watches for its failure domain. At
/// most one call is out at any time.
class IntentWatch {
public:
  IntentWatch(StoreSubmitter Submit, ports::Random &Random);

  void setWatching(bool Watching) { m_Watching = Watching; }
  /// Reads the head once more, e.g. since a part that it names is missing.
  void readAgain() { m_NeedsList = true; }
  void tick(model::TimePoint Now);

  /// What an answer to this object's call says.
  struct Outcome {
    bool m_WasOwn = false;
    std::optional<model::IntentHead> m_Head;
  };
  Outcome onStoreAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

  /// Whether the object API has answered a read since this process started.
  bool hasRead() const { return m_HasRead; }

private:
  void submit(ports::StoreVerb Verb, model::TimePoint Now);
  void fail(model::TimePoint Now);

  StoreSubmitter m_Submit;
  ports::Random &m_Random;
  Backoff m_Backoff;
  bool m_Watching = false;
  bool m_NeedsList = true;
  bool m_HasRead = false;
  ports::StoreVerb m_Verb = ports::StoreVerb::List;
  model::ObjectVersion m_Version;
  model::CallId m_Call;
  model::TimePoint m_SentAt;
  model::TimePoint m_LostAt;
  model::TimePoint m_NextAt;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_INTENTWATCH_H
