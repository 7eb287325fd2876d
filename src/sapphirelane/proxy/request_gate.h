#ifndef SAPPHIRELANE_PROXY_REQUEST_GATE_H
#define SAPPHIRELANE_PROXY_REQUEST_GATE_H

#include <optional>

#include "sapphirelane/config/settings.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/refusal.h"

namespace sapphirelane {

/// @brief Admits, authenticates and authorizes requests.
///
/// Needed on arrival, and again before sending, as the key or the freshness of
/// the configuration may have changed while the request was queued.
class AdmissionController
{
public:
  AdmissionController(const LimitSettings& aLimits,
                      const FleetControl& aControl);

  /// @brief Checks a new request and sets its route, account and deadline.
  /// @param aInFlight Requests in progress on this daemon.
  /// @return The refusal, or nothing if the request is admitted.
  std::optional<Refusal> Admit(PendingRequest& aRequest,
                               std::size_t aInFlight,
                               TimePoint aNow) const;

  /// @brief Checks the configuration's freshness and the request's key again.
  /// @return The refusal, or nothing if the request is authorized.
  std::optional<Refusal> Authorize(PendingRequest& aRequest,
                                   TimePoint aNow) const;

  /// @brief Checks whether a request that was sent before may be sent again:
  /// its route, service and key.
  /// @return The refusal, or nothing. A configuration that may be old is no
  /// reason to refuse; see IsCertain.
  std::optional<Refusal> ReadmitForRetry(PendingRequest& aRequest,
                                         TimePoint aNow) const;

  /// @brief Whether the answer of ReadmitForRetry is certain now.
  bool IsCertain(const PendingRequest& aRequest, TimePoint aNow) const;

private:
  std::optional<Refusal> CheckHostState(std::size_t aInFlight) const;
  std::optional<Refusal> CheckLimits(const PendingRequest& aRequest) const;

  const LimitSettings m_limits;
  const FleetControl& m_control;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_REQUEST_GATE_H
