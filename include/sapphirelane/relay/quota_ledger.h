#ifndef SAPPHIRELANE_RELAY_QUOTA_LEDGER_H
#define SAPPHIRELANE_RELAY_QUOTA_LEDGER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sapphirelane/base/time.h"
#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief Options of the ledger.
struct QuotaOptions
{
  /// Share of the limits that a majority may use beyond the share of daemons
  /// that it hears: the tolerance of the limits, 10%, less a margin.
  double majority_extra = 0.08;
};

/// @brief Keeps client accounts within their rates, counted over all daemons.
///
/// Each daemon runs the same token bucket of every account and takes from it
/// what it lets through itself and what the others say that they let through.
/// A message later, all buckets are alike, so a request costs no question. A
/// daemon that hears only some of the fleet uses their share of the limits, so
/// that parts which do not hear each other do not add up to more.
class QuotaLedger
{
public:
  explicit QuotaLedger(QuotaOptions aOptions);

  /// @brief Takes over the limits of a configuration.
  void Load(const FleetConfig& aConfig, TimePoint aNow);

  /// @brief Sets how much of the fleet is heard.
  void SetHeard(std::size_t aLive, std::size_t aCounted);

  /// @brief Lets a request of an account through, or not.
  /// @return Nothing if it may pass, or the time after which one may.
  std::optional<Duration> Take(const std::string& aAccount, TimePoint aNow);

  /// @brief Takes back what was let through and not used.
  void Return(const std::string& aAccount, TimePoint aNow);

  /// @brief Notes what another daemon let through.
  void NoteOthers(const std::string& aAccount,
                  std::uint32_t aCount,
                  TimePoint aNow);

  /// @brief Share of the limits in use here.
  double Share() const { return m_share; }

private:
  struct Bucket
  {
    double rate = 0; ///< Requests a second; 0 for no limit.
    double burst = 0;
    double level = 0;
    TimePoint time{};
  };

  void Refill(Bucket& aBucket, TimePoint aNow) const;

  QuotaOptions m_options;
  double m_share = 1;
  std::map<std::string, Bucket> m_buckets;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_QUOTA_LEDGER_H
