#ifndef SAPPHIRELANE_WIRE_STORE_VERSION_H
#define SAPPHIRELANE_WIRE_STORE_VERSION_H

#include <cstdint>
#include <string>
#include <tuple>

namespace sapphirelane {

/// @brief Version of a store's contents, or of one of its rows.
///
/// A store that comes back from an older copy gives version numbers out again.
/// It counts these rollbacks, and a version number means something only within
/// one such era. Versions of a later era are the newer ones, whatever their
/// numbers are.
struct StoreVersion
{
  std::uint64_t era = 0;    ///< 0 for a store that names no era.
  std::uint64_t number = 0; ///< 0 for none.

  StoreVersion() = default;

  /// @brief Version of a store that names no era. Not explicit, as the numbers
  /// of such a store are versions by themselves.
  StoreVersion(std::uint64_t aNumber) // NOLINT(google-explicit-constructor)
    : number(aNumber)
  {
  }

  StoreVersion(std::uint64_t aEra, std::uint64_t aNumber)
    : era(aEra)
    , number(aNumber)
  {
  }

  /// @brief Whether no version is known.
  bool IsNone() const { return number == 0; }

  /// @brief The number, after the era and a dot if there is one.
  std::string Text() const
  {
    const std::string prefix = era == 0 ? "" : std::to_string(era) + ".";
    return prefix + std::to_string(number);
  }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(era, number);
  }
};

inline bool
operator==(const StoreVersion& aOne, const StoreVersion& aOther)
{
  return aOne.era == aOther.era && aOne.number == aOther.number;
}

inline bool
operator!=(const StoreVersion& aOne, const StoreVersion& aOther)
{
  return !(aOne == aOther);
}

inline bool
operator<(const StoreVersion& aOne, const StoreVersion& aOther)
{
  return std::tie(aOne.era, aOne.number) < std::tie(aOther.era, aOther.number);
}

inline bool
operator>(const StoreVersion& aOne, const StoreVersion& aOther)
{
  return aOther < aOne;
}

inline bool
operator<=(const StoreVersion& aOne, const StoreVersion& aOther)
{
  return !(aOther < aOne);
}

inline bool
operator>=(const StoreVersion& aOne, const StoreVersion& aOther)
{
  return !(aOne < aOther);
}

} // namespace sapphirelane

#endif // SAPPHIRELANE_WIRE_STORE_VERSION_H
