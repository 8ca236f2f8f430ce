#ifndef BRONZEPASS_CORE_MODEL_HASH_H
#define BRONZEPASS_CORE_MODEL_HASH_H

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace bronzepass::core::model {

/// The same on every node and release: rendezvous hashing, claim shards and
/// prefix blocks depend on it.
inline uint64_t stableHash(std::string_view Bytes, uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

/// The name of one artifact's cached prompt prefix: caches of other versions
/// and adapters hold other numbers for the same text.
inline uint64_t cachedPrefixHash(uint64_t TextHash, std::string_view Artifact) {
  const std::string_view Bytes(reinterpret_cast<const char *>(&TextHash),
                               sizeof(TextHash));
  return stableHash(Bytes, stableHash(Artifact));
}

/// Weight of \p Member for \p Duty in rendezvous hashing: the member with the
/// greatest weight holds the duty, so that one that leaves moves only its own.
inline uint64_t rendezvousWeight(std::string_view Duty,
                                 std::string_view Member) {
  return stableHash(Member, stableHash(Duty));
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_HASH_H
