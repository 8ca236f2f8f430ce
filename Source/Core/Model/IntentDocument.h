#ifndef BRONZEPASS_CORE_MODEL_INTENTDOCUMENT_H
#define BRONZEPASS_CORE_MODEL_INTENTDOCUMENT_H

#include "Core/Model/Id.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::model {

/// A piece of an intent's YAML text, named by the hash of its bytes: it is
/// immutable, and writing it twice changes nothing.
struct IntentPart {
  uint64_t m_Hash = 0;
  std::string m_Text;

  friend auto operator<=>(const IntentPart &, const IntentPart &) = default;
};

/// An earlier generation, reported on conflicts and by `get --history`.
struct IntentRevision {
  Generation m_Generation;
  std::string m_Author;
  std::string m_Summary;
  /// stableHash of the whole text, by which a writer recognises its own change.
  uint64_t m_TextHash = 0;

  friend auto operator<=>(const IntentRevision &,
                          const IntentRevision &) = default;
};

/// Lists the parts that make up one generation. Replacing the head by a
/// conditional update accepts the generation atomically.
struct IntentHead {
  Generation m_Generation;
  std::vector<uint64_t> m_PartHashes;
  /// Who applied it; reported on conflicts and by `get`.
  std::string m_Author;
  /// One line that says what changed.
  std::string m_Summary;
  /// stableHash of the whole text.
  uint64_t m_TextHash = 0;
  /// The generations before it, newest first; the writer limits their number.
  std::vector<IntentRevision> m_Earlier;

  friend auto operator<=>(const IntentHead &, const IntentHead &) = default;
};

/// An intent's text, head and parts together.
struct IntentDocument {
  IntentHead m_Head;
  std::vector<IntentPart> m_Parts;

  friend auto operator<=>(const IntentDocument &,
                          const IntentDocument &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_INTENTDOCUMENT_H
