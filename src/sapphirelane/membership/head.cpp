#include "sapphirelane/membership/head.h"

#include <algorithm>
#include <sstream>

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/hash.h"
#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

namespace {

/// Seed of the hash that ranks members as candidates for witness.
constexpr std::uint64_t kWitnessHashSeed = 7;

std::vector<NodeId>
ChooseWitnesses(const Head& aHead)
{
  // Current witnesses keep their voting slots, so that consecutive majorities
  // overlap as far as possible.
  std::vector<NodeId> witnesses;
  for (NodeId id : aHead.witnesses) {
    if (FindMember(aHead, id) != nullptr) {
      witnesses.push_back(id);
    }
  }
  std::vector<NodeId> others = MemberIds(aHead);
  const auto hashRank = [](NodeId aId) {
    return StableHash(std::to_string(aId), kWitnessHashSeed);
  };
  std::sort(others.begin(), others.end(), [&](NodeId aLeft, NodeId aRight) {
    return hashRank(aLeft) < hashRank(aRight);
  });
  for (NodeId id : others) {
    const bool isWitness =
      std::find(witnesses.begin(), witnesses.end(), id) != witnesses.end();
    if (!isWitness && witnesses.size() < kMostWitnesses) {
      witnesses.push_back(id);
    }
  }
  return witnesses;
}

} // namespace

std::string
EncodeHead(const Head& aHead)
{
  std::ostringstream stream;
  {
    cereal::JSONOutputArchive archive(
      stream, cereal::JSONOutputArchive::Options::NoIndent());
    archive(aHead);
  }
  return stream.str();
}

Head
DecodeHead(const std::string& aText)
{
  Head head;
  try {
    std::istringstream stream(aText);
    cereal::JSONInputArchive archive(stream);
    archive(head);
  } catch (const std::exception& error) {
    throw WireError(std::string("cannot decode the head: ") + error.what());
  }
  return head;
}

const MemberInfo*
FindMember(const Head& aHead, NodeId aId)
{
  for (const MemberInfo& member : aHead.members) {
    if (member.id == aId) {
      return &member;
    }
  }
  return nullptr;
}

std::vector<NodeId>
MemberIds(const Head& aHead)
{
  std::vector<NodeId> ids;
  for (const MemberInfo& member : aHead.members) {
    ids.push_back(member.id);
  }
  return ids;
}

std::vector<NodeId>
EarlierMemberIds(const Head& aHead)
{
  std::vector<NodeId> ids;
  for (NodeId id : MemberIds(aHead)) {
    const bool joined =
      std::find(aHead.joined.begin(), aHead.joined.end(), id) !=
      aHead.joined.end();
    if (!joined) {
      ids.push_back(id);
    }
  }
  for (const Departed& departed : aHead.departed) {
    if (departed.map_epoch == aHead.map_epoch) {
      ids.push_back(departed.id);
    }
  }
  return ids;
}

Head
WithMembers(const Head& aHead,
            const std::vector<MemberInfo>& aJoining,
            const std::vector<Departed>& aLeaving)
{
  Head next = aHead;
  ++next.map_epoch;
  next.joined.clear();
  for (const Departed& leaving : aLeaving) {
    auto removed = std::remove_if(
      next.members.begin(), next.members.end(), [&](const MemberInfo& aMember) {
        return aMember.id == leaving.id;
      });
    next.members.erase(removed, next.members.end());
    Departed entry = leaving;
    entry.map_epoch = next.map_epoch;
    next.departed.push_back(entry);
  }
  for (const MemberInfo& joining : aJoining) {
    if (FindMember(next, joining.id) == nullptr) {
      next.members.push_back(joining);
      next.joined.push_back(joining.id);
      // A member that rejoins still has its claims in memory and can be asked
      // for them again.
      auto rejoined = std::remove_if(
        next.departed.begin(),
        next.departed.end(),
        [&](const Departed& aEntry) { return aEntry.id == joining.id; });
      next.departed.erase(rejoined, next.departed.end());
    }
  }
  std::sort(next.members.begin(),
            next.members.end(),
            [](const MemberInfo& aLeft, const MemberInfo& aRight) {
              return aLeft.id < aRight.id;
            });
  next.witnesses = ChooseWitnesses(next);
  return next;
}

} // namespace sapphirelane
