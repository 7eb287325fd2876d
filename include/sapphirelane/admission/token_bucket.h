#ifndef SAPPHIRELANE_ADMISSION_TOKEN_BUCKET_H
#define SAPPHIRELANE_ADMISSION_TOKEN_BUCKET_H

#include <deque>
#include <optional>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Token bucket that can promise tokens ahead and take unused ones back.
///
/// A promised token is spent at the moment from which it may be used. A token
/// that comes back counts as though it had never been spent: what the bucket
/// would have lost meanwhile by being full is not given back.
class TokenBucket
{
public:
  /// @param aLevel Tokens in the bucket at the start.
  TokenBucket(double aLevel, TimePoint aNow);

  /// @brief Sets rate and capacity as they are from now on.
  /// @param aRate Tokens a second.
  void SetLimits(double aRate, double aCapacity, TimePoint aNow);

  /// @brief The moment at which this bucket began.
  TimePoint Begun() const { return m_begun; }

  /// @brief Spends one token at the earliest moment possible.
  /// @param aLatest No token is promised for after this moment.
  /// @return From when the token may be used, or nothing.
  std::optional<TimePoint> Take(TimePoint aLatest, TimePoint aNow);

  /// @brief The earliest moment for which Take could promise a token.
  TimePoint Earliest(TimePoint aNow);

  /// @brief Takes a token back that was not and will not be used.
  /// @param aFrom What Take gave for it.
  void Return(TimePoint aFrom, TimePoint aNow);

  /// @brief When the last token that is promised ahead is spent.
  std::optional<TimePoint> LastPromise(TimePoint aNow);

  /// @brief Tokens left, less those promised ahead; may be below 0.
  double Level(TimePoint aNow);

private:
  struct Peak
  {
    TimePoint time{};
    double level = 0;
  };

  double LevelAt(double aLevel, TimePoint aFrom, TimePoint aTo) const;
  void Advance(TimePoint aNow);
  void NotePeak(TimePoint aTime, double aLevel);
  TimePoint WhenOne(double aLevel, TimePoint aFrom) const;

  double m_rate = 0;
  double m_capacity = 0;
  double m_level;
  TimePoint m_begun;
  TimePoint m_time;
  std::deque<TimePoint> m_promised; ///< Moments after m_time, in order.
  std::deque<Peak> m_peaks;         ///< High levels, times rising.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_TOKEN_BUCKET_H
