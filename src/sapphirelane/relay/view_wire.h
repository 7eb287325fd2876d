#ifndef SAPPHIRELANE_RELAY_VIEW_WIRE_H
#define SAPPHIRELANE_RELAY_VIEW_WIRE_H

#include <vector>

#include "sapphirelane/store/fleet_source.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Turns changes of endpoints into what daemons send each other.
std::vector<WireEndpoint>
ToWire(const std::vector<EndpointChange>& aChanges);

/// @brief The reverse of ToWire.
std::vector<EndpointChange>
FromWire(const std::vector<WireEndpoint>& aWire);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_VIEW_WIRE_H
