#ifndef SAPPHIRELANE_STORE_STORE_ERA_H
#define SAPPHIRELANE_STORE_STORE_ERA_H

#include <cstdint>
#include <optional>
#include <string>

namespace sapphirelane {

/// @brief Checks the era that each answer of a store names.
///
/// A store that comes back from an older copy names a higher era from then on.
/// An answer of an earlier era than one seen before comes from a stale copy, or
/// was under way during the rollback; its versions mean nothing any more.
///
/// Failure pattern: the answers of two eras arrive mixed for a moment.
class StoreEra
{
public:
  /// @brief Checks the era of an answer.
  /// @param aText As the answer names it; nothing if it names none.
  /// @return The era; 0 for a store that has never named one.
  /// @throws PlatformUnavailable if the answer must not be used: its era is
  /// malformed, lower than one before, or absent after one was named.
  std::uint64_t Check(const std::optional<std::string>& aText);

  /// @brief The highest era that was named; 0 for none.
  std::uint64_t Newest() const { return m_newest; }

private:
  std::uint64_t m_newest = 0;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_STORE_STORE_ERA_H
