#ifndef BRONZEPASS_CORE_INTENTSTORE_INTENTSTORE_H
#define BRONZEPASS_CORE_INTENTSTORE_INTENTSTORE_H

#include "Core/IntentStore/StoreSession.h"
#include "Core/Model/IntentDocument.h"

#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::intent_store {

/// The generation that the object API holds now.
struct CurrentIntent {
  model::IntentHead m_Head;
  model::ObjectVersion m_Version;
  std::string m_Text;

  friend bool operator==(const CurrentIntent &,
                         const CurrentIntent &) = default;
};

enum class ReadStatus { Found, None, Unavailable, Damaged };

struct ReadOutcome {
  ReadStatus m_Status = ReadStatus::Unavailable;
  CurrentIntent m_Current;
  std::string m_Reason;
};

enum class ApplyStatus {
  Accepted,
  /// The text is in force already; nothing was written.
  Unchanged,
  /// Another change came first; nothing of this one was accepted.
  Conflict,
  /// Nothing was accepted.
  Unavailable,
  /// The write may have taken effect: read the intent before trying again.
  Unknown,
};

struct ApplyOutcome {
  ApplyStatus m_Status = ApplyStatus::Unavailable;
  model::Generation m_Generation;
  /// For Conflict: the changes since the base, newest first.
  std::vector<model::IntentRevision> m_ChangesSinceBase;
  std::string m_Reason;
};

struct ApplyRequest {
  std::string m_Text;
  /// The generation that the text was made from; the current one where unset.
  std::optional<model::Generation> m_Base;
  std::string m_Author;
  std::string m_Summary;
};

/// Reads and replaces the accepted intent. Parts are written first, under
/// their hashes; then one conditional update of the head accepts all of them.
/// A write whose answer was lost is settled by reading the head back.
class IntentStore {
public:
  explicit IntentStore(StoreSession &Session) : m_Session(Session) {}

  ReadOutcome read();
  ApplyOutcome apply(const ApplyRequest &Request);

private:
  ports::StoreAnswer readObject(const ports::ObjectKey &Key);
  ReadOutcome readHead();
  bool ensurePart(const model::IntentPart &Part);
  bool ensureParts(const std::vector<model::IntentPart> &Parts,
                   const model::IntentHead &OldHead);
  ApplyOutcome replaceHead(const ReadOutcome &Before,
                           const model::IntentHead &After);
  void removeUnusedParts(const model::IntentHead &Before,
                         const model::IntentHead &After);

  StoreSession &m_Session;
};

} // namespace bronzepass::core::intent_store

#endif // BRONZEPASS_CORE_INTENTSTORE_INTENTSTORE_H
