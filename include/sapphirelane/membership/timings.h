#ifndef SAPPHIRELANE_MEMBERSHIP_TIMINGS_H
#define SAPPHIRELANE_MEMBERSHIP_TIMINGS_H

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Duration of the lease under which a daemon acts on its head, counted
/// from the moment at which the head was known to be the newest.
constexpr Milliseconds kFreshFor{ 2400 };

/// @brief Extra wait of a new holder beyond the lease of the earlier one, for
/// clocks that run at different rates.
constexpr Milliseconds kDriftMargin{ 100 };

/// @brief Interval at which a polling daemon reads the head from the platform.
constexpr Milliseconds kPollPeriod{ 500 };

/// @brief Interval between two rounds of freshness queries to other daemons.
constexpr Milliseconds kQuestionPeriod{ 400 };

/// @brief Age of the newest freshness evidence above which a daemon also
/// queries random members and the witnesses.
constexpr Milliseconds kStaleEvidence{ 1400 };

/// @brief Interval between two heartbeats to the ring neighbours.
constexpr Milliseconds kHeartbeatPeriod{ 300 };

/// @brief Silence after which a ring neighbour is suspected.
constexpr Milliseconds kSuspectAfter{ 1500 };

/// @brief Time after which a report of suspicion expires.
constexpr Milliseconds kReportLife{ 2000 };

/// @brief Interval between two attempts to write a new map, before jitter.
constexpr Milliseconds kMapWritePeriod{ 500 };

/// @brief Time without an answer after which a request is retransmitted.
constexpr Milliseconds kResendAfter{ 40 };

/// @brief Time limit for a majority of the witnesses to record a write intent.
constexpr Milliseconds kIntentPatience{ 600 };

/// @brief Age above which an open write intent counts as orphaned: a witness
/// then writes a head of its own, which closes the intent.
constexpr Milliseconds kOrphanAge{ 1500 };

/// @brief Maximum number of witnesses in a head.
constexpr std::size_t kMostWitnesses = 15;

/// @brief Number of ring neighbours that a daemon sends heartbeats to.
constexpr std::size_t kRingNeighbours = 4;

/// @brief Number of daemons in each data centre that read the head from the
/// platform; the others query these.
constexpr std::size_t kPollersPerDataCentre = 3;

/// @brief Fan-out of the query tree in a data centre: the factor by which each
/// level is larger than the one above.
constexpr std::size_t kEvidenceFanOut = 6;

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_TIMINGS_H
