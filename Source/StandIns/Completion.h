#ifndef BRONZEPASS_STANDINS_COMPLETION_H
#define BRONZEPASS_STANDINS_COMPLETION_H

#include "Core/Model/Artifact.h"
#include "StandIns/StandIn.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::stand_ins {

/// What a completion's body asks for.
struct CompletionSpec {
  std::string m_ModelName;
  bool m_Chat = true;
  bool m_Stream = false;
  uint32_t m_Tokens = 16;
  /// Part of each token of the answer, so that one that went to the wrong
  /// caller shows: the body's "user" member, else the end of the prompt.
  std::string m_Tag;
  std::string m_Id;
};

/// Nothing where \p Body is no such JSON.
std::optional<CompletionSpec> parseCompletion(const std::string &Body,
                                              bool Chat);

/// The answer is a function of the request alone, so that a stream can be gone
/// on with at any byte.
std::string tokenText(const CompletionSpec &Spec, uint32_t Index);
std::string streamEvent(const CompletionSpec &Spec, uint32_t Index);
std::string plainBody(const CompletionSpec &Spec);

/// One sequence that an engine steps.
struct Completion {
  CompletionSpec m_Spec;
  core::model::ArtifactId m_Artifact;
  std::shared_ptr<HttpResponseWriter> m_Answer;
  bool m_Batch = false;
  uint32_t m_Done = 0;
  /// Bytes of the stream that the caller has already.
  uint64_t m_Skip = 0;
  /// Breaks behind this many tokens.
  std::optional<uint32_t> m_BreakAt;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_COMPLETION_H
