#ifndef SAPPHIRELANE_MEMBERSHIP_HEAD_H
#define SAPPHIRELANE_MEMBERSHIP_HEAD_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief A daemon that left the map within the dedup window.
struct Departed
{
  NodeId id = 0;
  std::uint64_t map_epoch = 0; ///< First epoch without it.
  bool clean = false;          ///< It handed its claims over.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, map_epoch, clean);
  }
};

/// @brief The one row that all daemons agree on.
struct Head
{
  std::uint64_t seq = 0; ///< Grows by one with each write.
  std::string write_id;  ///< Unique to the write that made it.
  std::uint64_t config_version = 0;
  std::string config_object; ///< Object that holds the configuration.
  std::uint64_t map_epoch = 0;
  std::vector<MemberInfo> members; ///< Ordered by id.
  std::vector<NodeId> joined;      ///< New in this map epoch.
  std::vector<Departed> departed;
  std::vector<NodeId> witnesses;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(seq,
             write_id,
             config_version,
             config_object,
             map_epoch,
             members,
             joined,
             departed,
             witnesses);
  }
};

/// @brief Encodes a head for the table service and for peers.
std::string
EncodeHead(const Head& aHead);

/// @brief Decodes EncodeHead's text.
/// @throws WireError if it is not a head.
Head
DecodeHead(const std::string& aText);

/// @brief Finds a member.
/// @return The member, or nullptr.
const MemberInfo*
FindMember(const Head& aHead, NodeId aId);

/// @brief Ids of the members.
std::vector<NodeId>
MemberIds(const Head& aHead);

/// @brief Ids of the members one map epoch earlier.
std::vector<NodeId>
EarlierMemberIds(const Head& aHead);

/// @brief Makes the next head with other members.
/// @param aJoining Daemons to add.
/// @param aLeaving Daemons to remove; clean ones have handed over.
Head
WithMembers(const Head& aHead,
            const std::vector<MemberInfo>& aJoining,
            const std::vector<Departed>& aLeaving);

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_HEAD_H
