#ifndef BRONZEPASS_CORE_INTENTSTORE_INTENTSTORE_H
#define BRONZEPASS_CORE_INTENTSTORE_INTENTSTORE_H

#include "Core/IntentStore/StoreSession.h"
#include "Core/Model/IntentDocument.h"

#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::intent_store {

/// The accepted generation, as read from the object API.
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
  /// The text is already the accepted one; nothing was written.
  Unchanged,
  /// Another change was accepted first; nothing of this one was.
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
  /// The generation that the text is based on; the current one if unset.
  std::optional<model::Generation> m_Base;
  std::string m_Author;
  std::string m_Summary;
};

/// Reads and replaces the accepted intent. Parts are written first, under their
/// hashes; then one conditional update of the head makes them the accepted
/// generation. If the answer to a write is lost, reading the head shows whether
/// it took effect.
class IntentStore {
public:
  explicit IntentStore(StoreSession &Session) : m_Session(Session) {}

  ReadOutcome read();
  ApplyOutcome apply(const ApplyRequest &Request);

private:
  ports::StoreAnswer readObject(const ports::ObjectKey &Key);
  ReadOutcome readHead();
  /// Writes \p Part, also if it exists; returns whether it is stored.
  bool ensurePart(const model::IntentPart &Part);
  bool ensureParts(const std::vector<model::IntentPart> &Parts,
                   const model::IntentHead &OldHead);
  ApplyOutcome replaceHead(const ReadOutcome &Before,
                           const model::IntentHead &After);
  /// Deletes the parts of \p Before that neither \p After nor the current head
  /// uses.
  void removeUnusedParts(const model::IntentHead &Before,
                         const model::IntentHead &After);

  StoreSession &m_Session;
};

} // namespace bronzepass::core::intent_store

#endif // BRONZEPASS_CORE_INTENTSTORE_INTENTSTORE_H
