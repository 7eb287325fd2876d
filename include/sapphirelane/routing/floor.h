#ifndef SAPPHIRELANE_ROUTING_FLOOR_H
#define SAPPHIRELANE_ROUTING_FLOOR_H

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirelane {

/// @brief One endpoint of a service, as the floor sees it.
struct FloorMember
{
  std::string id;
  std::uint32_t slots = 0;
  bool available = true; ///< In service; false for leaving endpoints.
  bool suspect = false;  ///< Wanted out of choice.
  double badness = 0;    ///< Larger is worse; orders the suspects.
};

/// @brief Chooses the endpoints to eject without breaking the floor.
///
/// Slots that are not available for other reasons count as lost already. The
/// floor is a share of all slots of the service.
///
/// @param aFloor Percent of all slots that must stay in choice.
/// @return Ids to eject, worst first. If the floor is broken already, none.
std::vector<std::string>
ChooseEjections(const std::vector<FloorMember>& aMembers, std::uint32_t aFloor);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_FLOOR_H
