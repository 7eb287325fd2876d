#include "sapphirelane/admission/token_bucket.h"

#include <algorithm>

namespace sapphirelane {

namespace {

/// Peaks older than this are not asked for: no token comes back so late.
constexpr std::chrono::seconds kPeakMemory{ 4 };

} // namespace

TokenBucket::TokenBucket(double aLevel, TimePoint aNow)
  : m_level(aLevel)
  , m_begun(aNow)
  , m_time(aNow)
{
}

void
TokenBucket::SetLimits(double aRate, double aCapacity, TimePoint aNow)
{
  const bool first = m_rate == 0;
  if (first) {
    m_rate = aRate;
    m_capacity = aCapacity;
  }
  Advance(aNow);
  m_rate = aRate;
  m_capacity = aCapacity;
  m_level = std::min(m_level, m_capacity);
}

double
TokenBucket::LevelAt(double aLevel, TimePoint aFrom, TimePoint aTo) const
{
  return std::min(m_capacity, aLevel + ToSeconds(aTo - aFrom) * m_rate);
}

void
TokenBucket::Advance(TimePoint aNow)
{
  while (!m_promised.empty() && m_promised.front() <= aNow) {
    const TimePoint time = m_promised.front();
    m_promised.pop_front();
    m_level = LevelAt(m_level, m_time, time);
    m_time = time;
    NotePeak(time, m_level);
    m_level -= 1;
  }
  if (aNow > m_time) {
    m_level = LevelAt(m_level, m_time, aNow);
    m_time = aNow;
  }
  NotePeak(m_time, m_level);
}

void
TokenBucket::NotePeak(TimePoint aTime, double aLevel)
{
  while (!m_peaks.empty() && m_peaks.back().level <= aLevel) {
    m_peaks.pop_back();
  }
  m_peaks.push_back({ aTime, aLevel });
  while (aTime - m_peaks.front().time > kPeakMemory) {
    m_peaks.pop_front();
  }
}

TimePoint
TokenBucket::WhenOne(double aLevel, TimePoint aFrom) const
{
  if (aLevel >= 1) {
    return aFrom;
  }
  const Seconds wait((1 - aLevel) / m_rate);
  return aFrom + std::chrono::ceil<Duration>(wait);
}

TimePoint
TokenBucket::Earliest(TimePoint aNow)
{
  Advance(aNow);
  // One more token may be spent after the last promise that leaves less than
  // one token.
  double level = m_level;
  TimePoint time = m_time;
  TimePoint earliest = WhenOne(level, time);
  for (const TimePoint& promise : m_promised) {
    level = LevelAt(level, time, promise) - 1;
    time = promise;
    if (level < 1) {
      earliest = WhenOne(level, time);
    }
  }
  return std::max(earliest, aNow);
}

std::optional<TimePoint>
TokenBucket::Take(TimePoint aLatest, TimePoint aNow)
{
  const TimePoint from = Earliest(aNow);
  if (from > aLatest) {
    return std::nullopt;
  }
  if (from <= m_time) {
    m_level -= 1;
    return from;
  }
  auto place = std::upper_bound(m_promised.begin(), m_promised.end(), from);
  m_promised.insert(place, from);
  return from;
}

void
TokenBucket::Return(TimePoint aFrom, TimePoint aNow)
{
  Advance(aNow);
  auto promise = std::lower_bound(m_promised.begin(), m_promised.end(), aFrom);
  if (promise != m_promised.end() && *promise == aFrom) {
    m_promised.erase(promise);
    return;
  }
  if (aFrom > m_time || aNow - aFrom > kPeakMemory) {
    return;
  }
  // The fullest that the bucket was since then bounds what it would hold.
  double peak = m_level;
  for (const Peak& one : m_peaks) {
    if (one.time > aFrom) {
      peak = std::max(peak, one.level);
    }
  }
  const double credit = std::clamp(m_capacity - peak, 0.0, 1.0);
  m_level += credit;
  // The bucket would have been fuller all the time since.
  for (Peak& one : m_peaks) {
    if (one.time > aFrom) {
      one.level += credit;
    }
  }
  NotePeak(m_time, m_level);
}

std::optional<TimePoint>
TokenBucket::LastPromise(TimePoint aNow)
{
  Advance(aNow);
  if (!m_promised.empty()) {
    return m_promised.back();
  }
  // A bucket that was itself taken over may begin at a later moment.
  return m_time > aNow ? std::optional<TimePoint>(m_time) : std::nullopt;
}

double
TokenBucket::Level(TimePoint aNow)
{
  Advance(aNow);
  return m_level - static_cast<double>(m_promised.size());
}

} // namespace sapphirelane
