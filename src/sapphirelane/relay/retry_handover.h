#ifndef SAPPHIRELANE_RELAY_RETRY_HANDOVER_H
#define SAPPHIRELANE_RELAY_RETRY_HANDOVER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirelane/membership/node_env.h"
#include "sapphirelane/relay/extra_budget.h"
#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/store_fleet.h"

namespace sapphirelane {

/// @brief Lets a daemon that starts know what the fleet has spent of its retry
/// budgets.
///
/// Load pattern: daemons are restarted one after the other, or many of them at
/// once, while a service fails and its retry budget is spent. Each asks some
/// live daemons, which may be as new, slow or gone, until one of them knows the
/// whole window. It asks again until all daemons send it their reports, as what
/// is reported in between reaches it by no other way.
class RetryHandover
{
public:
  /// @param aNewFleet No daemon has run before, so that nothing is spent.
  /// @param aEnv Must outlive this object, as must the others.
  RetryHandover(bool aNewFleet,
                Duration aWindow,
                StoreFleetEnv& aEnv,
                const PeerBook& aPeers,
                ExtraBudget& aRetries,
                Random& aRandom);

  /// @brief Sends the requests that are due. The first call is the start.
  void Tick(TimePoint aNow);

  /// @brief Applies the reply to one of this object's requests.
  /// @return False if the call is not one of them.
  bool OnBulkReply(std::uint64_t aCall,
                   const BulkReply& aReply,
                   TimePoint aNow);

private:
  std::vector<std::string> PickPeers(TimePoint aNow);

  bool m_newFleet;
  FetchRetries m_request;
  StoreFleetEnv& m_env;
  const PeerBook& m_peers;
  ExtraBudget& m_retries;
  Random& m_random;
  TimePoint m_startedAt{};
  TimePoint m_nextRequest{};
  Duration m_interval; ///< Until the request after the next one.
  std::uint64_t m_lastCall;
  std::map<std::uint64_t, std::string> m_pending; ///< Addresses by call.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_RETRY_HANDOVER_H
