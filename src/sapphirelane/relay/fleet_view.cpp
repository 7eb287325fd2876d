#include "sapphirelane/relay/fleet_view.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {

namespace {

/// Differences between the statements on one cold time: an entry is read up to
/// this long after it was written. A longer cold time than known means that the
/// endpoint has turned cold again.
constexpr Milliseconds kSameColdTime{ 2000 };

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

/// Hash of an endpoint's id and the fields that HasSameRouting compares.
std::uint64_t
RoutingHash(const std::string& aId, const Endpoint& aEndpoint)
{
  const bool isLeaving = aEndpoint.state == LifeState::Leaving;
  const bool isCold = aEndpoint.cold > Milliseconds::zero();
  std::string text;
  for (const std::string& field : { aId,
                                    aEndpoint.service,
                                    aEndpoint.address,
                                    aEndpoint.data_centre,
                                    std::to_string(aEndpoint.slots),
                                    std::to_string(aEndpoint.lifetime) }) {
    text += field + '\n';
  }
  text += isLeaving ? 'l' : 's';
  text += isCold ? 'c' : 'w';
  return StableHash(text);
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
FleetView::TakeEvacuations(const std::vector<EvacuationChange>& aChanges,
                           std::optional<EvacuationVersion> aWholeAt,
                           TimePoint aNow)
{
  const bool changed = aWholeAt
                         ? m_evacuations.TakeWhole(aChanges, *aWholeAt, aNow)
                         : m_evacuations.Take(aChanges, aNow);
  if (changed) {
    ++m_revision;
    Rebuild();
  }
  return changed;
}

bool
FleetView::TakeEndpoints(StoreVersion aBase,
                         StoreVersion aVersion,
                         const std::vector<EndpointChange>& aChanges,
                         Duration aAge,
                         TimePoint aNow)
{
  RecordContact(aNow - aAge, aNow);
  RaiseEra(aVersion, aNow);
  bool changed = false;
  if (aVersion >= m_version) {
    changed = ApplyChanges(aChanges, aNow);
    if (aBase.IsNone()) {
      changed = RemoveMissing(aChanges, aVersion, aNow) || changed;
    }
  }
  const bool contiguous = aBase <= m_version;
  if (contiguous) {
    Refresh(aVersion, aNow - aAge);
  }
  if (changed) {
    ++m_revision;
    Rebuild();
  }
  return contiguous;
}

bool
FleetView::TakeUpdate(StoreVersion aVersion,
                      std::uint64_t aDigest,
                      const std::vector<EndpointChange>& aChanges,
                      Duration aAge,
                      TimePoint aNow)
{
  RecordContact(aNow - aAge, aNow);
  RaiseEra(aVersion, aNow);
  // A complete view holds what followed on older changes, even if the versions
  // of its entries are lower.
  std::vector<EndpointChange> newer;
  std::copy_if(aChanges.begin(),
               aChanges.end(),
               std::back_inserter(newer),
               [this](const EndpointChange& aChange) {
                 return aChange.version > m_version;
               });
  if (ApplyChanges(newer, aNow)) {
    ++m_revision;
    Rebuild();
  }
  // Reads of the store are linearizable, so a view of a higher version holds
  // every change that was made before another view's read.
  const bool complete = aVersion <= m_version || aDigest == m_digest;
  if (complete) {
    Refresh(aVersion, aNow - aAge);
  }
  return complete;
}

/// Notes that the store has been rolled back. Entries that are missing now may
/// only not have been written again yet, as after an outage.
void
FleetView::RaiseEra(StoreVersion aVersion, TimePoint aNow)
{
  if (aVersion.era <= m_era) {
    return;
  }
  m_era = aVersion.era;
  if (m_version.IsNone()) {
    return; // Nothing is known from before.
  }
  m_recoveredAt = aNow;
  m_distrustUntil = aNow + m_options.distrust_returned;
}

/// Whether a change may be from before the departure of its endpoint, which was
/// known in an earlier era: it is of the copy that the store was rolled back
/// to.
bool
FleetView::Distrusts(const Entry& aEntry,
                     const EndpointChange& aChange,
                     TimePoint aNow) const
{
  return aNow < m_distrustUntil && aEntry.departed_era < aChange.version.era &&
         aChange.endpoint->state == LifeState::InService &&
         aEntry.HasDeparted(aChange.endpoint->lifetime);
}

void
FleetView::Refresh(StoreVersion aVersion, TimePoint aAsOf)
{
  m_version = std::max(m_version, aVersion);
  m_asOf = std::max(m_asOf, aAsOf);
}

/// Notes that a daemon has read the store, to find out when an outage ended.
/// That holds even if its message does not complete this view.
void
FleetView::RecordContact(TimePoint aAsOf, TimePoint aNow)
{
  if (aAsOf <= m_contactAt) {
    return;
  }
  const bool initialized = m_contactAt != TimePoint{};
  if (initialized && aNow - m_contactAt > m_options.outage_after) {
    m_recoveredAt = aNow;
  }
  m_contactAt = aAsOf;
}

bool
FleetView::ApplyChanges(const std::vector<EndpointChange>& aChanges,
                        TimePoint aNow)
{
  bool changed = false;
  for (const EndpointChange& change : aChanges) {
    changed = ApplyChange(change, aNow) || changed;
  }
  return changed;
}

/// Adapts the digest to an entry that has changed.
void
FleetView::UpdateDigest(const std::string& aId, Entry& aEntry, TimePoint aNow)
{
  const std::optional<Endpoint> stored = aEntry.Stored();
  const std::uint64_t digest = stored ? RoutingHash(aId, *stored) : 0;
  if (digest == aEntry.digest) {
    return;
  }
  m_digest += digest - aEntry.digest;
  aEntry.digest = digest;
  aEntry.routing_version = aEntry.version;
  // A first snapshot is news to nobody.
  aEntry.changed_at = m_version.IsNone() ? TimePoint{} : aNow;
}

/// An entry for another daemon. Its state is known to be current at the view's
/// version, even if later heartbeats of it were not received. Its cold time is
/// aged, but the entry stays cold until the store says otherwise.
EndpointChange
FleetView::ChangeOf(const std::string& aId, const Entry& aEntry) const
{
  EndpointChange change{ aId,
                         std::max(aEntry.version, m_version),
                         aEntry.Stored() };
  if (change.endpoint && change.endpoint->cold > Milliseconds::zero()) {
    const Duration left = change.endpoint->cold_until - m_now;
    change.endpoint->cold = std::clamp(std::chrono::ceil<Milliseconds>(left),
                                       Milliseconds(1),
                                       change.endpoint->cold);
  }
  return change;
}

std::vector<EndpointChange>
FleetView::ChangesSince(TimePoint aTime) const
{
  std::vector<EndpointChange> changes;
  for (const auto& [id, entry] : m_entries) {
    if (entry.changed_at != TimePoint{} && entry.changed_at >= aTime) {
      changes.push_back(ChangeOf(id, entry));
    }
  }
  return changes;
}

std::vector<EndpointChange>
FleetView::ChangesAfter(StoreVersion aVersion) const
{
  std::vector<EndpointChange> changes;
  for (const auto& [id, entry] : m_entries) {
    if (entry.routing_version > aVersion) {
      changes.push_back(ChangeOf(id, entry));
    }
  }
  return changes;
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
  m_now = std::max(m_now, aNow);
  Endpoint next = *aChange.endpoint;
  next.cold_until =
    next.cold > Milliseconds::zero() ? aNow + next.cold : TimePoint{};
  if (Distrusts(entry, aChange, aNow)) {
    entry.version = aChange.version;
    entry.distrusted = next;
    UpdateDigest(aChange.id, entry, aNow);
    return false;
  }
  entry.version = aChange.version;
  entry.remove_at.reset();
  entry.distrusted.reset();
  const bool turnedCold =
    entry.endpoint &&
    next.cold_until > entry.endpoint->cold_until + kSameColdTime;
  const bool same =
    entry.endpoint && HasSameRouting(*entry.endpoint, next) && !turnedCold;
  if (!same && next.state == LifeState::Leaving) {
    m_departures.push_back(aChange);
  }
  if (next.state == LifeState::Leaving) {
    entry.departed_era = aChange.version.era;
  }
  entry.endpoint = next;
  if (turnedCold) {
    entry.routing_version = entry.version;
    entry.changed_at = m_version.IsNone() ? TimePoint{} : aNow;
  }
  UpdateDigest(aChange.id, entry, aNow);
  return !same;
}

/// Removes an endpoint whose entry is gone from the store. Shortly after an
/// outage of the store it is held for a while, as the entry may have expired
/// only because the endpoint could not renew it.
bool
FleetView::RemoveEndpoint(const std::string& aId,
                          Entry& aEntry,
                          StoreVersion aVersion,
                          TimePoint aNow)
{
  aEntry.version = aVersion;
  aEntry.distrusted.reset();
  if (aEntry.endpoint) {
    aEntry.gone_lifetime = aEntry.endpoint->lifetime;
    aEntry.departed_era = aVersion.era;
  }
  if (aEntry.endpoint && !aEntry.remove_at) {
    m_departures.push_back({ aId, aVersion, std::nullopt });
  }
  const bool leaving =
    aEntry.endpoint && aEntry.endpoint->state == LifeState::Leaving;
  const bool recovering =
    m_recoveredAt != TimePoint{} && aNow - m_recoveredAt < m_options.hold_gone;
  if (aEntry.endpoint && recovering && !leaving) {
    aEntry.remove_at = m_recoveredAt + m_options.hold_gone;
    m_nextRemoval = std::min(m_nextRemoval, *aEntry.remove_at);
    UpdateDigest(aId, aEntry, aNow);
    return false;
  }
  const bool changed = aEntry.endpoint.has_value();
  aEntry.endpoint.reset();
  aEntry.remove_at.reset();
  UpdateDigest(aId, aEntry, aNow);
  return changed;
}

bool
FleetView::RemoveMissing(const std::vector<EndpointChange>& aSnapshot,
                         StoreVersion aVersion,
                         TimePoint aNow)
{
  std::set<std::string> present;
  for (const EndpointChange& change : aSnapshot) {
    present.insert(change.id);
  }
  bool changed = false;
  for (auto& [id, entry] : m_entries) {
    const bool missing =
      present.count(id) == 0 && entry.Stored() && entry.version <= aVersion;
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
  if (m_distrustUntil != TimePoint{} && aNow >= m_distrustUntil) {
    m_distrustUntil = TimePoint{};
    changed = TrustReturned();
  }
  changed = RemoveHeld(aNow) || changed;
  changed = m_evacuations.Tick(aNow) || changed;
  if (changed) {
    ++m_revision;
    Rebuild();
  }
}

/// Takes over what the store has listed since its rollback.
bool
FleetView::TrustReturned()
{
  bool changed = false;
  for (auto& item : m_entries) {
    Entry& entry = item.second;
    if (entry.distrusted) {
      entry.endpoint = std::exchange(entry.distrusted, std::nullopt);
      entry.remove_at.reset();
      changed = true;
    }
  }
  return changed;
}

/// Removes the endpoints whose hold time has ended.
bool
FleetView::RemoveHeld(TimePoint aNow)
{
  m_now = std::max(m_now, aNow);
  if (aNow < m_nextRemoval) {
    return false;
  }
  m_nextRemoval = TimePoint::max();
  bool changed = false;
  for (auto& item : m_entries) {
    Entry& entry = item.second;
    if (entry.remove_at && aNow >= *entry.remove_at) {
      entry.remove_at.reset();
      entry.endpoint.reset();
      changed = true;
    } else if (entry.remove_at) {
      m_nextRemoval = std::min(m_nextRemoval, *entry.remove_at);
    }
  }
  return changed;
}

void
FleetView::Rebuild()
{
  if (!m_config) {
    return;
  }
  m_config->endpoint_revision = m_revision;
  m_config->evacuated.clear();
  for (const auto& item : m_evacuations.InForce()) {
    m_config->evacuated.insert(item.first);
  }
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
  return m_config && !m_version.IsNone() ? &*m_config : nullptr;
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
    changes.push_back(ChangeOf(id, entry));
  }
  return changes;
}

} // namespace sapphirelane
