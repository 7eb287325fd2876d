#ifndef SAPPHIRELANE_MEMBERSHIP_HEAD_H
#define SAPPHIRELANE_MEMBERSHIP_HEAD_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief A former member that left the map recently.
///
/// Kept for the deduplication window, as it may have known of run-once claims
/// that nobody else remembers.
struct Departed
{
  NodeId id = 0;
  std::uint64_t map_epoch = 0; ///< First map epoch without it.
  bool clean = false;          ///< It handed its claims over before it left.

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(id, map_epoch, clean);
  }
};

/// @brief The single row of the platform's table that all daemons agree on.
///
/// Names the configuration in force, the members of the fleet and the
/// witnesses. Every change of these is a compare-and-swap of the row.
struct Head
{
  std::uint64_t seq = 0; ///< Incremented by each write.
  std::string write_id;  ///< Random name of the write that made it.
  std::uint64_t config_version = 0;
  std::string config_object; ///< Name of the object with the configuration.
  std::uint64_t map_epoch = 0;
  std::vector<MemberInfo> members; ///< Ordered by id.
  std::vector<NodeId> joined;      ///< Members new in this map epoch.
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

/// @brief Encodes a head as JSON for the platform's table and for peers.
std::string
EncodeHead(const Head& aHead);

/// @brief Decodes the output of EncodeHead.
/// @throws WireError if the text is not a head.
Head
DecodeHead(const std::string& aText);

/// @brief Finds a member by its id.
/// @return The member, or nullptr if the id is not in the map.
const MemberInfo*
FindMember(const Head& aHead, NodeId aId);

/// @brief Ids of the members, in ascending order.
std::vector<NodeId>
MemberIds(const Head& aHead);

/// @brief Ids of the members of the preceding map epoch, in no set order.
std::vector<NodeId>
EarlierMemberIds(const Head& aHead);

/// @brief Derives the head of the next map epoch from a membership change.
/// @param aJoining Daemons to add; those that are members already are skipped.
/// @param aLeaving Daemons to remove; their map epoch is filled in.
Head
WithMembers(const Head& aHead,
            const std::vector<MemberInfo>& aJoining,
            const std::vector<Departed>& aLeaving);

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_HEAD_H
