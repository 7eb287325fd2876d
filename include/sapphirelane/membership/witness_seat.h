#ifndef SAPPHIRELANE_MEMBERSHIP_WITNESS_SEAT_H
#define SAPPHIRELANE_MEMBERSHIP_WITNESS_SEAT_H

#include <cstdint>
#include <map>
#include <optional>

#include "sapphirelane/base/time.h"
#include "sapphirelane/membership/head.h"

namespace sapphirelane {

/// @brief Open write intents that a witness knows of.
///
/// Before a head is written, its writer has the intent recorded by a majority
/// of the witnesses that the head to be replaced names. A witness with an open
/// intent does not vouch. An intent closes when a newer head is known, or when
/// its writer says that the write was never sent; never by age.
class WitnessSeat
{
public:
  /// @brief Records an intent to replace the head that is held.
  void Record(std::uint64_t aNonce, TimePoint aNow)
  {
    m_open.emplace(aNonce, aNow);
  }

  /// @brief Takes back an intent whose write was never sent.
  void Release(std::uint64_t aNonce) { m_open.erase(aNonce); }

  /// @brief Notes that a newer head is held, which closes all intents.
  void OnNewHead() { m_open.clear(); }

  /// @brief Tells whether the head that is held may be being replaced.
  bool HasOpenIntent() const { return !m_open.empty(); }

  /// @brief Age of the oldest open intent.
  std::optional<Duration> OldestAge(TimePoint aNow) const
  {
    std::optional<Duration> oldest;
    for (const auto& entry : m_open) {
      const Duration age = aNow - entry.second;
      oldest = oldest ? std::max(*oldest, age) : age;
    }
    return oldest;
  }

private:
  std::map<std::uint64_t, TimePoint> m_open;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_WITNESS_SEAT_H
