#ifndef SAPPHIRELANE_RELAY_SPREADER_H
#define SAPPHIRELANE_RELAY_SPREADER_H

#include <string>
#include <utility>
#include <vector>

#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/store_fleet.h"

namespace sapphirelane {

/// @brief Sends news to the daemons of a fleet.
///
/// Each daemon of the own data centre gets it directly, those of another one
/// from a daemon there that sends it on.
class Spreader
{
public:
  /// @param aPeers Outlives the spreader, as do the others.
  Spreader(StoreFleetEnv& aEnv, const PeerBook& aPeers, Random& aRandom)
    : m_env(aEnv)
    , m_peers(aPeers)
    , m_random(aRandom)
  {
  }

  /// @brief Draws daemons that send on in each other data centre.
  std::vector<std::string> Relays(std::size_t aCount, TimePoint aNow) const
  {
    return m_peers.Relays(aCount, aNow, m_random);
  }

  /// @brief The same of one data centre.
  std::vector<std::string> RelaysOf(const std::string& aCentre,
                                    std::size_t aCount,
                                    TimePoint aNow) const
  {
    return m_peers.RelaysOf(aCentre, aCount, aNow, m_random);
  }

  /// @brief Sends to the own data centre and to relays of the others.
  template<typename News>
  void Spread(News aNews,
              const std::vector<std::string>& aRelays,
              TimePoint aNow) const
  {
    SpreadOn(aNews, aNow);
    SendOn(std::move(aNews), aRelays);
  }

  /// @brief Sends to the own data centre only.
  template<typename News>
  void SpreadOn(News aNews, TimePoint aNow) const
  {
    aNews.spread = false;
    m_env.Send(m_peers.Neighbours(aNow), std::move(aNews));
  }

  /// @brief Sends to daemons that send it on in their data centres.
  template<typename News>
  void SendOn(News aNews, const std::vector<std::string>& aRelays) const
  {
    aNews.spread = true;
    m_env.Send(aRelays, std::move(aNews));
  }

private:
  StoreFleetEnv& m_env;
  const PeerBook& m_peers;
  Random& m_random;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_SPREADER_H
