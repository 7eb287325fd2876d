#ifndef SAPPHIRELANE_MEMBERSHIP_MAP_PROPOSER_H
#define SAPPHIRELANE_MEMBERSHIP_MAP_PROPOSER_H

#include <optional>

#include "sapphirelane/membership/head.h"
#include "sapphirelane/membership/peers.h"
#include "sapphirelane/membership/ring_monitor.h"
#include "sapphirelane/membership/shard_keeper.h"

namespace sapphirelane {

/// @brief Where a daemon stands with respect to its own planned stop.
struct StopState
{
  bool stopping = false;
  bool claims_kept = false; ///< Enough others remember all of its claims.
};

/// @brief Decides when the fleet needs another map, and which.
class MapProposer
{
public:
  MapProposer(NodeId aSelf,
              const RingMonitor& aRing,
              const ShardKeeper& aShards,
              const Peers& aPeers);

  /// @brief Tells whether this daemon should write another map now.
  /// @param aHead The head that is held, if any.
  bool Wants(const std::optional<Head>& aHead,
             const StopState& aStop,
             TimePoint aNow) const;

  /// @brief Makes the head that follows another one.
  /// @param aEvenSame Give one with the same members if nothing changes.
  /// @return Nothing if no other map is needed.
  std::optional<Head> Next(const Head& aBase,
                           const StopState& aStop,
                           bool aEvenSame,
                           TimePoint aNow) const;

private:
  std::vector<MemberInfo> Joining(const Head& aBase,
                                  const StopState& aStop,
                                  TimePoint aNow) const;
  std::vector<Departed> Leaving(const Head& aBase,
                                const StopState& aStop,
                                TimePoint aNow) const;

  NodeId m_self;
  const RingMonitor& m_ring;
  const ShardKeeper& m_shards;
  const Peers& m_peers;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_MAP_PROPOSER_H
