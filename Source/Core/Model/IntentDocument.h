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

/// One earlier generation, for conflicts and `get --history`.
struct IntentRevision {
  Generation m_Generation;
  std::string m_Author;
  std::string m_Summary;
  /// stableHash of the whole text: a writer finds its own change by it.
  uint64_t m_TextHash = 0;

  friend auto operator<=>(const IntentRevision &,
                          const IntentRevision &) = default;
};

/// Names the parts that make up one generation. Replacing the head by a
/// conditional update accepts the generation, whole or not at all.
struct IntentHead {
  Generation m_Generation;
  std::vector<uint64_t> m_PartHashes;
  /// Who applied it, for conflicts and `get`.
  std::string m_Author;
  /// One line that says what changed.
  std::string m_Summary;
  /// stableHash of the whole text.
  uint64_t m_TextHash = 0;
  /// The generations before it, newest first; bounded by its writer.
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
