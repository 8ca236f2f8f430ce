#ifndef BRONZEPASS_STANDINS_COMPLETION_H
#define BRONZEPASS_STANDINS_COMPLETION_H

#include "Core/Model/Artifact.h"
#include "StandIns/StandIn.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::stand_ins {

/// The fields of a completion request's body.
struct CompletionSpec {
  std::string m_ModelName;
  bool m_Chat = true;
  bool m_Stream = false;
  uint32_t m_Tokens = 16;
  /// Included in each token of the answer, so that tests detect an answer that
  /// reached the wrong caller: the body's "user" member, or else the end of
  /// the prompt.
  std::string m_Tag;
  std::string m_Id;
};

/// Returns nullopt if \p Body isn't a JSON object with a model name.
std::optional<CompletionSpec> parseCompletion(const std::string &Body,
                                              bool Chat);

/// The answer depends only on the request, so that a stream can be resumed at
/// any byte.
std::string tokenText(const CompletionSpec &Spec, uint32_t Index);
std::string streamEvent(const CompletionSpec &Spec, uint32_t Index);
std::string nonStreamingBody(const CompletionSpec &Spec);

/// One completion that waits or runs on an engine.
struct Completion {
  CompletionSpec m_Spec;
  core::model::ArtifactId m_Artifact;
  std::shared_ptr<HttpResponseWriter> m_Answer;
  /// The number of the attempt that its request names; may be empty.
  std::string m_Attempt;
  bool m_Batch = false;
  uint32_t m_GeneratedTokens = 0;
  /// Bytes of the stream that the caller already has; they aren't sent again.
  uint64_t m_BytesToSkip = 0;
  /// The connection breaks after this many tokens; UINT32_MAX means that the
  /// completion stalls and generates nothing.
  std::optional<uint32_t> m_BreakAfterTokens;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_COMPLETION_H
