#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <vector>

#include <catch2/catch.hpp>

#include "sapphirelane/routing/retry_schedule.h"
#include "sapphirelane/routing/retry_urgency.h"
#include "sapphirelane/routing/shed_share.h"

namespace sapphirelane {
namespace {

constexpr Milliseconds kMeanLatency{ 410 };
constexpr Milliseconds kShedTime{ 5 };
constexpr Milliseconds kTarget{ 2500 };
constexpr Milliseconds kDeadline{ 6000 };
constexpr Milliseconds kReportTime{ 300 };
constexpr std::uint32_t kMaxAttempts = 2;
constexpr std::uint32_t kPriorities = 3;

/// Endpoints of the service in the replay.
struct ReplayOptions
{
  int daemons = 97;
  double rate = 6; ///< Requests a second of each daemon.
  bool waits = true;
  double shedding = 0.55;              ///< Share during the spell.
  Duration spell = Milliseconds(8500); ///< Its length.
  Duration load = Milliseconds(20000); ///< Requests arrive.
  std::uint32_t endpoints = 0;         ///< With a capacity, if any.
  std::uint32_t slots = 0;             ///< Of each endpoint.
  double share = 0.2;
  double slack = 324;
  std::uint64_t seed = 1;
};

struct ReplayResult
{
  int requests = 0;
  int in_target = 0;
  int served = 0;
  int served_twice = 0;
  int most_waiting = 0;
  double budget_use = 0; ///< Highest share of the allowed retries in a window.
  std::vector<int> requests_by_priority = std::vector<int>(kPriorities);
  std::vector<int> served_by_priority = std::vector<int>(kPriorities);

  /// Adds the result of another seed.
  ReplayResult& operator+=(const ReplayResult& aOther)
  {
    requests += aOther.requests;
    in_target += aOther.in_target;
    served += aOther.served;
    served_twice += aOther.served_twice;
    budget_use = std::max(budget_use, aOther.budget_use);
    return *this;
  }
};

/// Plays a fleet before one service that sheds, in virtual time. All daemons
/// have the retry budget's true state, and know of each other's sheds after the
/// time of a report.
class ShedReplay
{
public:
  explicit ShedReplay(const ReplayOptions& aOptions)
    : m_options(aOptions)
    , m_random(aOptions.seed)
    , m_arrivals(aOptions.seed + 1)
    , m_reserves(static_cast<std::size_t>(aOptions.daemons))
    , m_busy(aOptions.endpoints)
  {
  }

  ReplayResult Play()
  {
    ScheduleArrival();
    while (!m_events.empty()) {
      const auto event = m_events.begin();
      m_now = event->first;
      const std::function<void()> action = std::move(event->second);
      m_events.erase(event);
      action();
    }
    return m_result;
  }

private:
  struct Request
  {
    std::size_t daemon = 0;
    TimePoint arrived{};
    std::uint32_t priority = 0;
    std::uint32_t attempts = 0;
    std::uint32_t waits = 0;
    int answers = 0;
    std::size_t endpoint = 0;
  };

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    m_events.emplace(aTime, std::move(aAction));
  }

  void ScheduleArrival()
  {
    const double rate = m_options.rate * m_options.daemons;
    const Seconds gap(std::exponential_distribution<double>(rate)(m_arrivals));
    const TimePoint next = m_now + std::chrono::duration_cast<Duration>(gap);
    if (next - m_begin > m_options.load) {
      return;
    }
    At(next, [this] {
      Arrive();
      ScheduleArrival();
    });
  }

  void Arrive()
  {
    const auto id = m_requests.size();
    Request request;
    request.daemon = m_arrivals() % static_cast<std::size_t>(m_options.daemons);
    request.arrived = m_now;
    request.priority = static_cast<std::uint32_t>(m_arrivals() % kPriorities);
    m_requests.push_back(request);
    ++m_result.requests;
    ++m_result.requests_by_priority[request.priority];
    m_window.push_back(m_now);
    Attempt(id);
  }

