#ifndef SAPPHIRELANE_MEMBERSHIP_TIMINGS_H
#define SAPPHIRELANE_MEMBERSHIP_TIMINGS_H

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief How long evidence that a head is the newest lets a daemon act on it.
constexpr Milliseconds kFreshFor{ 2400 };

/// @brief Added to kFreshFor by a new holder, for clocks that drift.
constexpr Milliseconds kDriftMargin{ 100 };

/// @brief Between two reads of the head by one daemon that polls.
constexpr Milliseconds kPollPeriod{ 500 };

/// @brief Between two rounds of questions for evidence.
constexpr Milliseconds kQuestionPeriod{ 400 };

/// @brief Age of evidence from which a daemon asks more widely.
constexpr Milliseconds kStaleEvidence{ 1400 };

/// @brief Between two heartbeats to the ring neighbours.
constexpr Milliseconds kHeartbeatPeriod{ 300 };

/// @brief Silence after which a ring neighbour is suspected.
constexpr Milliseconds kSuspectAfter{ 1500 };

/// @brief How long a report of suspicion counts.
constexpr Milliseconds kReportLife{ 2000 };

/// @brief Between two tries to write a new map.
constexpr Milliseconds kMapWritePeriod{ 500 };

/// @brief After this time without an answer a question is sent again.
constexpr Milliseconds kResendAfter{ 40 };

/// @brief Patience for the witnesses to record an intent.
constexpr Milliseconds kIntentPatience{ 600 };

/// @brief Age of an open intent from which a witness closes it by a write.
constexpr Milliseconds kOrphanAge{ 1500 };

/// @brief Witnesses named by a head, at the most.
constexpr std::size_t kMostWitnesses = 15;

/// @brief Ring neighbours that hear a daemon's heartbeat.
constexpr std::size_t kRingNeighbours = 4;

/// @brief Daemons of one data centre that read the head from the platform.
constexpr std::size_t kPollersPerDataCentre = 3;

/// @brief Daemons that ask the same daemon for evidence, at the most.
constexpr std::size_t kEvidenceFanOut = 6;

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_TIMINGS_H
