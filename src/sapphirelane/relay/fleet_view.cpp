#include "sapphirelane/relay/fleet_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirelane {

namespace {

/// Compares the fields that affect where requests are sent.
bool
HasSameRouting(const Endpoint& aOne, const Endpoint& aOther)
{
  const auto isCold = [](const Endpoint& aEndpoint) {
    return aEndpoint.cold > Milliseconds::zero();
  };
  return aOne.state == aOther.state && aOne.service == aOther.service &&
         aOne.address == aOther.address && aOne.slots == aOther.slots &&
         aOne.data_centre == aOther.data_centre &&
         aOne.lifetime == aOther.lifetime && isCold(aOne) == isCold(aOther);
}

} // namespace

FleetView::FleetView(FleetViewOptions aOptions)
  : m_options(aOptions)
{
}

bool
FleetView::TakeConfig(FleetConfig aConfig)
{
  if (m_config && aConfig.version <= m_config->version) {
    return false;
  }
  m_config = std::move(aConfig);
  Rebuild();
  return true;
}

bool
FleetView::TakeEndpoints(std::uint64_t aBase,
                         std::uint64_t aVersion,
                         const std::vector<EndpointChange>& aChanges,
                         Duration aAge,
                         TimePoint aNow)
{
  const bool contiguous = aBase <= m_version;
  if (contiguous) {
    RecordRefresh(aNow - aAge, aNow);
  }
  bool changed = false;
  for (const EndpointChange& change : aChanges) {
    changed = ApplyChange(change, aNow) || changed;
  }
  if (aBase == 0 && aVersion >= m_version) {
    changed = RemoveMissing(aChanges, aVersion, aNow) || changed;
  }
  if (contiguous) {
    m_version = std::max(m_version, aVersion);
  }
  if (changed) {
    ++m_revision;
    Rebuild();
  }
  return contiguous;
}

void
FleetView::RecordRefresh(TimePoint aAsOf, TimePoint aNow)
{
  if (aAsOf <= m_asOf) {
    return;
  }
  const bool initialized = m_asOf != TimePoint{};
  if (initialized && aNow - m_asOf > m_options.outage_after) {
    m_recoveredAt = aNow;
  }
  m_asOf = aAsOf;
}

bool
FleetView::IsNews(const EndpointChange& aChange) const
{
  auto found = m_entries.find(aChange.id);
  if (found == m_entries.end()) {
    return aChange.endpoint.has_value();
  }
  const Entry& entry = found->second;
  if (aChange.version <= entry.version) {
    return false;
  }
  const bool listed = entry.endpoint && !entry.remove_at;
  if (!listed || !aChange.endpoint) {
    return listed || aChange.endpoint.has_value();
  }
  return !HasSameRouting(*entry.endpoint, *aChange.endpoint);
}

bool
FleetView::ApplyChange(const EndpointChange& aChange, TimePoint aNow)
{
  Entry& entry = m_entries[aChange.id];
  if (aChange.version <= entry.version) {
    return false;
  }
  if (!aChange.endpoint) {
    return RemoveEndpoint(aChange.id, entry, aChange.version, aNow);
  }
  entry.version = aChange.version;
  entry.remove_at.reset();
  const Endpoint& next = *aChange.endpoint;
  const bool same = entry.endpoint && HasSameRouting(*entry.endpoint, next);
  if (!same && next.state == LifeState::Leaving) {
    m_departures.push_back(aChange);
  }
  entry.endpoint = next;
  return !same;
}

/// Removes an endpoint whose entry is gone from the store. Shortly after an
/// outage of the store it is held for a while, as the entry may have expired
/// only because the endpoint could not renew it.
bool
FleetView::RemoveEndpoint(const std::string& aId,
                          Entry& aEntry,
                          std::uint64_t aVersion,
                          TimePoint aNow)
{
  aEntry.version = aVersion;
  if (aEntry.endpoint && !aEntry.remove_at) {
    m_departures.push_back({ aId, aVersion, std::nullopt });
  }
  const bool leaving =
    aEntry.endpoint && aEntry.endpoint->state == LifeState::Leaving;
  const bool recovering =
    m_recoveredAt != TimePoint{} && aNow - m_recoveredAt < m_options.hold_gone;
  if (aEntry.endpoint && recovering && !leaving) {
    aEntry.remove_at = m_recoveredAt + m_options.hold_gone;
    return false;
  }
  const bool changed = aEntry.endpoint.has_value();
  aEntry.endpoint.reset();
  aEntry.remove_at.reset();
  return changed;
}

bool
FleetView::RemoveMissing(const std::vector<EndpointChange>& aSnapshot,
                         std::uint64_t aVersion,
                         TimePoint aNow)
{
  std::set<std::string> present;
  for (const EndpointChange& change : aSnapshot) {
    present.insert(change.id);
  }
  bool changed = false;
  for (auto& [id, entry] : m_entries) {
    const bool missing = present.count(id) == 0 && entry.endpoint &&
                         entry.version <= aVersion && !entry.remove_at;
    if (missing) {
      changed = RemoveEndpoint(id, entry, aVersion, aNow) || changed;
    }
  }
  return changed;
}

std::vector<EndpointChange>
FleetView::TakeDepartures()
{
  return std::exchange(m_departures, {});
}

void
FleetView::Tick(TimePoint aNow)
{
  bool changed = false;
  for (auto& item : m_entries) {
    Entry& entry = item.second;
    if (entry.remove_at && aNow >= *entry.remove_at) {
      entry.remove_at.reset();
      entry.endpoint.reset();
      changed = true;
    }
  }
  if (changed) {
    ++m_revision;
    Rebuild();
  }
}

void
FleetView::Rebuild()
{
  if (!m_config) {
    return;
  }
  m_config->endpoint_revision = m_revision;
  m_config->endpoints.clear();
  for (const auto& [id, entry] : m_entries) {
    if (!entry.endpoint) {
      continue;
    }
    Endpoint& endpoint = m_config->endpoints[id] = *entry.endpoint;
    auto service = m_config->services.find(endpoint.service);
    if (service != m_config->services.end()) {
      endpoint.connections = std::max(1U, service->second.connections);
    }
  }
}

const FleetConfig*
FleetView::Config() const
{
  return m_config && m_version > 0 ? &*m_config : nullptr;
}

std::uint64_t
FleetView::ConfigVersion() const
{
  return m_config ? m_config->version : 0;
}

Duration
FleetView::Age(TimePoint aNow) const
{
  return m_asOf == TimePoint{} ? Duration::max() : aNow - m_asOf;
}

std::vector<EndpointChange>
FleetView::Endpoints() const
{
  std::vector<EndpointChange> changes;
  for (const auto& [id, entry] : m_entries) {
    changes.push_back({ id, entry.version, entry.endpoint });
  }
  return changes;
}

} // namespace sapphirelane
