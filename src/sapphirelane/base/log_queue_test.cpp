#include "sapphirelane/base/log_queue.h"

#include <rapidcheck/catch.h>

namespace sapphirelane {
namespace {

class LogQueueFixture
{
protected:
  static LogQueueOptions Small()
  {
    LogQueueOptions options;
    options.bytes = 100;
    options.rate = 10;
    options.burst = 5;
    return options;
  }

  LogQueue m_queue{ Small() };
  TimePoint m_now{ Milliseconds(1000) };
};

TEST_CASE_METHOD(LogQueueFixture,
                 "LogQueue, part that floods, leaves out and counts, other "
                 "parts unharmed")
{
  std::size_t kept = 0;
  for (int i = 0; i < 20; ++i) {
    kept += m_queue.Push("route", "x", m_now) ? 1 : 0;
  }
  CHECK(kept == 5);
  CHECK(m_queue.Push("admit", "y", m_now));
  const auto leftOut = m_queue.TakeLeftOut();
  CHECK(leftOut == std::map<std::string, std::uint64_t>{ { "route", 15 } });
  CHECK(m_queue.TakeLeftOut().empty());
  CHECK(m_queue.Push("route", "z", m_now + Milliseconds(100)));
}

TEST_CASE_METHOD(LogQueueFixture,
                 "LogQueue, writer that takes nothing, holds no more than its "
                 "bytes")
{
  const std::string line(40, 'x');
  CHECK(m_queue.Push("a", line, m_now));
  CHECK(m_queue.Push("b", line, m_now));
  CHECK_FALSE(m_queue.Push("c", line, m_now));
  CHECK(m_queue.Take().size() == 2);
  CHECK(m_queue.Push("c", line, m_now));
}

TEST_CASE_METHOD(LogQueueFixture,
                 "LogQueue, any lines, all are kept in order or counted")
{
  rc::prop("none is lost without being counted", [] {
    LogQueue queue(Small());
    TimePoint now{ Milliseconds(1) };
    std::uint64_t pushed = 0;
    std::uint64_t taken = 0;
    std::string last;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
    for (const int step : steps) {
      now += Milliseconds(step);
      std::string line = std::to_string(1'000'000 + pushed);
      ++pushed;
      queue.Push("p", line, now);
      if (step % 3 == 0) {
        for (const std::string& one : queue.Take()) {
          RC_ASSERT(one > last);
          last = one;
          ++taken;
        }
      }
    }
    taken += queue.Take().size();
    std::uint64_t leftOut = 0;
    for (const auto& entry : queue.TakeLeftOut()) {
      leftOut += entry.second;
    }
    RC_ASSERT(taken + leftOut == pushed);
  });
}

} // namespace
} // namespace sapphirelane
