#include "sapphirelane/admission/token_bucket.h"

#include <algorithm>

namespace sapphirelane {

namespace {

/// Retention of peak levels: no token is refunded later than this.
constexpr std::chrono::seconds kPeakRetention{ 4 };

} // namespace

TokenBucket::TokenBucket(double aLevel, TimePoint aNow)
  : m_level(aLevel)
  , m_created(aNow)
  , m_time(aNow)
{
}

void
TokenBucket::SetLimits(double aRate, double aCapacity, TimePoint aNow)
{
  const bool isUnset = m_rate == 0;
  if (isUnset) {
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
  while (!m_reserved.empty() && m_reserved.front() <= aNow) {
    const TimePoint time = m_reserved.front();
    m_reserved.pop_front();
    m_level = LevelAt(m_level, m_time, time);
    m_time = time;
    RecordPeak(time, m_level);
    m_level -= 1;
  }
  if (aNow > m_time) {
    m_level = LevelAt(m_level, m_time, aNow);
    m_time = aNow;
  }
  RecordPeak(m_time, m_level);
}

void
TokenBucket::RecordPeak(TimePoint aTime, double aLevel)
{
  while (!m_peaks.empty() && m_peaks.back().level <= aLevel) {
    m_peaks.pop_back();
  }
  m_peaks.push_back({ aTime, aLevel });
  while (aTime - m_peaks.front().time > kPeakRetention) {
    m_peaks.pop_front();
  }
}

TimePoint
TokenBucket::TimeOfNextToken(double aLevel, TimePoint aFrom) const
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
  // One more token may be spent only after the last reservation that leaves
  // less than one token.
  double level = m_level;
  TimePoint time = m_time;
  TimePoint earliest = TimeOfNextToken(level, time);
  for (const TimePoint& reservation : m_reserved) {
    level = LevelAt(level, time, reservation) - 1;
    time = reservation;
    if (level < 1) {
      earliest = TimeOfNextToken(level, time);
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
  auto position = std::upper_bound(m_reserved.begin(), m_reserved.end(), from);
  m_reserved.insert(position, from);
  return from;
}

void
TokenBucket::Return(TimePoint aFrom, TimePoint aNow)
{
  Advance(aNow);
  auto reservation =
    std::lower_bound(m_reserved.begin(), m_reserved.end(), aFrom);
  if (reservation != m_reserved.end() && *reservation == aFrom) {
    m_reserved.erase(reservation);
    return;
  }
  if (aFrom > m_time || aNow - aFrom > kPeakRetention) {
    return;
  }
  // The highest level since then bounds the credit: at its capacity, the bucket
  // would have lost the token.
  double peak = m_level;
  for (const Peak& recorded : m_peaks) {
    if (recorded.time > aFrom) {
      peak = std::max(peak, recorded.level);
    }
  }
  const double credit = std::clamp(m_capacity - peak, 0.0, 1.0);
  m_level += credit;
  // Raise the recorded levels since then too, so that the room is credited only
  // once.
  for (Peak& recorded : m_peaks) {
    if (recorded.time > aFrom) {
      recorded.level += credit;
    }
  }
  RecordPeak(m_time, m_level);
}

std::optional<TimePoint>
TokenBucket::LastPromise(TimePoint aNow)
{
  Advance(aNow);
  if (!m_reserved.empty()) {
    return m_reserved.back();
  }
  // A bucket from a hand-over may start at a later time.
  return m_time > aNow ? std::optional<TimePoint>(m_time) : std::nullopt;
}

double
TokenBucket::Level(TimePoint aNow)
{
  Advance(aNow);
  return m_level - static_cast<double>(m_reserved.size());
}

} // namespace sapphirelane