  bool IsShed(Request& aRequest)
  {
    const TimePoint begin = m_begin + Milliseconds(5000);
    const bool spell = m_now >= begin && m_now < begin + m_options.spell;
    if (m_busy.empty()) {
      return spell && Draw() < m_options.shedding;
    }
    // During the spell each endpoint has a part of its slots.
    const auto slots =
      spell ? m_options.slots * (1 - m_options.shedding) : m_options.slots;
    aRequest.endpoint = m_random() % m_busy.size();
    return m_busy[aRequest.endpoint] + 1 > slots;
  }

  void Attempt(std::size_t aId)
  {
    Request& request = m_requests[aId];
    ++request.attempts;
    const bool shed = IsShed(request);
    At(m_now + kReportTime,
       [this, shed] { m_sheds.Record(shed ? 1 : 0, shed ? 0 : 1, m_now); });
    if (shed) {
      At(m_now + kShedTime, [this, aId] { OnShed(aId, false); });
      return;
    }
    constexpr double kSpread = 0.6;
    std::lognormal_distribution<double> latency(
      std::log(ToSeconds(kMeanLatency)) - kSpread * kSpread / 2, kSpread);
    if (!m_busy.empty()) {
      ++m_busy[request.endpoint];
    }
    At(m_now + std::chrono::duration_cast<Duration>(Seconds(latency(m_random))),
       [this, aId] { OnAnswer(aId); });
  }

  void OnAnswer(std::size_t aId)
  {
    Request& request = m_requests[aId];
    if (!m_busy.empty()) {
      --m_busy[request.endpoint];
    }
    ++request.answers;
    m_result.served_twice += request.answers > 1 ? 1 : 0;
    const Duration elapsed = m_now - request.arrived;
    if (elapsed <= kDeadline) {
      ++m_result.served;
      ++m_result.served_by_priority[request.priority];
      m_result.in_target += elapsed <= kTarget ? 1 : 0;
    }
  }

  void OnShed(std::size_t aId, bool aDue)
  {
    if (!m_options.waits) {
      Request& request = m_requests[aId];
      if (request.attempts < kMaxAttempts && TakeFromBudget(0)) {
        Attempt(aId);
      }
      return;
    }
    const RetryCase one = CaseOf(m_requests[aId], aDue);
    Follow(aId, m_schedule.Decide(one, m_now, m_random), one);
  }

  void Follow(std::size_t aId, RetryPlan aPlan, const RetryCase& aCase)
  {
    Request& request = m_requests[aId];
    if (aPlan.action == RetryPlan::Action::Send) {
      const double reserve = m_reserves[request.daemon].OnAsk(
        "s", { request.priority, m_now <= aCase.start_for_target }, m_now);
      if (TakeFromBudget(reserve)) {
        Attempt(aId);
        return;
      }
      aPlan = m_schedule.Postpone(aCase, m_now, m_random);
    }
    if (aPlan.action == RetryPlan::Action::Wait) {
      ++request.waits;
      m_result.most_waiting = std::max(m_result.most_waiting, ++m_waiting);
      At(aPlan.at, [this, aId] {
        --m_waiting;
        OnShed(aId, true);
      });
    }
  }

  RetryCase CaseOf(const Request& aRequest, bool aDue) const
  {
    constexpr double kFastShare = 0.31; // As in LatestStarts.
    const Seconds fast(ToSeconds(kMeanLatency) * kFastShare);
    RetryCase one;
    one.start_for_target = aRequest.arrived + kTarget - kMeanLatency;
    one.start_for_deadline =
      aRequest.arrived + kDeadline - std::chrono::duration_cast<Duration>(fast);
    one.mean_latency = kMeanLatency;
    one.attempts_left = kMaxAttempts - aRequest.attempts;
    one.sheds = aRequest.attempts;
    one.waits = aRequest.waits;
    one.due = aDue;
    one.shed_share = m_sheds.At(m_now);
    one.priority = aRequest.priority;
    return one;
  }

