#include "sapphirelane/proxy/retry_controller.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "sapphirelane/admission/start_limits.h"
#include "sapphirelane/proxy/attempt_order.h"

namespace sapphirelane {

namespace {

constexpr Milliseconds kMinRetryAfter{ 50 };
constexpr Milliseconds kMaxRetryAfter = std::chrono::minutes(1);

/// Hedged attempts allowed as a share of requests.
constexpr double kHedgeBudgetShare = 0.04;

RetryBudgetOptions
HedgeBudgetOptions()
{
  RetryBudgetOptions options;
  options.share = kHedgeBudgetShare;
  return options;
}

/// Whether all attempts run at endpoints that have been ejected since. Such
/// hedges take none from the hedge budget, as the endpoints' slots bound their
/// number.
bool
AllEndpointsEjected(const PendingRequest& aRequest, const ServiceState& aState)
{
  return std::all_of(
    aRequest.attempts.begin(),
    aRequest.attempts.end(),
    [&](const Attempt& aItem) { return aState.IsEjected(aItem.endpoint); });
}

bool
AllStalled(const PendingRequest& aRequest)
{
  return std::all_of(aRequest.attempts.begin(),
                     aRequest.attempts.end(),
                     [](const Attempt& aItem) { return aItem.stalled; });
}

/// A refusal with the outcome that is true of the request.
Refusal
WithTrueOutcome(Refusal aRefusal, const PendingRequest& aRequest)
{
  if (aRequest.may_have_run && aRefusal.outcome == Outcome::NotRun) {
    aRefusal.status = 502;
    aRefusal.outcome = Outcome::Unknown;
  }
  return aRefusal;
}

} // namespace

Milliseconds
RetryAfterOf(Duration aWait)
{
  return std::clamp(
    std::chrono::ceil<Milliseconds>(aWait), kMinRetryAfter, kMaxRetryAfter);
}

RetryController::RetryController(RetryControllerOptions aOptions,
                                 std::unique_ptr<RetryPolicy> aRetry,
                                 FleetControl& aControl,
                                 ServiceTable& aServices,
                                 const StopSchedule& aStop,
                                 Metrics& aMetrics,
                                 Random& aRandom,
                                 RetryActions& aActions)
  : m_options(aOptions)
  , m_retry(std::move(aRetry))
  , m_hedge(MakeRetryBudget(HedgeBudgetOptions()))
  , m_control(aControl)
  , m_services(aServices)
  , m_stop(aStop)
  , m_metrics(aMetrics)
  , m_random(aRandom)
  , m_actions(aActions)
{
}

void
RetryController::OnFirstAttempt(TimePoint aNow)
{
  m_retry->OnRequest(aNow);
  m_hedge->OnRequest(aNow);
}

void
RetryController::OnShed(PendingRequest& aRequest,
                        Attempt& aAttempt,
                        TimePoint aNow)
{
  aAttempt.shed = true;
  ++aRequest.sheds;
  m_services.At(aRequest.service)
    .state->Observe(
      aAttempt.endpoint, { WorkResult::Shed, aNow - aAttempt.started }, aNow);
  m_metrics.Count("sheds_total", { { "service", aRequest.service } });
}

void
RetryController::OnShedAttemptEnd(std::uint64_t aId,
                                  PendingRequest& aRequest,
                                  TimePoint aNow)
{
  const ServiceEntry& service = m_services.At(aRequest.service);
  const Duration wait =
    service.state->ExpectedWait(service.queue->Size(), aNow);
  RetryOrRefuse(aId,
                aRequest,
                { 503,
                  Outcome::NotRun,
                  "shed",
                  "the upstream is overloaded and did not run it",
                  RetryAfterOf(wait) },
                aNow);
}

void
RetryController::RetryOrRefuse(std::uint64_t aId,
                               PendingRequest& aRequest,
                               const Refusal& aRefusal,
                               TimePoint aNow)
{
  if (!m_options.waits) {
    if (!TryRetry(aId, aRequest, aNow)) {
      m_actions.RefuseAdmitted(aId, WithTrueOutcome(aRefusal, aRequest), aNow);
    }
    return;
  }
  if (aRequest.exchange->IsCallerGone()) {
    m_actions.Abandon(aId, aRequest, aNow);
    return;
  }
  const auto reason = m_actions.ReasonToRefuse(aRequest, aNow);
  if (reason) {
    m_actions.RefuseAdmitted(aId, WithTrueOutcome(*reason, aRequest), aNow);
    return;
  }
  const RetryCase one = CaseOf(aRequest, aNow);
  Follow(aId, aRequest, m_schedule.Decide(one, aNow, m_random), aRefusal, aNow);
}

/// Carries a plan out. A request that cannot be sent now, for want of budget or
/// room, waits.
void
RetryController::Follow(std::uint64_t aId,
                        PendingRequest& aRequest,
                        RetryPlan aPlan,
                        const Refusal& aRefusal,
                        TimePoint aNow)
{
  if (aPlan.action == RetryPlan::Action::Send) {
    if (TryRetry(aId, aRequest, aNow)) {
      EndWait(aId, "sent", aNow);
      return;
    }
    aPlan = m_schedule.Postpone(CaseOf(aRequest, aNow), aNow, m_random);
  }
  const bool waiting = m_waiting.count(aId) != 0;
  const bool sendable = aRequest.exchange->CanAddAttempt();
  if (aPlan.action == RetryPlan::Action::Wait && sendable &&
      (waiting || MayWait(aRequest))) {
    Wait(aId, aRequest, aPlan.at, aRefusal, aNow);
    return;
  }
  Refusal refusal = aRefusal;
  if (refusal.retry_after) {
    const RetryCase one = CaseOf(aRequest, aNow);
    refusal.retry_after =
      RetryAfterOf(std::max(one.service_wait, one.recovery));
  }
  RefuseWaiting(aId, aRequest, refusal, aNow);
}

void
RetryController::Wait(std::uint64_t aId,
                      PendingRequest& aRequest,
                      TimePoint aUntil,
                      const Refusal& aRefusal,
                      TimePoint aNow)
{
  aRequest.stage = RequestStage::AwaitingRetry;
  ++aRequest.retry_waits;
  auto [item, added] = m_waiting.try_emplace(aId);
  item->second.next = aUntil;
  if (!added) {
    return;
  }
  item->second.account = aRequest.account;
  item->second.service = aRequest.service;
  item->second.since = aNow;
  item->second.refusal = aRefusal;
  ++m_waitingByAccount[aRequest.account];
  m_metrics.Set("retry_waiting", {}, static_cast<double>(m_waiting.size()));
  const ServiceState& state = *m_services.At(aRequest.service).state;
  m_actions.LogRetry(aId,
                     "The request waits for a further attempt.",
                     LogFields()
                       .Add("reason", aRefusal.reason)
                       .Add("attempts", aRequest.attempts_made)
                       .Add("shed_share", state.Sheds().At(aNow))
                       .Add("next_ms", aUntil - aNow)
                       .Add("left_ms", aRequest.deadline - aNow)
                       .Add("waiting", std::uint64_t{ m_waiting.size() }));
}

/// Whether one more request of the account may wait.
bool
RetryController::MayWait(const PendingRequest& aRequest) const
{
  const auto own = m_waitingByAccount.find(aRequest.account);
  return m_waiting.size() < m_options.max_waiting &&
         (own == m_waitingByAccount.end() ||
          own->second < m_options.max_waiting_per_account);
}

void
RetryController::EndWait(std::uint64_t aId,
                         const std::string& aEnd,
                         TimePoint aNow)
{
  auto found = m_waiting.find(aId);
  if (found == m_waiting.end()) {
    return;
  }
  const Waiting ended = std::move(found->second);
  m_waiting.erase(found);
  auto account = m_waitingByAccount.find(ended.account);
  if (--account->second == 0) {
    m_waitingByAccount.erase(account);
  }
  m_metrics.Set("retry_waiting", {}, static_cast<double>(m_waiting.size()));
  m_metrics.Count("retry_waits_total",
                  { { "service", ended.service }, { "end", aEnd } });
  m_metrics.Observe(
    "retry_wait_seconds", { { "service", ended.service } }, aNow - ended.since);
  m_actions.LogRetry(aId,
                     "The request waits no longer.",
                     LogFields()
                       .Add("end", aEnd)
                       .Add("waited_ms", aNow - ended.since)
                       .Add("waiting", std::uint64_t{ m_waiting.size() }));
}

void
RetryController::RefuseWaiting(std::uint64_t aId,
                               const PendingRequest& aRequest,
                               Refusal aRefusal,
                               TimePoint aNow)
{
  EndWait(aId, aRefusal.reason, aNow);
  m_actions.RefuseAdmitted(
    aId, WithTrueOutcome(std::move(aRefusal), aRequest), aNow);
}

void
RetryController::OnFinish(std::uint64_t aId, TimePoint aNow)
{
  EndWait(aId, "abandoned", aNow);
}

void
RetryController::Tick(TimePoint aNow)
{
  // Priority, whether the target can no longer be met, deadline, id.
  std::vector<std::tuple<std::uint32_t, bool, TimePoint, std::uint64_t>> order;
  order.reserve(m_waiting.size());
  for (const auto& entry : m_waiting) {
    const PendingRequest* request = m_actions.FindRequest(entry.first);
    if (request != nullptr) {
      const RetryUrgency urgency = UrgencyOf(*request, aNow);
      order.emplace_back(urgency.priority,
                         !urgency.meets_target,
                         request->deadline,
                         entry.first);
    }
  }
  std::sort(order.begin(), order.end());
  for (const auto& item : order) {
    const std::uint64_t id = std::get<3>(item);
    PendingRequest* request = m_actions.FindRequest(id);
    if (request != nullptr && m_waiting.count(id) != 0) {
      CheckWaiting(id, *request, aNow);
    }
  }
}

void
RetryController::CheckWaiting(std::uint64_t aId,
                              PendingRequest& aRequest,
                              TimePoint aNow)
{
  if (aRequest.exchange->IsCallerGone()) {
    EndWait(aId, "abandoned", aNow);
    m_actions.Abandon(aId, aRequest, aNow);
    return;
  }
  const auto reason = m_actions.ReasonToRefuse(aRequest, aNow);
  if (reason) {
    RefuseWaiting(aId, aRequest, *reason, aNow);
    return;
  }
  const Waiting& waiting = m_waiting.at(aId);
  if (aNow < waiting.next && aRequest.exchange->CanAddAttempt()) {
    return;
  }
  RetryCase one = CaseOf(aRequest, aNow);
  one.due = true;
  const Refusal refusal = waiting.refusal;
  Follow(aId, aRequest, m_schedule.Decide(one, aNow, m_random), refusal, aNow);
}

RetryCase
RetryController::CaseOf(const PendingRequest& aRequest, TimePoint aNow)
{
  const ServiceEntry& service = m_services.At(aRequest.service);
  const ServiceState& state = *service.state;
  RetryCase one;
  one.mean_latency = state.MeanLatency();
  const StartLimits limits = LatestStarts({ aRequest.exchange->Head().arrived,
                                            aRequest.route.target,
                                            aRequest.deadline },
                                          one.mean_latency);
  one.start_for_target = limits.for_target;
  one.start_for_deadline =
    std::min(limits.for_deadline, m_stop.LatestStart(one.mean_latency));
  one.attempts_left = AttemptsLeft(aRequest);
  one.sheds = aRequest.sheds;
  one.waits = aRequest.retry_waits;
  const bool first = aRequest.attempts_sent == 0; // Is never held back.
  one.shed_share = first ? 0 : state.Sheds().At(aNow);
  one.service_wait = state.ExpectedWait(service.queue->Size(), aNow);
  one.recovery = state.Sheds().TimeUntil(kCalmShedShare, aNow);
  one.priority = aRequest.priority;
  return one;
}

RetryUrgency
RetryController::UrgencyOf(const PendingRequest& aRequest, TimePoint aNow)
{
  if (!m_options.waits) {
    return {};
  }
  const Duration latency = m_services.At(aRequest.service).state->MeanLatency();
  const StartLimits limits = LatestStarts({ aRequest.exchange->Head().arrived,
                                            aRequest.route.target,
                                            aRequest.deadline },
                                          latency);
  return { aRequest.priority, aNow <= limits.for_target };
}

/// Attempts that the route's limit on attempts sent and the retry policy leave.
std::uint32_t
RetryController::AttemptsLeft(const PendingRequest& aRequest) const
{
  const std::uint32_t most = m_retry->MaxAttempts();
  const std::uint32_t byPolicy = most - std::min(most, aRequest.attempts_made);
  const std::uint32_t limit = aRequest.route.attempts;
  return limit == 0 ? byPolicy
                    : std::min(byPolicy,
                               limit - std::min(limit, aRequest.attempts_sent));
}

/// Whether the service has a slot for the request. Asked before the budget, so
/// that nothing is spent on an attempt that cannot start.
bool
RetryController::HasRoom(const PendingRequest& aRequest, TimePoint aNow)
{
  const ServiceEntry& service = m_services.At(aRequest.service);
  return service.state->FreeSlots(aNow) > service.reserved_slots;
}

bool
RetryController::TryRetry(std::uint64_t aId,
                          PendingRequest& aRequest,
                          TimePoint aNow)
{
  const bool sendable =
    !aRequest.exchange->IsCallerGone() && aRequest.exchange->CanAddAttempt();
  const bool room = !m_options.waits || (m_actions.MayResume(aRequest, aNow) &&
                                         HasRoom(aRequest, aNow));
  // An attempt that follows one of which no byte was sent is no retry.
  const bool first = m_options.waits && aRequest.attempts_sent == 0;
  const bool allowed =
    sendable && room && AttemptsLeft(aRequest) > 0 &&
    (first ||
     (m_retry->TakeExtra(aRequest.attempts_made, aRequest.deadline, aNow) &&
      TakeFromFleetBudget(aId, aRequest, aNow)));
  if (!allowed || !m_actions.TryStartAttempt(aId, aRequest, aNow)) {
    return false;
  }
  m_metrics.Count("retries_total", { { "service", aRequest.service } });
  return true;
}

void
RetryController::TryHedge(std::uint64_t aId,
                          PendingRequest& aRequest,
                          TimePoint aNow)
{
  const ServiceState& state = *m_services.At(aRequest.service).state;
  Duration longest{ 0 };
  for (const Attempt& attempt : aRequest.attempts) {
    longest = std::max(longest, aNow - attempt.started);
  }
  if (aRequest.hedged || !MayResend(aRequest) || longest < state.HedgeAfter() ||
      !aRequest.exchange->CanAddAttempt()) {
    return;
  }
  const bool trial =
    !aRequest.attempts.empty() && aRequest.attempts.front().trial;
  const bool allEjected = AllEndpointsEjected(aRequest, state);
  const bool withinBudget =
    trial || allEjected ||
    m_hedge->TakeExtra(aRequest.attempts_made, aRequest.deadline, aNow) ||
    (AllStalled(aRequest) &&
     m_retry->TakeExtra(aRequest.attempts_made, aRequest.deadline, aNow));
  const bool withinLimit = aRequest.route.attempts == 0 ||
                           aRequest.attempts_sent < aRequest.route.attempts;
  if (!withinBudget || !withinLimit ||
      !TakeFromFleetBudget(aId, aRequest, aNow)) {
    return;
  }
  aRequest.hedged = true;
  if (m_actions.TryStartAttempt(aId, aRequest, aNow)) {
    m_metrics.Count("hedges_total", { { "service", aRequest.service } });
  }
}

/// Spends one attempt from the retry budget that the fleet shares.
bool
RetryController::TakeFromFleetBudget(std::uint64_t aId,
                                     const PendingRequest& aRequest,
                                     TimePoint aNow)
{
  const RetryDecision decision =
    m_control.TakeExtra(aRequest.service, UrgencyOf(aRequest, aNow), aNow);
  const bool unlimited = decision.allowed && decision.budget == 0;
  if (unlimited) {
    return true;
  }
  m_actions.LogRetry(aId,
                     decision.allowed
                       ? "The fleet's retry budget allows an attempt."
                       : "The fleet's retry budget allows no attempt.",
                     LogFields()
                       .Add("spent", decision.spent)
                       .Add("budget", decision.budget)
                       .Add("known_ms", decision.known));
  const MetricLabels service = { { "service", aRequest.service } };
  m_metrics.Set("retry_budget", service, decision.budget);
  m_metrics.Set("retry_budget_spent", service, decision.spent);
  if (!decision.allowed) {
    m_metrics.Count("retry_budget_refusals_total", service);
  }
  return decision.allowed;
}

} // namespace sapphirelane
