#include "sapphirelane/proxy/request_gate.h"

#include <algorithm>

namespace sapphirelane {

namespace {

/// Retry-After of a host without a configuration; about the time until another
/// host replaces it.
constexpr Milliseconds kNoConfigRetryAfter{ 1000 };

Refusal
NotRun(int aStatus, const char* aReason, const std::string& aDetail)
{
  return { aStatus, Outcome::NotRun, aReason, aDetail };
}

} // namespace

AdmissionController::AdmissionController(const LimitSettings& aLimits,
                                         const FleetControl& aControl)
  : m_limits(aLimits)
  , m_control(aControl)
{
}

std::optional<Refusal>
AdmissionController::Admit(PendingRequest& aRequest,
                           std::size_t aInFlight,
                           TimePoint aNow) const
{
  const CheckedHead& head = aRequest.head;
  if (!head.fault.empty()) {
    return NotRun(400, "malformed", head.fault);
  }
  auto refusal = CheckHostState(aInFlight);
  if (refusal) {
    return refusal;
  }
  const Route* route = FindRoute(*m_control.Config(), head.host, head.path);
  if (route == nullptr) {
    return NotRun(404, "no-route", "no route matches");
  }
  aRequest.route = *route;
  aRequest.priority = route->priority;
  aRequest.service = route->service;
  const Milliseconds timeout =
    std::min(route->timeout, head.deadline.value_or(route->timeout));
  aRequest.deadline = aRequest.exchange->Head().arrived + timeout;
  refusal = CheckLimits(aRequest);
  if (refusal || route->open) {
    return refusal;
  }
  return Authorize(aRequest, aNow);
}

std::optional<Refusal>
AdmissionController::CheckHostState(std::size_t aInFlight) const
{
  if (aInFlight >= m_limits.in_flight) {
    return NotRun(503, "busy", "this host is full");
  }
  if (m_control.Config() == nullptr) {
    Refusal refusal =
      NotRun(503, "no-configuration", "this host has no configuration yet");
    refusal.retry_after = kNoConfigRetryAfter;
    return refusal;
  }
  return std::nullopt;
}

std::optional<Refusal>
AdmissionController::CheckLimits(const PendingRequest& aRequest) const
{
  const std::uint64_t configured = m_control.Config()->limits.body_bytes;
  const std::uint64_t maxBodyBytes =
    configured > 0 ? configured : m_limits.body_bytes;
  if (aRequest.head.length.value_or(0) > maxBodyBytes) {
    return NotRun(413, "too-large", "the body is above the limit");
  }
  const bool needsKey = aRequest.route.mode == RouteMode::RunOnce;
  if (needsKey && aRequest.head.idempotency.empty()) {
    return NotRun(
      400, "no-idempotency-key", "this route requires an Idempotency-Key");
  }
  return std::nullopt;
}

std::optional<Refusal>
AdmissionController::ReadmitForRetry(PendingRequest& aRequest,
                                     TimePoint aNow) const
{
  const FleetConfig& config = *m_control.Config();
  if (config.routes.count(aRequest.route.id) == 0) {
    return NotRun(404, "no-route", "the route was removed");
  }
  if (config.services.count(aRequest.service) == 0) {
    return NotRun(503, "no-service", "the route's service is not known");
  }
  // A configuration that may be old is no reason to end the request.
  const bool checked = !aRequest.route.open && m_control.IsFresh(aNow);
  return checked ? Authorize(aRequest, aNow) : std::nullopt;
}

bool
AdmissionController::IsCertain(const PendingRequest& aRequest,
                               TimePoint aNow) const
{
  return aRequest.route.open || m_control.IsFresh(aNow);
}

std::optional<Refusal>
AdmissionController::Authorize(PendingRequest& aRequest, TimePoint aNow) const
{
  if (!m_control.IsFresh(aNow)) {
    return NotRun(
      503,
      "not-fresh",
      "this host cannot tell whether its configuration is the newest");
  }
  const auto key = m_control.Keys().Find(aRequest.head.key_digest);
  if (!key) {
    return NotRun(401, "no-key", "no key, or one not in force");
  }
  const auto& callers = aRequest.route.callers;
  const bool allowed =
    callers.empty() ||
    std::find(callers.begin(), callers.end(), key->account) != callers.end();
  if (!allowed) {
    return NotRun(403, "not-allowed", "the account may not call this route");
  }
  aRequest.account = key->account;
  const auto& accounts = m_control.Config()->accounts;
  const auto account = accounts.find(key->account);
  if (account != accounts.end()) {
    aRequest.priority = account->second.priority.value_or(aRequest.priority);
  }
  return std::nullopt;
}

} // namespace sapphirelane
