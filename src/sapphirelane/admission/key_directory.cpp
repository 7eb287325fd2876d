#include "sapphirelane/admission/key_directory.h"

#include <utility>

#include "sapphirelane/base/secret.h"

namespace sapphirelane {

namespace {

constexpr std::string_view kKeyPrefix = "slk_";
constexpr std::size_t kSecretLength = 43;

bool
IsSecretCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '-' || aCharacter == '_';
}

int
HexValue(char aCharacter)
{
  if (std::isxdigit(static_cast<unsigned char>(aCharacter)) == 0) {
    return -1;
  }
  return std::stoi(std::string(1, aCharacter), nullptr, 16);
}

std::string
DecodePercent(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isEscape = aText[i] == '%' && i + 2 < aText.size() &&
                          HexValue(aText[i + 1]) >= 0 &&
                          HexValue(aText[i + 2]) >= 0;
    if (!isEscape) {
      decoded += aText[i];
      continue;
    }
    constexpr int kHexBase = 16;
    decoded += static_cast<char>(HexValue(aText[i + 1]) * kHexBase +
                                 HexValue(aText[i + 2]));
    i += 2;
  }
  return decoded;
}

} // namespace

void
KeyDirectory::Load(const FleetConfig& aConfig)
{
  m_byDigest.clear();
  for (const auto& entry : aConfig.keys) {
    m_byDigest[entry.second.digest] = entry.second;
  }
}

void
KeyDirectory::SetWithdrawn(std::set<std::string> aDigests)
{
  m_revoked = std::move(aDigests);
}

std::optional<Key>
KeyDirectory::Find(const std::string& aDigest) const
{
  auto found = m_byDigest.find(aDigest);
  if (found == m_byDigest.end()) {
    return std::nullopt;
  }
  const Key& key = found->second;
  if (!EqualSecrets(key.digest, aDigest) || m_revoked.count(key.digest) == 1) {
    return std::nullopt;
  }
  return key;
}

bool
HoldsKey(std::string_view aText)
{
  const std::string text = DecodePercent(aText);
  std::size_t start = text.find(kKeyPrefix);
  while (start != std::string::npos) {
    std::size_t end = start + kKeyPrefix.size();
    while (end < text.size() && IsSecretCharacter(text[end])) {
      ++end;
    }
    if (end - start >= kKeyPrefix.size() + kSecretLength) {
      return true;
    }
    start = text.find(kKeyPrefix, start + 1);
  }
  return false;
}

std::string
MakeKey()
{
  return std::string(kKeyPrefix) + MakeSecret();
}

} // namespace sapphirelane
