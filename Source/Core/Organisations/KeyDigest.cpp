#include "Core/Organisations/KeyDigest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace bronzepass::core::organisations {

namespace {

constexpr std::string_view Digits = "0123456789abcdef";
constexpr size_t HexBase = 16;

} // namespace

static_assert(KeyDigest::Size == SHA256_DIGEST_LENGTH);

KeyDigest digestOf(std::string_view Key) {
  KeyDigest Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.m_Bytes.data());
  return Digest;
}

std::string toHexadecimal(const KeyDigest &Digest) {
  std::string Text;
  Text.reserve(2 * KeyDigest::Size);
  for (const uint8_t Byte : Digest.m_Bytes) {
    Text += Digits[Byte / HexBase];
    Text += Digits[Byte % HexBase];
  }
  return Text;
}

std::optional<KeyDigest> fromHexadecimal(std::string_view Text) {
  if (Text.size() != 2 * KeyDigest::Size)
    return std::nullopt;
  KeyDigest Digest;
  for (size_t I = 0; I < KeyDigest::Size; ++I) {
    const size_t High = Digits.find(Text[2 * I]);
    const size_t Low = Digits.find(Text[2 * I + 1]);
    if (High == std::string_view::npos || Low == std::string_view::npos)
      return std::nullopt;
    Digest.m_Bytes.at(I) = static_cast<uint8_t>(High * HexBase + Low);
  }
  return Digest;
}

bool isSameDigest(const KeyDigest &Left, const KeyDigest &Right) {
  return CRYPTO_memcmp(Left.m_Bytes.data(), Right.m_Bytes.data(),
                       KeyDigest::Size) == 0;
}

} // namespace bronzepass::core::organisations
