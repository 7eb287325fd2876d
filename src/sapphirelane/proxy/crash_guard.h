#ifndef SAPPHIRELANE_PROXY_CRASH_GUARD_H
#define SAPPHIRELANE_PROXY_CRASH_GUARD_H

#include <optional>

#include "sapphirelane/admission/token_bucket.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/upstream_io.h"
#include "sapphirelane/routing/crash_suspects.h"

namespace sapphirelane {

/// @brief Holds requests back that end the endpoints that work on them, from
/// what this daemon and the others have seen.
class CrashGuard
{
public:
  /// @param aControl Must outlive this object, as must the other.
  CrashGuard(FleetControl& aControl, Metrics& aMetrics)
    : m_control(aControl)
    , m_metrics(aMetrics)
  {
  }

  /// @brief Fingerprint of a request, by which its returns are recognized:
  /// account, method, host name and target, but no headers.
  static std::uint64_t FingerprintOf(const PendingRequest& aRequest);

  /// @brief Time for which a request is not to be sent; 0 if it may be.
  Duration HeldBackFor(const PendingRequest& aRequest, TimePoint aNow) const
  {
    return m_suspects.HeldBackFor(aRequest.fingerprint, aNow);
  }

  /// @brief Logs and counts that a request is refused as held back.
  void RecordHeldBack(const PendingRequest& aRequest, TimePoint aNow);

  /// @brief Records that the endpoint of an attempt has ended, and tells the
  /// fleet.
  void OnCrash(const PendingRequest& aRequest,
               const Attempt& aAttempt,
               TimePoint aNow);

  /// @brief Records that an endpoint has answered a request; tells the fleet if
  /// it was suspected.
  void OnServed(const PendingRequest& aRequest, TimePoint aNow);

  /// @brief Applies what another daemon has seen; ignores and counts a
  /// malformed report.
  void OnReport(const CrashReport& aReport, TimePoint aNow);

private:
  /// Tells the fleet, unless this daemon has told it much lately.
  void Tell(const CrashReport& aReport, TimePoint aNow);

  FleetControl& m_control;
  Metrics& m_metrics;
  CrashSuspects m_suspects;
  std::optional<TokenBucket> m_reports; ///< See Tell; set by the first one.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_CRASH_GUARD_H
