#ifndef SAPPHIRELANE_ROUTING_RETRY_SCHEDULE_H
#define SAPPHIRELANE_ROUTING_RETRY_SCHEDULE_H

#include <cstdint>

#include "sapphirelane/base/time.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief State of a request that no endpoint has served yet, and of its
/// service.
struct RetryCase
{
  /// Latest start that is likely to meet the latency target; the largest time
  /// if there is none.
  TimePoint start_for_target = TimePoint::max();
  /// Latest start that may be answered before the deadline, and before the end
  /// of a planned stop.
  TimePoint start_for_deadline = TimePoint::max();
  Duration mean_latency{ 0 };      ///< Of the service; 0 if unknown.
  std::uint32_t attempts_left = 0; ///< That the request may still make.
  std::uint32_t sheds = 0;         ///< Attempts of it that were shed.
  std::uint32_t waits = 0;         ///< Times that it has waited so far.
  bool due = false;                ///< Its last wait has just ended.
  double shed_share = 0;           ///< Of the service's recent attempts.
  /// Time until the service is expected to have room; the largest duration if
  /// that is not known.
  Duration service_wait{ 0 };
  /// Time until the share is expected to have fallen, see kCalmShedShare.
  Duration recovery{ 0 };
  std::uint32_t priority = 0; ///< 0 is the highest.
};

/// @brief What to do next with such a request.
struct RetryPlan
{
  enum class Action
  {
    Send,   ///< Make an attempt now.
    Wait,   ///< Decide again at a later time.
    GiveUp, ///< Answer now; no further attempt can serve the request.
  };

  Action action = Action::GiveUp;
  TimePoint at{};            ///< When to decide again.
  Duration retry_after{ 0 }; ///< When the caller may come back.
};

/// @brief Share of shed attempts up to which a service counts as having
/// capacity: a retry then succeeds in three of four cases, which is more than
/// waiting longer can gain.
constexpr double kCalmShedShare = 0.25;

/// @brief Decides when a request is sent again that was shed or found no room.
///
/// Load pattern: a service sheds about half of its requests for 5 to 10 s,
/// while targets are 1 to 3 s away and deadlines 5 to 20 s, and a route allows
/// two attempts. Waits grow and are random, so that requests that were shed
/// together do not return together. The last attempt that a request has is held
/// back while the service sheds a large share: until waiting longer would miss
/// the target, then until it would miss the deadline.
class RetrySchedule
{
public:
  /// @brief Decides for a request whose last attempt has ended or whose wait is
  /// over.
  RetryPlan Decide(const RetryCase& aCase,
                   TimePoint aNow,
                   Random& aRandom) const;

  /// @brief Decides for a request that the retry budget or a lack of room has
  /// just kept from being sent: waits, or gives up if there is no time.
  RetryPlan Postpone(const RetryCase& aCase,
                     TimePoint aNow,
                     Random& aRandom) const;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_RETRY_SCHEDULE_H
