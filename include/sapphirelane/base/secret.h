#ifndef SAPPHIRELANE_BASE_SECRET_H
#define SAPPHIRELANE_BASE_SECRET_H

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirelane {

/// @brief Initialises the cryptographic library.
/// @throws Error if the library cannot start.
void
StartSecrets();

/// @brief Makes a random key of 32 bytes in URL-safe base64.
std::string
MakeSecret();

/// @brief Computes the hexadecimal 32-byte digest of a secret.
std::string
DigestOf(std::string_view aSecret);

/// @brief Compares two strings in time that depends on their length only.
bool
EqualSecrets(std::string_view aLeft, std::string_view aRight);

/// @brief Draws 64 random bits that nobody can predict.
std::uint64_t
RandomBits();

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_SECRET_H
