#ifndef SAPPHIRELANE_RELAY_SPREADER_H
#define SAPPHIRELANE_RELAY_SPREADER_H

#include <string>
#include <utility>
#include <vector>

#include "sapphirelane/relay/peer_book.h"
#include "sapphirelane/relay/store_fleet.h"

namespace sapphirelane {

/// @brief Sends updates to the daemons of a fleet.
///
/// Daemons of the own data centre get an update directly. In each other data
/// centre a few relays get it and forward it to the daemons there, so that an
/// update crosses the link between two data centres only a few times.
class UpdateSender
{
public:
  /// @param aEnv Must outlive this object, as must the others.
  UpdateSender(StoreFleetEnv& aEnv, const PeerBook& aPeers, Random& aRandom)
    : m_env(aEnv)
    , m_peers(aPeers)
    , m_random(aRandom)
  {
  }

  /// @brief Picks aCount relays in each other data centre at random.
  std::vector<std::string> PickRelays(std::size_t aCount, TimePoint aNow) const
  {
    return m_peers.Relays(aCount, aNow, m_random);
  }

  /// @brief Picks aCount relays in one data centre at random.
  std::vector<std::string> PickRelaysIn(const std::string& aCentre,
                                        std::size_t aCount,
                                        TimePoint aNow) const
  {
    return m_peers.RelaysOf(aCentre, aCount, aNow, m_random);
  }

  /// @brief Sends an update to the own data centre and to relays of the others.
  template<typename Update>
  void SendToAll(Update aUpdate,
                 const std::vector<std::string>& aRelays,
                 TimePoint aNow) const
  {
    SendLocally(aUpdate, aNow);
    SendToRelays(std::move(aUpdate), aRelays);
  }

  /// @brief Sends an update to the live daemons of the own data centre only.
  template<typename Update>
  void SendLocally(Update aUpdate, TimePoint aNow) const
  {
    aUpdate.spread = false;
    m_env.Send(m_peers.Neighbours(aNow), std::move(aUpdate));
  }

  /// @brief Sends an update to some daemons, which do not forward it.
  template<typename Update>
  void SendTo(const std::vector<std::string>& aAddresses, Update aUpdate) const
  {
    aUpdate.spread = false;
    m_env.Send(aAddresses, std::move(aUpdate));
  }

  /// @brief Sends an update to relays, which forward it in their data centres.
  template<typename Update>
  void SendToRelays(Update aUpdate,
                    const std::vector<std::string>& aRelays) const
  {
    aUpdate.spread = true;
    m_env.Send(aRelays, std::move(aUpdate));
  }

  /// @brief Sends a message to one daemon.
  void SendMessage(const std::string& aAddress,
                   const PeerMessage& aMessage) const
  {
    m_env.Send({ aAddress }, aMessage);
  }

private:
  StoreFleetEnv& m_env;
  const PeerBook& m_peers;
  Random& m_random;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_SPREADER_H
