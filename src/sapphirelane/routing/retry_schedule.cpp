#include "sapphirelane/routing/retry_schedule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace sapphirelane {

namespace {

/// Bounds of the first wait, which is a quarter of the mean latency.
constexpr Milliseconds kMinFirstWait{ 25 };
constexpr Milliseconds kMaxFirstWait{ 250 };
constexpr int kFirstWaitDivisor = 4;

/// Longest mean of a wait. A request that looks less often would miss up to a
/// second of the capacity after an overload.
constexpr Milliseconds kMaxWait{ 500 };

/// Waits are drawn from this range around their mean.
constexpr double kMinSpread = 0.5;
constexpr double kMaxSpread = 1.5;

/// Growth of the wait by priority: less urgent requests ask less often.
constexpr double kWaitGrowthByPriority = 0.25;
constexpr std::uint32_t kMaxPriorityStep = 4;

/// Multiple of the mean latency by which a held attempt is sent before its
/// latest start for the target. With 2.8 means in total, 97% of the responses
/// are in time (log-normal, standard deviation 0.6 of the logarithm). With 1.5
/// means, a replay served fewer requests in time than without waiting.
constexpr double kTargetMargin = 1.8;

/// The same before the latest start for the deadline, which already allows for
/// the fastest responses only.
constexpr double kDeadlineMargin = 1.2;

Duration
Scale(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(
    Seconds(ToSeconds(aTime) * aFactor));
}

Duration
BackOff(const RetryCase& aCase, Random& aRandom)
{
  constexpr std::uint32_t kMaxDoublings = 8;
  const Duration first = std::clamp<Duration>(
    aCase.mean_latency / kFirstWaitDivisor, kMinFirstWait, kMaxFirstWait);
  const double growth = std::exp2(std::min(aCase.waits, kMaxDoublings));
  const Duration mean = std::min<Duration>(Scale(first, growth), kMaxWait);
  const double byPriority =
    1 + kWaitGrowthByPriority * std::min(aCase.priority, kMaxPriorityStep);
  std::uniform_real_distribution<double> spread(kMinSpread, kMaxSpread);
  return Scale(mean, byPriority * spread(aRandom));
}

/// Time until which the last attempt is held back.
TimePoint
HoldUntil(const RetryCase& aCase, TimePoint aNow)
{
  const TimePoint forDeadline =
    aCase.start_for_deadline - Scale(aCase.mean_latency, kDeadlineMargin);
  if (aCase.start_for_target == TimePoint::max() ||
      aNow > aCase.start_for_target) {
    return forDeadline;
  }
  return std::min(forDeadline,
                  aCase.start_for_target -
                    Scale(aCase.mean_latency, kTargetMargin));
}

RetryPlan
GiveUp(const RetryCase& aCase)
{
  RetryPlan plan;
  plan.retry_after = std::max(aCase.service_wait, aCase.recovery);
  return plan;
}

RetryPlan
WaitUntil(TimePoint aAt)
{
  RetryPlan plan;
  plan.action = RetryPlan::Action::Wait;
  plan.at = aAt;
  return plan;
}

/// Whether no attempt can serve the request: it has none left, or the service
/// will have room too late. A wait of unknown length does not count.
bool
IsHopeless(const RetryCase& aCase, TimePoint aNow)
{
  const bool knownWait = aCase.service_wait != Duration::max();
  return aCase.attempts_left == 0 || aNow > aCase.start_for_deadline ||
         (knownWait && aCase.service_wait > aCase.start_for_deadline - aNow);
}

} // namespace

RetryPlan
RetrySchedule::Decide(const RetryCase& aCase,
                      TimePoint aNow,
                      Random& aRandom) const
{
  if (IsHopeless(aCase, aNow)) {
    return GiveUp(aCase);
  }
  const bool calm = aCase.shed_share <= kCalmShedShare;
  const bool precious = aCase.attempts_left == 1 && !calm;
  const TimePoint hold = precious ? HoldUntil(aCase, aNow) : TimePoint::min();
  if (aNow < hold) {
    return WaitUntil(std::min(hold, aNow + BackOff(aCase, aRandom)));
  }
  const bool first = calm && aCase.sheds <= 1 && aCase.waits == 0;
  if (aCase.due || first || precious) {
    RetryPlan plan;
    plan.action = RetryPlan::Action::Send;
    plan.at = aNow;
    return plan;
  }
  return Postpone(aCase, aNow, aRandom);
}

RetryPlan
RetrySchedule::Postpone(const RetryCase& aCase,
                        TimePoint aNow,
                        Random& aRandom) const
{
  if (IsHopeless(aCase, aNow) || aNow == aCase.start_for_deadline) {
    return GiveUp(aCase);
  }
  Duration wait = BackOff(aCase, aRandom);
  if (aCase.service_wait != Duration::max()) {
    wait = std::max(wait, aCase.service_wait);
  }
  // The last chance before the target, and then before the deadline, is not
  // slept through.
  const TimePoint next =
    aNow < aCase.start_for_target
      ? std::min(aCase.start_for_target, aCase.start_for_deadline)
      : aCase.start_for_deadline;
  return WaitUntil(std::min(next, aNow + wait));
}

} // namespace sapphirelane
