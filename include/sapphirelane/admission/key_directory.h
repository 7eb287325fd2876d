#ifndef SAPPHIRELANE_ADMISSION_KEY_DIRECTORY_H
#define SAPPHIRELANE_ADMISSION_KEY_DIRECTORY_H

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief Finds the account of a presented key.
///
/// The table is indexed by digest, so that a look-up compares digests of
/// secrets and never the secrets. The digest found is compared once more in
/// constant time.
class KeyDirectory
{
public:
  /// @brief Takes over the keys of a configuration.
  void Load(const FleetConfig& aConfig);

  /// @brief Sets the digests that are withdrawn ahead of the configuration.
  void SetWithdrawn(std::set<std::string> aDigests);

  /// @brief Finds the key of a digest.
  /// @return The key, or nothing if it is unknown or withdrawn.
  std::optional<Key> Find(const std::string& aDigest) const;

private:
  absl::flat_hash_map<std::string, Key> m_byDigest;
  std::set<std::string> m_withdrawn;
};

/// @brief Tells whether text holds something of the shape of a key.
///
/// Percent-encoded characters are decoded first.
bool
HoldsKey(std::string_view aText);

/// @brief Makes a new key for a caller: a prefix and a random secret.
std::string
MakeKey();

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_KEY_DIRECTORY_H
