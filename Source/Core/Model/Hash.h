#ifndef BRONZEPASS_CORE_MODEL_HASH_H
#define BRONZEPASS_CORE_MODEL_HASH_H

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace bronzepass::core::model {

/// A hash that is the same on every node and in every release: rendezvous
/// hashing, claim shards and prefix blocks depend on that.
inline uint64_t stableHash(std::string_view Bytes, uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

/// Identifies a prompt prefix in one artifact's KV cache. Caches of other
/// versions and adapters hold different values for the same text, so the
/// artifact is part of the hash.
inline uint64_t cachedPrefixHash(uint64_t TextHash, std::string_view Artifact) {
  const std::string_view Bytes(reinterpret_cast<const char *>(&TextHash),
                               sizeof(TextHash));
  return stableHash(Bytes, stableHash(Artifact));
}

/// Weight of \p Member for \p Key in rendezvous hashing. The member with the
/// greatest weight owns the key, so a member that leaves moves only its own
/// keys.
inline uint64_t rendezvousWeight(std::string_view Key,
                                 std::string_view Member) {
  return stableHash(Member, stableHash(Key));
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_HASH_H