  bool TakeFromBudget(double aReserve)
  {
    constexpr double kMargin = 0.9;
    const TimePoint begin = m_now - std::chrono::seconds(10);
    while (!m_window.empty() && m_window.front() <= begin) {
      m_window.pop_front();
    }
    while (!m_spent.empty() && m_spent.front() <= begin) {
      m_spent.pop_front();
    }
    const double allowed =
      static_cast<double>(m_window.size()) * m_options.share + m_options.slack;
    const auto spent = static_cast<double>(m_spent.size() + 1);
    if (spent > allowed * kMargin * (1 - aReserve)) {
      return false;
    }
    m_spent.push_back(m_now);
    m_result.budget_use = std::max(m_result.budget_use, spent / allowed);
    return true;
  }

  ReplayOptions m_options;
  Random m_random;
  Random m_arrivals; ///< So that all policies get the same requests.
  TimePoint m_begin{ std::chrono::hours(1) };
  TimePoint m_now = m_begin;
  RetrySchedule m_schedule;
  ShedShare m_sheds;
  std::vector<UrgencyReserve> m_reserves; ///< Of each daemon.
  std::vector<std::uint32_t> m_busy;      ///< Slots in use, by endpoint.
  std::deque<Request> m_requests;
  std::deque<TimePoint> m_window; ///< First attempts.
  std::deque<TimePoint> m_spent;  ///< Retries.
  std::multimap<TimePoint, std::function<void()>> m_events;
  int m_waiting = 0;
  ReplayResult m_result;
};

ReplayResult
Play(ReplayOptions aOptions, bool aWaits)
{
  aOptions.waits = aWaits;
  ReplayResult result = ShedReplay(aOptions).Play();
  if (std::getenv("REPLAY_PRINT") != nullptr) {
    std::cout << aOptions.daemons << " daemons, endpoints "
              << aOptions.endpoints << ", " << (aWaits ? "wait" : "refuse")
              << ": requests " << result.requests << ", served "
              << result.served << ", in target " << result.in_target
              << ", most waiting " << result.most_waiting << ", budget "
              << result.budget_use;
    for (std::uint32_t i = 0; i < kPriorities; ++i) {
      std::cout << ", p" << i << " " << result.served_by_priority[i] << "/"
                << result.requests_by_priority[i];
    }
    std::cout << "\n";
  }
  return result;
}

/// Guards against requests that are refused within milliseconds while a service
/// sheds, and against retries beyond the fleet's budget.
TEST_CASE("Shed requests, service sheds for 8.5 s, waiting serves more than "
          "refusing within the budget")
{
  for (const int daemons : { 10, 97, 194 }) {
    ReplayOptions options;
    options.daemons = daemons;
    ReplayResult refuse;
    ReplayResult wait;
    for (options.seed = 1; options.seed <= 10; ++options.seed) {
      refuse += Play(options, false);
      wait += Play(options, true);
    }
    REQUIRE(wait.requests == refuse.requests);
    CHECK(wait.requests - wait.served <
          0.9 * (refuse.requests - refuse.served));
    CHECK(wait.in_target > refuse.in_target);
    CHECK(wait.served_twice == 0);
    CHECK(wait.budget_use <= 0.9);
  }
}

/// Guards against a budget that is spent on less urgent requests first.
TEST_CASE("Shed requests, budget is short, the most urgent are served most")
{
  ReplayOptions options;
  options.daemons = 194;
  options.slack = 50;
  const ReplayResult wait = Play(options, true);
  std::vector<double> unserved;
  for (std::uint32_t i = 0; i < kPriorities; ++i) {
    unserved.push_back(1 - static_cast<double>(wait.served_by_priority[i]) /
                             wait.requests_by_priority[i]);
  }
  CHECK(unserved[0] < unserved[1]);
  CHECK(unserved[1] <= unserved[2]);
}

/// Guards against waiting that makes an overload longer: retries that come
/// back together would fill the endpoints again.
TEST_CASE("Shed requests, ten endpoints lose half of their slots, waiting "
          "serves more")
{
  ReplayOptions options;
  options.daemons = 97;
  options.endpoints = 10;
  options.slots = 40;
  const ReplayResult refuse = Play(options, false);
  const ReplayResult wait = Play(options, true);
  CHECK(wait.served > refuse.served);
  CHECK(wait.served_twice == 0);
  CHECK(wait.budget_use <= 0.9);
}

} // namespace
} // namespace sapphirelane
