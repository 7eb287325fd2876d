#include "sapphirelane/routing/floor.h"

#include <algorithm>

namespace sapphirelane {

std::vector<std::string>
ChooseEjections(const std::vector<FloorMember>& aMembers,
                std::uint32_t aMinHealthyPercent)
{
  constexpr std::uint64_t kFullPercent = 100;
  std::uint64_t totalSlots = 0;
  std::uint64_t remainingSlots = 0;
  std::vector<FloorMember> suspects;
  for (const FloorMember& member : aMembers) {
    totalSlots += member.slots;
    if (member.available) {
      remainingSlots += member.slots;
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
  std::vector<std::string> idsToEject;
  for (const FloorMember& suspect : suspects) {
    const std::uint64_t slotsAfter = remainingSlots - suspect.slots;
    if (slotsAfter * kFullPercent < totalSlots * aMinHealthyPercent) {
      continue;
    }
    remainingSlots = slotsAfter;
    idsToEject.push_back(suspect.id);
  }
  return idsToEject;
}

} // namespace sapphirelane
