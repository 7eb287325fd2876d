#include "sapphirelane/relay/view_wire.h"

#include <algorithm>
#include <iterator>

namespace sapphirelane {

namespace {

WireEndpoint
ToWire(const EndpointChange& aChange)
{
  WireEndpoint wire;
  wire.id = aChange.id;
  wire.version = aChange.version;
  wire.gone = !aChange.endpoint.has_value();
  if (aChange.endpoint) {
    const Endpoint& endpoint = *aChange.endpoint;
    wire.leaving = endpoint.state == LifeState::Leaving;
    wire.service = endpoint.service;
    wire.address = endpoint.address;
    wire.data_centre = endpoint.data_centre;
    wire.slots = endpoint.slots;
    wire.lifetime = endpoint.lifetime;
    wire.cold_ms = static_cast<std::uint32_t>(endpoint.cold.count());
  }
  return wire;
}

EndpointChange
FromWire(const WireEndpoint& aWire)
{
  EndpointChange change{ aWire.id, aWire.version, std::nullopt };
  if (!aWire.gone) {
    Endpoint endpoint;
    endpoint.id = aWire.id;
    endpoint.state = aWire.leaving ? LifeState::Leaving : LifeState::InService;
    endpoint.service = aWire.service;
    endpoint.address = aWire.address;
    endpoint.data_centre = aWire.data_centre;
    endpoint.slots = std::max(1U, aWire.slots);
    endpoint.lifetime = aWire.lifetime;
    const Milliseconds cold(aWire.cold_ms);
    endpoint.cold = cold <= kMaxColdTime ? cold : Milliseconds(0);
    change.endpoint = endpoint;
  }
  return change;
}

} // namespace

std::vector<WireEndpoint>
ToWire(const std::vector<EndpointChange>& aChanges)
{
  std::vector<WireEndpoint> wire;
  wire.reserve(aChanges.size());
  std::transform(aChanges.begin(),
                 aChanges.end(),
                 std::back_inserter(wire),
                 [](const EndpointChange& aItem) { return ToWire(aItem); });
  return wire;
}

std::vector<EndpointChange>
FromWire(const std::vector<WireEndpoint>& aWire)
{
  std::vector<EndpointChange> changes;
  changes.reserve(aWire.size());
  std::transform(aWire.begin(),
                 aWire.end(),
                 std::back_inserter(changes),
                 [](const WireEndpoint& aItem) { return FromWire(aItem); });
  return changes;
}

std::vector<WireEvacuation>
ToWire(const std::vector<EvacuationChange>& aChanges)
{
  std::vector<WireEvacuation> wire;
  wire.reserve(aChanges.size());
  for (const EvacuationChange& change : aChanges) {
    wire.push_back({ change.data_centre, change.version, change.evacuated });
  }
  return wire;
}

std::vector<EvacuationChange>
FromWire(const std::vector<WireEvacuation>& aWire)
{
  std::vector<EvacuationChange> changes;
  changes.reserve(aWire.size());
  for (const WireEvacuation& item : aWire) {
    changes.push_back({ item.data_centre, item.version, item.evacuated });
  }
  return changes;
}

} // namespace sapphirelane
