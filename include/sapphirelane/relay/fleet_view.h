#ifndef SAPPHIRELANE_RELAY_FLEET_VIEW_H
#define SAPPHIRELANE_RELAY_FLEET_VIEW_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/config/fleet.h"
#include "sapphirelane/relay/evacuation_table.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {

/// @brief Options of a FleetView.
struct FleetViewOptions
{
  /// The store counts as having been unreachable if the view was older than
  /// this when it was refreshed. An entry lasts for three heartbeats of 1.5 s,
  /// the latest of which may be one interval old, so that no shorter outage
  /// lets one expire. Updates that are lost or late make a view 2 s old.
  Duration outage_after = Milliseconds(3000);
  /// How long after the store's recovery a removed endpoint stays in use. A
  /// live endpoint whose entry expired during the outage writes it again
  /// within 2 s.
  Duration hold_gone = Milliseconds(2200);
  /// How long after a rollback of the store an endpoint that was leaving or
  /// gone before it stays so, although the store lists it as ready: its entry
  /// may be from before it left. An endpoint rewrites its entry every 1.5 s,
  /// and the store removes an entry after three of these intervals.
  Duration distrust_returned = Milliseconds(6000);
};

/// @brief This daemon's replica of the store: configuration and endpoints.
///
/// Updates come from own reads of the store and from other daemons, in any
/// order and more than once. They are idempotent, and the highest version wins:
/// a configuration or an entry with a lower version is ignored. After a
/// rollback of the store, versions of its new era are the higher ones; what
/// this daemon knows from before stays in force until the operator and the
/// endpoints have had the time to write it again.
class FleetView
{
public:
  explicit FleetView(FleetViewOptions aOptions);

  /// @brief Applies a configuration if it is newer than the current one.
  /// @return True if it was applied.
  bool TakeConfig(FleetConfig aConfig);

  /// @brief Applies evacuations read from the store or received from a peer.
  /// They are kept from the first one on, also before there is a configuration.
  /// @param aWholeAt Version of a full snapshot; empty if these are changes.
  /// @return True if the data centres that are evacuated have changed.
  bool TakeEvacuations(const std::vector<EvacuationChange>& aChanges,
                       std::optional<EvacuationVersion> aWholeAt,
                       TimePoint aNow);

  const EvacuationTable& Evacuations() const { return m_evacuations; }
  EvacuationTable& Evacuations() { return m_evacuations; }

  /// @brief Applies endpoints read from the store or fetched from a peer.
  /// @param aBase Store version that the changes follow on; none if they are a
  /// full snapshot.
  /// @param aVersion Store version after the changes.
  /// @param aAge Time since the store was read.
  /// @return False if there is a gap: changes before aBase are missing here.
  /// The changes are applied nevertheless, but neither the version nor the age
  /// of the view advances. Changes of an older state than the view's are not
  /// applied.
  bool TakeEndpoints(StoreVersion aBase,
                     StoreVersion aVersion,
                     const std::vector<EndpointChange>& aChanges,
                     Duration aAge,
                     TimePoint aNow);

  /// @brief Applies some changes of another daemon's view.
  ///
  /// Messages can be lost, late or only a part of an update, so the version and
  /// age of that view are taken over only if this view then equals it, or is
  /// newer.
  /// @param aVersion Version of that view.
  /// @param aDigest Digest of that view.
  /// @param aAge Age of that view.
  /// @return False if this view still lacks changes.
  bool TakeUpdate(StoreVersion aVersion,
                  std::uint64_t aDigest,
                  const std::vector<EndpointChange>& aChanges,
                  Duration aAge,
                  TimePoint aNow);

  /// @brief Changes of routing that were applied at a time or later, as opposed
  /// to mere heartbeats: endpoints rewrite their entries periodically to stay
  /// listed.
  std::vector<EndpointChange> ChangesSince(TimePoint aTime) const;

  /// @brief Changes of routing that follow on a version of the store.
  std::vector<EndpointChange> ChangesAfter(StoreVersion aVersion) const;

  /// @brief Hash of what the entries say about routing, regardless of their
  /// versions. Equal for daemons that know the same state of the store.
  std::uint64_t Digest() const { return m_digest; }

  /// @brief The newest era of the store that any daemon is known to have seen.
  std::uint64_t Era() const { return m_era; }

