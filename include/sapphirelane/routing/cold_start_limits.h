#ifndef SAPPHIRELANE_ROUTING_COLD_START_LIMITS_H
#define SAPPHIRELANE_ROUTING_COLD_START_LIMITS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Bound on the requests to a cold endpoint in any one second.
struct ColdStartOptions
{
  double overage = 1.5; ///< Multiple of the rate that it takes.
  double slack = 8;     ///< Requests beyond that.
};

/// @brief How the bound of a cold endpoint is divided among hosts.
struct ColdStartPlan
{
  std::size_t owners = 1;   ///< Hosts that may send to it.
  std::size_t requests = 1; ///< Of one owner in any `window` at most.
  Duration window{ 0 };     ///< Longer than a second.
};

/// @brief Divides the bound so that it holds while the owners of two different
/// views of the fleet send.
/// @param aPerSecond Requests a second that a cold endpoint takes; above 0.
ColdStartPlan
PlanColdStart(double aPerSecond, const ColdStartOptions& aOptions);

/// @brief This host's rank in an endpoint's order of the hosts (rendezvous
/// hashing).
/// @param aOthers Hashes of the other hosts.
/// @param aOwners Number of hosts that own the endpoint.
/// @return The rank if it is below aOwners; nothing otherwise.
std::optional<std::size_t>
RankOfOwner(const std::string& aEndpoint,
            std::uint32_t aSelf,
            const std::vector<std::uint32_t>& aOthers,
            std::size_t aOwners);

/// @brief An endpoint that has turned cold, or is cold no longer.
struct ColdChange
{
  std::string endpoint;
  bool cold = false;
  Duration left{ 0 };     ///< Time for which it is known to stay cold.
  std::uint64_t sent = 0; ///< Requests of this daemon while it was cold.
};

/// @brief Keeps the requests to the cold endpoints of one service within their
/// bound, without messages between daemons.
///
/// Load pattern: a data centre returns, and all of its endpoints are cold while
/// all daemons have requests for them. A few owners of each endpoint share its
/// rate, and each is bounded on its own. Daemons with different knowledge of
/// the hosts may choose different owners, which is why the owners of one view
/// use half of the bound. A host that knows of more hosts than others chooses
/// itself less often, not more often, so hosts that are gone do no harm.
class ColdStartLimits
{
public:
  /// @brief Sets the rate of a cold endpoint.
  /// @param aPerSecond Requests a second; 0 for no bound.
  void SetRate(double aPerSecond, const ColdStartOptions& aOptions);

  /// @brief Whether the service has a bound.
  bool IsActive() const { return m_perSecond > 0; }

  const ColdStartPlan& Plan() const { return m_plan; }

  /// @brief Records that an endpoint is cold at least until a time.
  /// @param aWasWarm It got requests as a warm endpoint until now; the bound of
  /// the first second then counts as spent.
  /// @return True if that changes what is known by more than the differences
  /// between the statements on one cold time.
  bool Extend(const std::string& aEndpoint,
              TimePoint aUntil,
              bool aWasWarm,
              TimePoint aNow);

  /// @brief Records that an endpoint may be cold since its data centre gets
  /// requests again, until its entry has been written after that.
  void MarkReturned(const std::string& aEndpoint, TimePoint aNow);

  /// @brief Ends the marks of MarkReturned on endpoints whose entry has been
  /// written since.
  /// @param aViewTime Time at which the view matched the store.
  void Confirm(TimePoint aViewTime);

  /// @brief Forgets what is known of an endpoint that was started anew.
  void Reset(const std::string& aEndpoint) { m_cold.erase(aEndpoint); }

  /// @brief Forgets an endpoint that is gone.
  void Remove(const std::string& aEndpoint);

  /// @brief Records a request of this daemon.
  void RecordSent(const std::string& aEndpoint, TimePoint aNow);

  bool IsCold(const std::string& aEndpoint, TimePoint aNow) const;

  /// @brief Time for which an endpoint is known to stay cold; 0 if it is not
  /// cold.
  Duration ColdFor(const std::string& aEndpoint, TimePoint aNow) const;

  /// @brief Whether this daemon may send a request to an endpoint now.
  /// @param aRank Of this daemon among the endpoint's owners; nothing if it is
  /// not one of them.
  bool MaySend(const std::string& aEndpoint,
               std::optional<std::size_t> aRank,
               TimePoint aNow) const;

  /// @brief Requests a second of one owner.
  double RateOfOwner() const;

  /// @brief Number of cold endpoints.
  std::size_t Size(TimePoint aNow) const;

  /// @brief Returns the changes since the last call, and deletes endpoints that
  /// are cold no longer.
  std::vector<ColdChange> TakeChanges(TimePoint aNow);

private:
  struct Cold
  {
    TimePoint since{};
    TimePoint until{};
    std::optional<TimePoint> returned_at; ///< See MarkReturned.
    bool was_warm = false;
    bool reported = false; ///< Returned by TakeChanges.
    std::uint64_t sent = 0;
  };

  static bool IsCold(const Cold& aCold, TimePoint aNow)
  {
    return aNow < aCold.until || aCold.returned_at.has_value();
  }

  double m_perSecond = 0;
  ColdStartPlan m_plan;
  std::map<std::string, Cold> m_cold;
  /// Latest requests of this daemon to each endpoint, warm or cold.
  std::map<std::string, std::deque<TimePoint>> m_sent;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_COLD_START_LIMITS_H
