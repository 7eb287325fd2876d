#ifndef SAPPHIRELANE_PROXY_REQUEST_GATE_H
#define SAPPHIRELANE_PROXY_REQUEST_GATE_H

#include <optional>

#include "sapphirelane/config/settings.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/refusal.h"

namespace sapphirelane {

/// @brief Decides whether a request may enter, and whether it may go on.
class RequestGate
{
public:
  RequestGate(const LimitSettings& aLimits, const FleetControl& aControl);

  /// @brief Checks a new request and fills in route, account and deadline.
  /// @param aInFlight Requests that the daemon has already.
  /// @return Why it is refused, or nothing.
  std::optional<Refusal> Admit(PendingRequest& aRequest,
                               std::size_t aInFlight,
                               TimePoint aNow) const;

  /// @brief Checks freshness and key of a request as they stand now.
  std::optional<Refusal> Authorize(PendingRequest& aRequest,
                                   TimePoint aNow) const;

  /// @brief Refuses new requests from now on.
  void Close() { m_closed = true; }

private:
  std::optional<Refusal> CheckHost(std::size_t aInFlight) const;
  std::optional<Refusal> CheckLimits(const PendingRequest& aRequest) const;

  const LimitSettings m_limits;
  const FleetControl& m_control;
  bool m_closed = false;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_REQUEST_GATE_H
