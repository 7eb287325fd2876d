#ifndef SAPPHIRELANE_ROUTING_CRASH_SUSPECTS_H
#define SAPPHIRELANE_ROUTING_CRASH_SUSPECTS_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief The process of an endpoint ended while it worked on a request.
struct Crash
{
  std::uint64_t request = 0; ///< Fingerprint.
  std::uint64_t process = 0; ///< See HashOfProcess.
  TimePoint started{};       ///< When the request was sent there.
  TimePoint ended{};
};

/// @brief Identifies one process of an endpoint.
std::uint64_t
HashOfProcess(const std::string& aEndpoint, std::uint64_t aLifetime);

/// @brief Options of CrashSuspects.
struct CrashSuspectsOptions
{
  /// Crashes one after the other from which a request is held back.
  std::size_t min_crashes = 2;
  Duration first_hold = Milliseconds(5000); ///< After min_crashes.
  double hold_growth = 4;                   ///< With each further crash.
  Duration max_hold = Milliseconds(120000);
  /// Difference up to which the times of two daemons' crashes count as equal.
  Duration tolerance = Milliseconds(10);
  Duration memory = Milliseconds(300000); ///< After the last crash.
  std::size_t max_suspects = 1024;
  std::size_t max_crashes = 16; ///< The newest ones of each request.
};

/// @brief Tells which requests are suspected of ending the processes that work
/// on them.
///
/// Load pattern: one of many requests ends every process that gets it, and the
/// others there with it. Daemons and callers send all of them again, to other
/// endpoints, so that one request takes down a service. Requests with the same
/// fingerprint count as the same; the fingerprint includes the account, so that
/// callers cannot have each other's requests held back.
///
/// A request is suspected for each crash that it was part of. Only crashes one
/// after the other count: it was sent to the second process after the first had
/// ended. So nobody is suspected because many processes end at once, as in an
/// outage. Each hold ends with a trial, which clears a request that was only
/// beside the cause. Once a request was served, earlier crashes do not count.
///
/// Crashes may be recorded in any order and more than once.
class CrashSuspects
{
public:
  explicit CrashSuspects(CrashSuspectsOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Records a crash.
  /// @return False if it was known or is too old to matter.
  bool RecordCrash(const Crash& aCrash, TimePoint aNow);

  /// @brief Records that a process has answered a request.
  /// @return True if the request was suspected until now.
  bool RecordServed(std::uint64_t aRequest, TimePoint aNow);

  /// @brief Number of crashes one after the other since it was last served.
  std::size_t CountCrashes(std::uint64_t aRequest) const;

  /// @brief Time for which a request is not to be sent; 0 if it may be.
  Duration HeldBackFor(std::uint64_t aRequest, TimePoint aNow) const;

  std::size_t Size() const { return m_suspects.size(); }

private:
  struct Suspect
  {
    std::vector<Crash> crashes; ///< By the time at which they ended.
    TimePoint served_at = TimePoint::min();
  };

  std::size_t CountCrashes(const Suspect& aSuspect) const;
  void RemoveOld(TimePoint aNow);

  CrashSuspectsOptions m_options;
  absl::flat_hash_map<std::uint64_t, Suspect> m_suspects; ///< By fingerprint.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_CRASH_SUSPECTS_H
