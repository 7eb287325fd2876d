#include "sapphirelane/proxy/attempt_order.h"

#include <algorithm>

namespace sapphirelane {

namespace {

/// Maximum time between placing an attempt and sending its first byte.
constexpr Milliseconds kSendTimeout{ 1000 };

/// Time after the deadline for an endpoint's own timeout response to arrive.
constexpr Milliseconds kDeadlineAnswerGrace{ 30 };

/// Headers that the daemon adds to the caller's.
void
AddHeaders(const PendingRequest& aRequest,
           const HttpDialect& aDialect,
           AttemptOrder& aOrder)
{
  const RequestHead& head = aRequest.exchange->Head();
  const std::string* host = FindHeader(head.headers, "Host");
  if (aDialect.forward_host && host != nullptr) {
    aOrder.headers.emplace_back("Host", *host);
  }
  if (!aDialect.caller_names_requests) {
    aOrder.headers.emplace_back(aDialect.request_id, aOrder.echo);
  }
  if (!aDialect.expected_endpoint.empty()) {
    aOrder.headers.emplace_back(aDialect.expected_endpoint, aOrder.endpoint);
  }
  if (!aRequest.account.empty()) {
    aOrder.headers.emplace_back(aDialect.account, aRequest.account);
  }
}

} // namespace

bool
MayResend(const PendingRequest& aRequest)
{
  const std::string& method = aRequest.exchange->Head().method;
  const bool reads = method == "GET" || method == "HEAD";
  return aRequest.route.mode == RouteMode::Safe &&
         (reads ? !aRequest.head.has_body : aRequest.head.length.has_value());
}

AttemptOrder
MakeAttemptOrder(const PendingRequest& aRequest,
                 const Attempt& aAttempt,
                 const Placement& aPlacement,
                 const HttpDialect& aDialect,
                 const LimitSettings& aLimits,
                 TimePoint aNow)
{
  const RequestHead& head = aRequest.exchange->Head();
  AttemptOrder order;
  order.id = aAttempt.id;
  order.exchange = aRequest.exchange;
  order.endpoint = aAttempt.endpoint;
  order.address = aPlacement.address;
  order.lifetime = aPlacement.lifetime;
  order.method = head.method;
  order.target = head.target;
  order.headers = aRequest.head.forward;
  order.echo_header = aDialect.request_id;
  order.echo = aDialect.caller_names_requests ? aRequest.head.request_id
                                              : std::to_string(head.id);
  AddHeaders(aRequest, aDialect, order);
  order.deadline_header = aDialect.deadline;
  order.hold = MayResend(aRequest);
  order.has_body = aRequest.head.has_body;
  order.length = aRequest.head.length;
  if (!MayResend(aRequest)) {
    // It uses no pooled connection that may be dead.
    order.new_connection = aLimits.proven == Milliseconds::zero();
    order.unused_for = aLimits.proven;
  }
  // The token covers the whole request; later attempts need no new one.
  const bool first = aRequest.attempts_made == 1 && !aRequest.route.open;
  order.send_before = aNow + kSendTimeout;
  if (first) {
    order.send_before = std::min(order.send_before, aRequest.token_valid_until);
  }
  order.deadline = aRequest.deadline;
  order.give_up = aRequest.deadline + kDeadlineAnswerGrace;
  return order;
}

} // namespace sapphirelane
