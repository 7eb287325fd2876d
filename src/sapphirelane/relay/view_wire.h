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

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_VIEW_WIRE_H
