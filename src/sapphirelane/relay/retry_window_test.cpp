#include "sapphirelane/relay/retry_window.h"

#include <algorithm>
#include <random>

#include <rapidcheck/catch.h>

namespace sapphirelane {
namespace {

class RetryWindowFixture
{
protected:
  /// Lets windows count the same, at moments of their own intervals.
  void CountEverywhere(int aSteps)
  {
    for (int i = 0; i < aSteps; ++i) {
      m_now += Milliseconds(70);
      m_left.Add(3, 1, m_now);
      m_right.Add(3, 1, m_now);
    }
  }

  TimePoint m_now{ std::chrono::hours(1) };
  RetryWindow m_left{ std::chrono::seconds(10) };
  RetryWindow m_right{ std::chrono::seconds(10) };
};

TEST_CASE_METHOD(RetryWindowFixture,
                 "RetryWindow, empty, takes over all that another one holds")
{
  for (int i = 0; i < 30; ++i) {
    m_left.Add(10, 2, m_now += Milliseconds(300));
  }
  m_right.RaiseTo(m_left.Parts(m_now), m_now);
  CHECK(m_right.Requests(m_now) == 300);
  CHECK(m_right.Retries(m_now) == 60);
  m_now += std::chrono::seconds(5);
  CHECK(m_right.Retries(m_now) == m_left.Retries(m_now));
}

TEST_CASE_METHOD(
  RetryWindowFixture,
  "RetryWindow, other one has counted the same, is not raised by "
  "any number of merges")
{
  m_left.Add(0, 0, m_now);
  m_right.Add(0, 0, m_now + Milliseconds(230)); // Shifts its intervals.
  m_now += Milliseconds(230);
  for (int round = 0; round < 10; ++round) {
    CountEverywhere(20);
    m_right.RaiseTo(m_left.Parts(m_now), m_now);
    m_left.RaiseTo(m_right.Parts(m_now), m_now);
    CHECK(m_left.Retries(m_now) <= 151); // Of 10.5 s.
    CHECK(m_right.Retries(m_now) <= 151);
    CHECK(m_right.Requests(m_now) <= 453);
  }
}

TEST_CASE("RetryWindow, merged in any order and repeatedly, is never lowered "
          "and holds what any of them held")
{
  rc::prop("a merge keeps the larger count", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint32_t>());
    std::uniform_int_distribution<int> count(0, 9);
    TimePoint now{ std::chrono::hours(1) };
    std::vector<RetryWindow> windows(3, RetryWindow(std::chrono::seconds(10)));
    for (int i = 0; i < 60; ++i) {
      now += Milliseconds(10 * count(random));
      windows[static_cast<std::size_t>(count(random) % 3)].Add(
        count(random), count(random), now);
    }
    RetryWindow merged(std::chrono::seconds(10));
    std::vector<std::size_t> order = { 0, 1, 2, 0, 1, 2 };
    std::shuffle(order.begin(), order.end(), random);
    for (const std::size_t i : order) {
      const double held = merged.Retries(now);
      merged.RaiseTo(windows[i].Parts(now), now);
      RC_ASSERT(merged.Retries(now) >= held);
    }
    double sum = 0;
    for (RetryWindow& window : windows) {
      RC_ASSERT(merged.Retries(now) >= window.Retries(now));
      RC_ASSERT(merged.Requests(now) >= window.Requests(now));
      sum += window.Retries(now);
    }
    RC_ASSERT(merged.Retries(now) <= sum);
  });
}

TEST_CASE_METHOD(
  RetryWindowFixture,
  "RetryWindow, parts that are too old or too many, ignores them")
{
  m_left.RaiseTo({ { 10600, 5, 5 }, { 4'000'000'000, 5, 5 } }, m_now);
  CHECK(m_left.Retries(m_now) == 0);
  m_left.RaiseTo(std::vector<WindowPart>(100'000, { 100, 1, 1 }), m_now);
  CHECK(m_left.Retries(m_now) == 60);
}

} // namespace
} // namespace sapphirelane
