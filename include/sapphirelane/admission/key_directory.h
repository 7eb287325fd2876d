#ifndef SAPPHIRELANE_ADMISSION_KEY_DIRECTORY_H
#define SAPPHIRELANE_ADMISSION_KEY_DIRECTORY_H

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief Authenticates callers: finds the key that a caller presents.
///
/// Indexed by digest, so that a look-up compares digests and never secrets. The
/// digest that is found is compared once more in constant time.
class KeyDirectory
{
public:
  /// @brief Replaces the keys with those of a configuration.
  void Load(const FleetConfig& aConfig);

  /// @brief Sets the digests of keys that were revoked before the configuration
  /// says so.
  void SetWithdrawn(std::set<std::string> aDigests);

  /// @brief Finds the key with a digest.
  /// @return The key, or nothing if it is unknown or revoked.
  std::optional<Key> Find(const std::string& aDigest) const;

private:
  absl::flat_hash_map<std::string, Key> m_byDigest;
  std::set<std::string> m_revoked;
};

/// @brief Tells whether a text contains something in the format of a key.
///
/// Percent-encoded characters are decoded first.
bool
HoldsKey(std::string_view aText);

/// @brief Generates a key for a caller: a prefix and a random secret.
std::string
MakeKey();

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_KEY_DIRECTORY_H
