#ifndef SAPPHIRELANE_MEMBERSHIP_PEERS_H
#define SAPPHIRELANE_MEMBERSHIP_PEERS_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/membership/head.h"
#include "sapphirelane/membership/node_env.h"
#include "sapphirelane/routing/random.h"

namespace sapphirelane {

/// @brief Addresses of other daemons, from the head and from what is heard.
class Peers
{
public:
  Peers(NodeEnv& aEnv, MemberInfo aSelf, Random& aRandom);

  const MemberInfo& Self() const { return m_self; }

  /// @brief Takes over the members of a head.
  void Load(const Head& aHead);

  /// @brief Notes a daemon that wants to become a member.
  void Hear(const MemberInfo& aInfo, TimePoint aNow);

  /// @brief Daemons that want to become members, as heard lately.
  std::vector<MemberInfo> Strangers(TimePoint aNow) const;

  /// @brief Finds a daemon's address, or an empty text.
  std::string AddressOf(NodeId aId) const;

  /// @brief Sends a message to a daemon, if its address is known.
  void Send(NodeId aId, const PeerMessage& aMessage);

  /// @brief Sends a message through another daemon.
  void SendAround(NodeId aId, const PeerMessage& aMessage);

  /// @brief Draws members other than this one.
  std::vector<NodeId> Draw(std::size_t aCount);

  /// @brief All members other than this one.
  const std::vector<NodeId>& Others() const { return m_others; }

private:
  struct Heard
  {
    MemberInfo info;
    TimePoint time{};
  };

  NodeEnv& m_env;
  MemberInfo m_self;
  Random& m_random;
  std::map<NodeId, MemberInfo> m_members;
  std::vector<NodeId> m_others;
  std::map<NodeId, Heard> m_heard;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_PEERS_H
