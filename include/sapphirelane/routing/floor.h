#ifndef SAPPHIRELANE_ROUTING_FLOOR_H
#define SAPPHIRELANE_ROUTING_FLOOR_H

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirelane {

/// @brief One endpoint of a service, as input to the minimum-capacity check.
struct FloorMember
{
  std::string id;
  std::uint32_t slots = 0;
  bool available = true; ///< In service; false while it drains.
  bool suspect = false;  ///< The ejector wants to eject it.
  double badness = 0;    ///< Suspects with larger values go first.
};

/// @brief Chooses the endpoints to eject without going below the service's
/// minimum healthy capacity.
///
/// The minimum is a share of all slots of the service. Slots of unavailable
/// endpoints count as lost. A suspect whose slots would be missed is skipped,
/// and smaller ones after it are still considered.
///
/// @param aMinHealthyPercent Percent of all slots that must stay eligible.
/// @return Ids to eject, worst first; none if capacity is below the minimum
/// already.
std::vector<std::string>
ChooseEjections(const std::vector<FloorMember>& aMembers,
                std::uint32_t aMinHealthyPercent);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_FLOOR_H
