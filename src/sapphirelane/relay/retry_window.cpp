#include "sapphirelane/relay/retry_window.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Intervals that the sliding window is divided into.
constexpr int kIntervals = 20;

/// Intervals that another daemon's window may have, and up to which those of
/// merged windows are kept apart.
constexpr std::size_t kMaxParts = 60;

std::uint32_t
RoundedUp(double aCount)
{
  constexpr double kMaxCount = 4'000'000'000;
  return static_cast<std::uint32_t>(std::ceil(std::min(aCount, kMaxCount)));
}

} // namespace

RetryWindow::RetryWindow(Duration aLength)
  : m_length(aLength)
  , m_interval(aLength / kIntervals)
{
}

/// An interval counts until all of it has left the window.
void
RetryWindow::DropExpired(TimePoint aNow)
{
  while (!m_intervals.empty() &&
         aNow - m_intervals.front().start > m_length + m_interval) {
    m_intervals.pop_front();
  }
}

void
RetryWindow::Add(double aRequests, double aRetries, TimePoint aNow)
{
  DropExpired(aNow);
  if (m_intervals.empty() || aNow - m_intervals.back().start >= m_interval) {
    m_intervals.push_back({ aNow, 0, 0 });
  }
  m_intervals.back().requests += aRequests;
  m_intervals.back().retries += aRetries;
}

double
RetryWindow::Requests(TimePoint aNow)
{
  DropExpired(aNow);
  return SumSince(TimePoint::min()).requests;
}

double
RetryWindow::Retries(TimePoint aNow)
{
  DropExpired(aNow);
  return SumSince(TimePoint::min()).retries;
}

std::vector<RetryCounts>
RetryWindow::CountsSince() const
{
  std::vector<RetryCounts> all;
  RetryCounts sum;
  for (auto it = m_intervals.rbegin(); it != m_intervals.rend(); ++it) {
    sum.since = it->start;
    sum.requests += it->requests;
    sum.retries += it->retries;
    all.push_back(sum);
  }
  return all;
}

std::vector<WindowPart>
RetryWindow::Parts(TimePoint aNow)
{
  DropExpired(aNow);
  std::vector<WindowPart> parts;
  for (const Interval& interval : m_intervals) {
    const auto age = ToMilliseconds(aNow - interval.start).count();
    parts.push_back({ static_cast<std::uint32_t>(age),
                      RoundedUp(interval.requests),
                      RoundedUp(interval.retries) });
  }
  return parts;
}

RetryWindow::Interval
RetryWindow::SumSince(TimePoint aStart) const
{
  Interval sum;
  for (auto interval = m_intervals.rbegin();
       interval != m_intervals.rend() && interval->start >= aStart;
       ++interval) {
    sum.requests += interval->requests;
    sum.retries += interval->retries;
  }
  return sum;
}

/// The interval that starts at a moment. If there are too many, it is the next
/// later one.
RetryWindow::Interval&
RetryWindow::IntervalFrom(TimePoint aStart)
{
  const auto found =
    std::find_if(m_intervals.begin(),
                 m_intervals.end(),
                 [&](const Interval& aItem) { return aItem.start >= aStart; });
  const bool exists =
    found != m_intervals.end() &&
    (found->start == aStart || m_intervals.size() > kMaxParts);
  return exists ? *found : *m_intervals.insert(found, { aStart, 0, 0 });
}

void
RetryWindow::RaiseTo(std::vector<WindowPart> aParts, TimePoint aNow)
{
  std::sort(aParts.begin(),
            aParts.end(),
            [](const WindowPart& aLeft, const WindowPart& aRight) {
              return aLeft.age_ms < aRight.age_ms;
            });
  aParts.resize(std::min(aParts.size(), kMaxParts));
  DropExpired(aNow);
  Interval others;
  for (const WindowPart& part : aParts) {
    const TimePoint start = aNow - Milliseconds(part.age_ms);
    if (aNow - start > m_length + m_interval) {
      return;
    }
    others.requests += part.requests;
    others.retries += part.retries;
    // What this window holds in an interval that began before the other's may
    // have been counted after the start of that one.
    const Interval own = SumSince(start - m_interval);
    if (others.requests > own.requests || others.retries > own.retries) {
      Interval& interval = IntervalFrom(start);
      interval.requests += std::max(0.0, others.requests - own.requests);
      interval.retries += std::max(0.0, others.retries - own.retries);
    }
  }
}

} // namespace sapphirelane
