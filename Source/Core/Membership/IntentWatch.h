#ifndef BRONZEPASS_CORE_MEMBERSHIP_INTENTWATCH_H
#define BRONZEPASS_CORE_MEMBERSHIP_INTENTWATCH_H

#include "Core/Membership/Backoff.h"
#include "Core/Model/IntentDocument.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

#include <functional>
#include <optional>

namespace bronzepass::core::membership {

/// Assigns an id to a call to the object API, sends it and returns the id.
using StoreSubmitter = std::function<model::CallId(ports::StoreCall)>;

/// Reads the intent's head from the object API: once at start, and with a
/// long-poll watch while this node watches for its failure domain. At most one
/// call is outstanding at a time.
class IntentWatch {
public:
  IntentWatch(StoreSubmitter Submit, ports::Random &Random);

  void setWatching(bool Watching) { m_Watching = Watching; }
  /// Reads the head again, e.g. because a part that it names is missing.
  void requestRead() { m_NeedsList = true; }
  void tick(model::TimePoint Now);

  /// Result of handling an answer.
  struct Outcome {
    /// This object made the call that was answered.
    bool m_IsOwnCall = false;
    std::optional<model::IntentHead> m_Head;
  };
  Outcome onStoreAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

  /// Whether a read has succeeded since this process started.
  bool hasRead() const { return m_HasRead; }

private:
  void submit(ports::StoreVerb Verb, model::TimePoint Now);
  void scheduleRetry(model::TimePoint Now);

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
  model::TimePoint m_AnswerDeadline;
  model::TimePoint m_NextAt;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_INTENTWATCH_H
