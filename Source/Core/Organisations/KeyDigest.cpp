#include "Core/Organisations/KeyDigest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace bronzepass::core::organisations {

static_assert(KeyDigest::Size == SHA256_DIGEST_LENGTH);

KeyDigest digestOf(std::string_view Key) {
  KeyDigest Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.m_Bytes.data());
  return Digest;
}

bool isSameDigest(const KeyDigest &Left, const KeyDigest &Right) {
  return CRYPTO_memcmp(Left.m_Bytes.data(), Right.m_Bytes.data(),
                       KeyDigest::Size) == 0;
}

} // namespace bronzepass::core::organisations
