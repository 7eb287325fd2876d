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

/// @brief Addresses of the other daemons: the members of the head and the
/// daemons that have asked to join.
class Peers
{
public:
  Peers(NodeEnv& aEnv, MemberInfo aSelf, Random& aRandom);

  const MemberInfo& Self() const { return m_self; }

  /// @brief Replaces the members with those of a head.
  void Load(const Head& aHead);

  /// @brief Records that a daemon asks to become a member.
  void Hear(const MemberInfo& aInfo, TimePoint aNow);

  /// @brief Daemons that have recently asked to become members.
  std::vector<MemberInfo> Strangers(TimePoint aNow) const;

  /// @brief Address of a member or join candidate; empty if it is unknown.
  std::string AddressOf(NodeId aId) const;

  /// @brief Sends a message to a daemon; drops it if the address is unknown.
  void Send(NodeId aId, const PeerMessage& aMessage);

  /// @brief Sends a message by way of a random other member, for use when the
  /// direct link may be cut.
  void SendAround(NodeId aId, const PeerMessage& aMessage);

  /// @brief Draws members other than this one at random, each at most once.
  std::vector<NodeId> Draw(std::size_t aCount);

  /// @brief All members other than this one.
  const std::vector<NodeId>& Others() const { return m_others; }

private:
  struct Candidate
  {
    MemberInfo info;
    TimePoint last_request{};
  };

  NodeEnv& m_env;
  MemberInfo m_self;
  Random& m_random;
  std::map<NodeId, MemberInfo> m_members;
  std::vector<NodeId> m_others;
  std::map<NodeId, Candidate> m_candidates;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_PEERS_H
