#include "sapphirelane/relay/extra_budget.h"

#include <algorithm>
#include <memory>
#include <vector>

#include <rapidcheck/catch.h>

#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {
namespace {

TEST_CASE("FleetRetryBudget, every attempt fails, limits retries in any window")
{
  rc::prop("no window has more retries than the budget", [] {
    ExtraBudgetOptions options;
    options.slack = *rc::gen::inRange(0, 200);
    options.share = 0.1 * *rc::gen::inRange(0, 5);
    ExtraBudget budget(options);
    Random random(*rc::gen::arbitrary<std::uint32_t>());
    std::exponential_distribution<double> gap(50);
    TimePoint now{ std::chrono::hours(1) };
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
    for (int i = 0; i < 2000; ++i) {
      now += std::chrono::duration_cast<Duration>(Seconds(gap(random)));
      budget.NoteRequest("s", now);
      requests.push_back(now);
      if (budget.Take("s", now, random).allowed) {
        retries.push_back(now);
      }
      const auto within = [&](const std::vector<TimePoint>& aTimes) {
        return static_cast<double>(
          aTimes.end() -
          std::lower_bound(aTimes.begin(), aTimes.end(), now - options.window));
      };
      RC_ASSERT(within(retries) <=
                options.share * within(requests) * 1.06 + options.slack + 1);
    }
  });
}

TEST_CASE("FleetRetryBudget, spent by other daemons, refuses a retry")
{
  ExtraBudget budget({});
  Random random(1);
  const TimePoint now{ std::chrono::hours(1) };
  budget.NoteOthers(ShortHash("s"), 10, 60, now);
  CHECK_FALSE(budget.Take("s", now, random).allowed);
  CHECK(budget.Take("other", now, random).allowed);
}

/// Guards against less urgent requests that spend what is left to others.
TEST_CASE("FleetRetryBudget, request leaves a reserve, is refused before more "
          "urgent ones")
{
  ExtraBudget budget({});
  Random random(1);
  const TimePoint now{ std::chrono::hours(1) };
  // The budget is 45, of which half may be spent at once.
  budget.NoteOthers(ShortHash("s"), 0, 10, now);
  CHECK(budget.Take("s", now, random, 0.5).allowed);
  CHECK_FALSE(budget.Take("s", now, random, 0.6).allowed);
  CHECK(budget.Take("s", now, random).allowed);
}

/// Guards against daemons that each spend what is left before one knows what
/// the others have spent.
TEST_CASE("RetryBudget, all daemons decide at one moment, spend what is left "
          "once")
{
  for (const int daemons : { 10, 100, 444 }) {
    for (const int spentBefore : { 0, 100, 150 }) {
      Random random(static_cast<std::uint32_t>(daemons));
      const TimePoint now{ std::chrono::hours(1) };
      ExtraBudgetOptions options;
      options.slack = 100;
      int spent = spentBefore;
      for (int daemon = 0; daemon < daemons; ++daemon) {
        ExtraBudget budget(options);
        budget.SetFleet(static_cast<std::size_t>(daemons), Milliseconds(500));
        budget.NoteOthers(
          ShortHash("s"), 500, static_cast<std::uint32_t>(spentBefore), now);
        for (int i = 0; i < 300; ++i) {
          spent += budget.Take("s", now + Milliseconds(i), random).allowed;
        }
      }
      CHECK(spent <= 200); // 0.2 for each of 500 requests, and the slack.
      CHECK(spent >= std::max(spentBefore, 75)); // Of a burst of 90.
    }
  }
}

TEST_CASE("RetryBudget, this daemon's reports do not arrive, spends its part "
          "of what is left once")
{
  ExtraBudget budget({});
  Random random(1);
  TimePoint now{ std::chrono::hours(1) };
  budget.SetFleet(9, Milliseconds(500));
  budget.SetReportedUntil(now);
  int spent = 0;
  for (int i = 0; i < 50; ++i) {
    spent += budget.Take("s", now += Milliseconds(100), random).allowed;
  }
  CHECK(spent >= 3); // Of 45, a half at once and the other over a window.
  CHECK(spent <= 6);
  budget.SetReportedUntil(now);
  CHECK(budget.Take("s", now += Milliseconds(600), random).allowed);
}

class StartedDaemonFixture
{
protected:
  /// A snapshot of a service whose requests and retries were counted just now.
  static RetriesReply SnapshotOf(std::uint32_t aKnownMs, std::uint32_t aRetries)
  {
    RetriesReply reply;
    reply.known_ms = aKnownMs;
    reply.services = { { ShortHash("s"), { { 100, 100, aRetries } } } };
    return reply;
  }

