#include "sapphirelane/relay/transfer_budget.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

/// A budget of 250 kB a second and 64 kB at once.
class TransferBudgetFixture
{
protected:
  /// Asks for answers of a size all the time.
  /// @return Bytes that were granted in a time.
  double Granted(std::size_t aBytes, Duration aTime)
  {
    double granted = 0;
    for (const TimePoint end = m_now + aTime; m_now < end;
         m_now += Milliseconds(5)) {
      while (m_budget.TryTake(aBytes, m_now)) {
        granted += static_cast<double>(aBytes);
      }
    }
    return granted;
  }

  TransferBudget m_budget;
  TimePoint m_now{ std::chrono::hours(1) };
};

TEST_CASE_METHOD(TransferBudgetFixture,
                 "TransferBudget, a data centre asks for 40 kB each at once, "
                 "grants some 300 ms of a link of 10 Mbit/s in a second")
{
  constexpr double kMost = 250e3 + 64e3 + 40e3;
  const double granted = Granted(40'000, std::chrono::seconds(1));
  CHECK(granted <= kMost);
  CHECK(granted >= 250e3);
}

TEST_CASE_METHOD(TransferBudgetFixture,
                 "TransferBudget, answer larger than the budget, is granted "
                 "and paid for before the next one")
{
  CHECK(m_budget.TryTake(500'000, m_now));
  CHECK_FALSE(m_budget.TryTake(1, m_now + std::chrono::seconds(1)));
  CHECK(m_budget.TryTake(1, m_now + std::chrono::seconds(2)));
}

TEST_CASE_METHOD(TransferBudgetFixture,
                 "TransferBudget, after a long pause, grants no more than its "
                 "burst at once")
{
  CHECK(m_budget.TryTake(1, m_now));
  m_now += std::chrono::hours(1);
  CHECK(Granted(1000, Milliseconds(5)) <= 65e3);
}

} // namespace
} // namespace sapphirelane