  /// @brief Returns and clears the changes by which endpoints began to leave or
  /// were removed since the last call.
  std::vector<EndpointChange> TakeDepartures();

  /// @brief Removes endpoints whose hold time after an outage has ended.
  void Tick(TimePoint aNow);

  /// @brief Configuration with its endpoints; nullptr until both are known.
  const FleetConfig* Config() const;

  std::uint64_t ConfigVersion() const;

  /// @brief Store version up to which all endpoint changes are known.
  StoreVersion Version() const { return m_version; }

  /// @brief Time since the view was last known to match the store.
  Duration Age(TimePoint aNow) const;

  /// @brief Full snapshot for another daemon, with tombstones of removed
  /// endpoints.
  std::vector<EndpointChange> Endpoints() const;

private:
  struct Entry
  {
    StoreVersion version;
    std::optional<Endpoint> endpoint;
    /// Set if the entry was removed but is still in use until then.
    std::optional<TimePoint> remove_at;
    /// What the store holds after a rollback, if it is not trusted yet.
    std::optional<Endpoint> distrusted;
    std::uint64_t gone_lifetime = 0; ///< Of the endpoint that is gone.
    /// Era of the store in which the endpoint was leaving or gone.
    std::uint64_t departed_era = 0;
    TimePoint changed_at{};       ///< When its routing last changed here.
    StoreVersion routing_version; ///< Version of that change, or later.
    std::uint64_t digest = 0;     ///< Its part of m_digest.

    /// The entry in the store.
    std::optional<Endpoint> Stored() const
    {
      if (distrusted) {
        return distrusted;
      }
      return remove_at ? std::nullopt : endpoint;
    }

    /// Whether the endpoint's process is known to leave or to be gone.
    bool HasDeparted(std::uint64_t aLifetime) const
    {
      const bool leaves = endpoint && endpoint->state == LifeState::Leaving &&
                          endpoint->lifetime == aLifetime;
      return leaves ||
             (!endpoint && gone_lifetime != 0 && gone_lifetime == aLifetime);
    }
  };

  void RaiseEra(StoreVersion aVersion, TimePoint aNow);
  bool Distrusts(const Entry& aEntry,
                 const EndpointChange& aChange,
                 TimePoint aNow) const;
  bool TrustReturned();
  bool RemoveHeld(TimePoint aNow);
  void RecordContact(TimePoint aAsOf, TimePoint aNow);
  bool ApplyChanges(const std::vector<EndpointChange>& aChanges,
                    TimePoint aNow);
  bool ApplyChange(const EndpointChange& aChange, TimePoint aNow);
  void UpdateDigest(const std::string& aId, Entry& aEntry, TimePoint aNow);
  EndpointChange ChangeOf(const std::string& aId, const Entry& aEntry) const;
  void Refresh(StoreVersion aVersion, TimePoint aAsOf);
  bool RemoveMissing(const std::vector<EndpointChange>& aSnapshot,
                     StoreVersion aVersion,
                     TimePoint aNow);
  bool RemoveEndpoint(const std::string& aId,
                      Entry& aEntry,
                      StoreVersion aVersion,
                      TimePoint aNow);
  void Rebuild();

  FleetViewOptions m_options;
  std::optional<FleetConfig> m_config;
  EvacuationTable m_evacuations;
  std::map<std::string, Entry> m_entries;
  StoreVersion m_version;
  std::uint64_t m_era = 0;     ///< See Era.
  TimePoint m_distrustUntil{}; ///< See FleetViewOptions::distrust_returned.
  /// Local counter of changes of endpoints and evacuations.
  std::uint64_t m_revision = 0;
  std::uint64_t m_digest = 0; ///< See Digest.
  TimePoint m_now{}; ///< Latest time that was passed in; ages cold times.
  TimePoint m_asOf{};
  TimePoint m_contactAt{}; ///< Latest time at which any daemon read the store.
  TimePoint m_recoveredAt{};                ///< End of the store's last outage.
  std::vector<EndpointChange> m_departures; ///< Not taken yet.
  /// Earliest time at which a removed endpoint's hold time may end.
  TimePoint m_nextRemoval = TimePoint::max();
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_FLEET_VIEW_H