  TimePoint m_now{ std::chrono::hours(1) };
  Random m_random{ 1 };
  ExtraBudget m_budget{ {} };
};

TEST_CASE_METHOD(StartedDaemonFixture,
                 "RetryBudget, daemon has just started, spends nothing until "
                 "another one tells the window")
{
  m_budget.ForgetBefore(m_now);
  CHECK_FALSE(m_budget.Take("s", m_now, m_random).allowed);
  m_budget.Merge(SnapshotOf(10000, 10), m_now);
  const RetryDecision decision = m_budget.Take("s", m_now, m_random);
  CHECK(decision.allowed);
  CHECK(decision.spent == 10);
  CHECK(decision.known == std::chrono::seconds(10));
}

/// Guards against daemons that spend after each kill what was spent before it,
/// and against a fleet that spends nothing for a window after a kill.
TEST_CASE(
  "RetryBudget, all is forgotten at random moments, keeps the budget in "
  "any window and half of its rate is usable at once")
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    ExtraBudgetOptions options;
    TimePoint now{ std::chrono::hours(1) };
    auto budget = std::make_unique<ExtraBudget>(options);
    budget->SetFleet(2, Milliseconds(0)); // All is known at once.
    std::vector<TimePoint> retries;
    TimePoint killed = now;
    std::uniform_int_distribution<int> percent(0, 999);
    for (int i = 0; i < 8000; ++i) { // 20 requests a second.
      now += Milliseconds(10);
      if (percent(random) < 2) {
        budget = std::make_unique<ExtraBudget>(options);
        budget->SetFleet(2, Milliseconds(0));
        budget->ForgetBefore(now);
        killed = now;
      }
      if (i % 5 == 0) {
        budget->NoteRequest("s", now);
      }
      if (budget->Take("s", now, random).allowed) {
        retries.push_back(now);
      }
      const auto since = [&](TimePoint aThen) {
        return retries.end() -
               std::lower_bound(retries.begin(), retries.end(), aThen);
      };
      REQUIRE(since(now - options.window) <= 90); // 0.2 of 200, and 50.
      if (now - killed == Milliseconds(2000)) {
        // Half of the rate, with the margin, is 4 a second.
        CHECK(since(killed) >= 6);
      }
    }
  }
}

/// Guards against a daemon that takes the slack for its own, as it knows none
/// of those that have started with it.
TEST_CASE_METHOD(StartedDaemonFixture,
                 "RetryBudget, daemon has started and knows no other one, "
                 "spends only what its requests allow")
{
  m_budget.ForgetBefore(m_now);
  int spent = 0;
  for (int i = 0; i < 90; ++i) {
    m_now += Milliseconds(100);
    m_budget.NoteRequest("s", m_now);
    spent += m_budget.Take("s", m_now, m_random).allowed ? 1 : 0;
  }
  CHECK(spent <= 9); // Half of 0.2 of 90.
}

TEST_CASE_METHOD(StartedDaemonFixture,
                 "RetryBudget, snapshot with extreme values, spends nothing "
                 "for a window and no longer")
{
  constexpr std::uint32_t kMax = 0xffffffff;
  RetriesReply snapshot = SnapshotOf(kMax, kMax);
  snapshot.services.resize(100'000, { 7, { { kMax, kMax, kMax } } });
  m_budget.ForgetBefore(m_now);
  m_budget.Merge(snapshot, m_now);
  CHECK_FALSE(m_budget.Take("s", m_now, m_random).allowed);
  CHECK(m_budget.Snapshot({ 10000 }, m_now).services.size() == 1);
  m_now += std::chrono::seconds(11);
  CHECK(m_budget.Take("s", m_now, m_random).allowed);
}

TEST_CASE_METHOD(StartedDaemonFixture,
                 "RetryBudget, asker has windows of another length, tells it "
                 "that nothing is known")
{
  m_budget.NoteOthers(ShortHash("s"), 10, 10, m_now);
  CHECK(m_budget.Snapshot({ 10000 }, m_now).known_ms == 10000);
  const RetriesReply other = m_budget.Snapshot({ 5000 }, m_now);
  CHECK(other.known_ms == 0);
  CHECK(other.services.empty());
}

} // namespace
} // namespace sapphirelane
