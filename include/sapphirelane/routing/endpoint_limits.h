#ifndef SAPPHIRELANE_ROUTING_ENDPOINT_LIMITS_H
#define SAPPHIRELANE_ROUTING_ENDPOINT_LIMITS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sapphirelane/base/time.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief What an endpoint has said of the requests that it takes.
struct LimitStatement
{
  std::uint64_t lifetime = 0; ///< Of the process that said so; 0 if unknown.
  /// Requests a second from all hosts together; nothing if it named no limit.
  std::optional<double> limit;
  TimePoint said_at{};
};

/// @brief Options of EndpointLimits.
struct EndpointLimitsOptions
{
  /// How long a limit holds that is not named again. Hosts that send nothing to
  /// the endpoint do not notice by themselves that it has ended.
  Duration memory = Milliseconds(20000);
  /// Interval at which the other hosts are told again of a limit that holds.
  Duration renewal = Milliseconds(5000);
  /// The same if the limit has another value than they were told.
  Duration change_interval = Milliseconds(1000);
  /// Longest time for which a host lets others go first. It is also the time
  /// for which unused requests are saved up.
  Duration max_yield = Milliseconds(1000);
  /// Requests beyond the limit that are made up for, as a time at the limit.
  Duration max_debt = Milliseconds(4000);
};

/// @brief Keeps the fleet within the limits that endpoints name.
///
/// Load pattern: an endpoint in need takes a few requests a second, while each
/// of tens or hundreds of hosts has requests waiting for it. Each host that
/// hears of the requests of the others keeps a replica of the endpoint's token
/// bucket and takes from it what it sends itself and what the others report. A
/// report takes some milliseconds, so hosts would all use the same token. Each
/// waits for a random time after there is one, which it draws anew after each
/// request that anyone has sent; the first one to send takes it.
class EndpointLimits
{
public:
  /// @param aSeed Of the random number generator; hosts have different ones.
  explicit EndpointLimits(std::uint64_t aSeed,
                          EndpointLimitsOptions aOptions = {})
    : m_options(aOptions)
    , m_random(aSeed)
  {
  }

  /// @brief Sets the share of each limit that the hosts that reach each other
  /// may use, from 0 to 1.
  void SetShare(double aShare) { m_share = aShare; }

  /// @brief Applies a statement of an endpoint, to this host or another one. An
  /// older one than is known, or one of an earlier process, changes nothing.
  /// @return True if the endpoint had named no limit before, or names none any
  /// more.
  bool Record(const std::string& aEndpoint,
              const LimitStatement& aStatement,
              TimePoint aNow);

  /// @brief Records that all hosts were told of an endpoint's limit.
  void RecordTold(const std::string& aEndpoint, TimePoint aNow);

  /// @brief Whether the other hosts have to be told of a limit again.
  bool IsRenewalDue(const std::string& aEndpoint, TimePoint aNow) const;

  /// @brief Records requests that were sent to an endpoint by any host.
  void RecordSent(const std::string& aEndpoint,
                  std::uint32_t aCount,
                  TimePoint aNow);

  /// @brief Forgets what an endpoint said before it was started anew.
  void Reset(const std::string& aEndpoint) { m_limits.erase(aEndpoint); }

  /// @brief Deletes limits that have not been named for long.
  void RemoveExpired(TimePoint aNow);

  /// @return The limit that an endpoint has named; nothing if it has not.
  std::optional<double> LimitOf(const std::string& aEndpoint) const;

  /// @brief Whether this host may send a request to an endpoint now.
  bool MaySend(const std::string& aEndpoint, TimePoint aNow) const;

  /// @return Time until MaySend is true, if nobody sends before.
  Duration WaitFor(const std::string& aEndpoint, TimePoint aNow) const;

  bool Empty() const { return m_limits.empty(); }

private:
  struct Limit
  {
    LimitStatement statement;
    double tokens = 0;
    TimePoint refilled_at{};
    Duration yield{ 0 }; ///< Time for which this host lets others go first.
    TimePoint told_at{}; ///< When all hosts were last told.
    double told_limit = 0;
  };

  double RateOf(const Limit& aLimit) const;
  double TokensAt(const Limit& aLimit, TimePoint aNow) const;
  double Needed(const Limit& aLimit) const;
  Duration DrawYield();

  EndpointLimitsOptions m_options;
  Random m_random;
  double m_share = 1;
  std::map<std::string, Limit> m_limits; ///< Of endpoints that name one.
  /// Statements of endpoints that name none any more, against late reports.
  std::map<std::string, LimitStatement> m_ended;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_ENDPOINT_LIMITS_H
