#ifndef SAPPHIRELANE_RELAY_VIEW_WIRE_H
#define SAPPHIRELANE_RELAY_VIEW_WIRE_H

#include <vector>

#include "sapphirelane/store/fleet_source.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Converts endpoint changes to the form that is sent between daemons.
std::vector<WireEndpoint>
ToWire(const std::vector<EndpointChange>& aChanges);

/// @brief Converts received endpoint changes; the reverse of ToWire.
std::vector<EndpointChange>
FromWire(const std::vector<WireEndpoint>& aWire);

/// @brief Converts evacuations to the form that is sent between daemons.
std::vector<WireEvacuation>
ToWire(const std::vector<EvacuationChange>& aChanges);

/// @brief Converts received evacuations; the reverse of ToWire.
std::vector<EvacuationChange>
FromWire(const std::vector<WireEvacuation>& aWire);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_VIEW_WIRE_H
