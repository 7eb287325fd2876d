#ifndef SAPPHIRELANE_ADMISSION_TOKEN_BUCKET_H
#define SAPPHIRELANE_ADMISSION_TOKEN_BUCKET_H

#include <deque>
#include <optional>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Token bucket with reservations of future tokens and refunds.
///
/// A reserved token is spent at the time from which it may be used. A refund
/// restores the level as if the token had never been spent: what the bucket
/// would have lost since then by being full is not credited.
class TokenBucket
{
public:
  /// @param aLevel Initial number of tokens.
  TokenBucket(double aLevel, TimePoint aNow);

  /// @brief Sets rate and capacity from now on.
  /// @param aRate Tokens per second.
  void SetLimits(double aRate, double aCapacity, TimePoint aNow);

  /// @brief Time at which this bucket was created.
  TimePoint Begun() const { return m_created; }

  /// @brief Spends one token, or reserves one for the earliest possible time.
  /// @param aLatest No token is reserved for a later time.
  /// @return Time from which the token may be used, or nothing.
  std::optional<TimePoint> Take(TimePoint aLatest, TimePoint aNow);

  /// @brief Earliest time for which a token is available.
  TimePoint Earliest(TimePoint aNow);

  /// @brief Refunds a token that was not used and won't be.
  /// @param aFrom Time from which the token could be used.
  void Return(TimePoint aFrom, TimePoint aNow);

  /// @brief Time at which the last reserved token is spent.
  std::optional<TimePoint> LastPromise(TimePoint aNow);

  /// @brief Tokens left after all reservations; may be negative.
  double Level(TimePoint aNow);

private:
  struct Peak
  {
    TimePoint time{};
    double level = 0;
  };

  double LevelAt(double aLevel, TimePoint aFrom, TimePoint aTo) const;
  void Advance(TimePoint aNow);
  void RecordPeak(TimePoint aTime, double aLevel);
  TimePoint TimeOfNextToken(double aLevel, TimePoint aFrom) const;

  double m_rate = 0;
  double m_capacity = 0;
  double m_level; ///< At m_time.
  TimePoint m_created;
  TimePoint m_time;
  std::deque<TimePoint> m_reserved; ///< Times after m_time, ascending.
  std::deque<Peak> m_peaks;         ///< Falling levels, times ascending.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_TOKEN_BUCKET_H
