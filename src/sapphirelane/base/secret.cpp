#include "sapphirelane/base/secret.h"

#include <array>

#include <sodium.h>

#include "sapphirelane/base/error.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kDigestBytes = 32;

} // namespace

void
StartSecrets()
{
  if (sodium_init() < 0) {
    throw Error("libsodium cannot start");
  }
}

std::string
MakeSecret()
{
  std::array<unsigned char, kSecretBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  constexpr int kVariant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
  std::string text(sodium_base64_ENCODED_LEN(kSecretBytes, kVariant), '\0');
  sodium_bin2base64(
    text.data(), text.size(), bytes.data(), bytes.size(), kVariant);
  text.pop_back();
  return text;
}

std::string
DigestOf(std::string_view aSecret)
{
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash(digest.data(),
                     digest.size(),
                     reinterpret_cast<const unsigned char*>(aSecret.data()),
                     aSecret.size(),
                     nullptr,
                     0);
  std::string text(2 * kDigestBytes + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
  text.pop_back();
  return text;
}

bool
EqualSecrets(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  return sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t
RandomBits()
{
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof bits);
  return bits;
}

} // namespace sapphirelane
