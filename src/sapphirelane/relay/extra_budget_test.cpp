#include "sapphirelane/relay/extra_budget.h"

#include <algorithm>
#include <vector>

#include <rapidcheck/catch.h>

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
      budget.NoteRequests("s", 1, now);
      requests.push_back(now);
      if (budget.Take("s", now).allowed) {
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
  const TimePoint now{ std::chrono::hours(1) };
  budget.NoteRequests("s", 10, now);
  budget.NoteExtras("s", 60, now);
  CHECK_FALSE(budget.Take("s", now).allowed);
  CHECK(budget.Take("other", now).allowed);
}

} // namespace
} // namespace sapphirelane
