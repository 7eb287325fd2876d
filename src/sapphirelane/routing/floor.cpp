#include "sapphirelane/routing/floor.h"

#include <algorithm>

namespace sapphirelane {

std::vector<std::string>
ChooseEjections(const std::vector<FloorMember>& aMembers, std::uint32_t aFloor)
{
  constexpr std::uint64_t kFullPercent = 100;
  std::uint64_t all = 0;
  std::uint64_t left = 0;
  std::vector<FloorMember> suspects;
  for (const FloorMember& member : aMembers) {
    all += member.slots;
    if (member.available) {
      left += member.slots;
    }
    if (member.available && member.suspect) {
      suspects.push_back(member);
    }
  }
  std::stable_sort(suspects.begin(),
                   suspects.end(),
                   [](const FloorMember& aLeft, const FloorMember& aRight) {
                     return aLeft.badness > aRight.badness;
                   });
  std::vector<std::string> ejected;
  for (const FloorMember& suspect : suspects) {
    const std::uint64_t after = left - suspect.slots;
    if (after * kFullPercent < all * aFloor) {
      continue;
    }
    left = after;
    ejected.push_back(suspect.id);
  }
  return ejected;
}

} // namespace sapphirelane
