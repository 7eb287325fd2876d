#ifndef SAPPHIRELANE_RELAY_QUOTA_LEDGER_H
#define SAPPHIRELANE_RELAY_QUOTA_LEDGER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sapphirelane/base/time.h"
#include "sapphirelane/config/fleet.h"

namespace sapphirelane {

/// @brief Options of AccountRateLimiter.
struct QuotaOptions
{
  /// Share of the limits that a majority partition may use beyond its share of
  /// the daemons: the tolerance of the limits, 10%, less a margin.
  double majority_extra = 0.08;
};

/// @brief Distributed rate limiter: keeps client accounts within their rates,
/// counted over all daemons.
///
/// Each daemon keeps a replica of the token bucket of every account and takes
/// from it the requests that it admits itself and those that other daemons
/// report. The replicas converge within one message delay, so no request waits
/// for a remote call. A daemon that reaches only part of the fleet uses that
/// part's share of the limits, so that network partitions together do not admit
/// more than the limits.
class QuotaLedger
{
public:
  explicit QuotaLedger(QuotaOptions aOptions);

  /// @brief Applies the limits of a configuration.
  void Load(const FleetConfig& aConfig, TimePoint aNow);

  /// @brief Sets the share of the limits from the number of live daemons and
  /// of members, this daemon included.
  void SetHeard(std::size_t aLive, std::size_t aCounted);

  /// @brief Takes a token for a request of an account.
  /// @return Nothing if the request is admitted, else the time after which the
  /// next token is available.
  std::optional<Duration> Take(const std::string& aAccount, TimePoint aNow);

  /// @brief Returns the token of an admitted request that was not sent.
  void Return(const std::string& aAccount, TimePoint aNow);

  /// @brief Records requests that another daemon admitted.
  void NoteOthers(const std::string& aAccount,
                  std::uint32_t aCount,
                  TimePoint aNow);

  /// @brief Burst of an account; 0 if it is unknown.
  double BurstOf(const std::string& aAccount) const;

  /// @brief Share of the limits that applies on this daemon, from 0 to 1.
  double Share() const { return m_limitShare; }

private:
  struct Bucket
  {
    double rate = 0; ///< Requests a second; 0 for no limit.
    double burst = 0;
    double tokens = 0;
    TimePoint refilled_at{};
  };

  void Refill(Bucket& aBucket, TimePoint aNow) const;

  QuotaOptions m_options;
  double m_limitShare = 1;
  std::map<std::string, Bucket> m_buckets;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_QUOTA_LEDGER_H
