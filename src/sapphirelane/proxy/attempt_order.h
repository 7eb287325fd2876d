#ifndef SAPPHIRELANE_PROXY_ATTEMPT_ORDER_H
#define SAPPHIRELANE_PROXY_ATTEMPT_ORDER_H

#include "sapphirelane/config/settings.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/service_state.h"
#include "sapphirelane/proxy/upstream_io.h"

namespace sapphirelane {

/// @brief Whether more than one attempt of a request may be sent.
bool
MayResend(const PendingRequest& aRequest);

/// @brief Parameters of an attempt of a request at the endpoint of a placement.
AttemptOrder
MakeAttemptOrder(const PendingRequest& aRequest,
                 const Attempt& aAttempt,
                 const Placement& aPlacement,
                 const HttpDialect& aDialect,
                 const LimitSettings& aLimits,
                 TimePoint aNow);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_ATTEMPT_ORDER_H
