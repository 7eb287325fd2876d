#ifndef SAPPHIRELANE_RELAY_FLEET_VIEW_H
#define SAPPHIRELANE_RELAY_FLEET_VIEW_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/config/fleet.h"
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
};

/// @brief This daemon's replica of the store: configuration and endpoints.
///
/// Updates come from own reads of the store and from other daemons, in any
/// order and more than once. They are idempotent, and the highest version wins:
/// a configuration or an entry with a lower version is ignored.
class FleetView
{
public:
  explicit FleetView(FleetViewOptions aOptions);

  /// @brief Applies a configuration if it is newer than the current one.
  /// @return True if it was applied.
  bool TakeConfig(FleetConfig aConfig);

  /// @brief Applies endpoints read from the store or fetched from a peer.
  /// @param aBase Store version that the changes follow on; 0 if they are a
  /// full snapshot.
  /// @param aVersion Store version after the changes.
  /// @param aAge Time since the store was read.
  /// @return False if there is a gap: changes before aBase are missing here.
  /// The changes are applied nevertheless, but neither the version nor the age
  /// of the view advances. Changes of an older state than the view's are not
  /// applied.
  bool TakeEndpoints(std::uint64_t aBase,
                     std::uint64_t aVersion,
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
  bool TakeUpdate(std::uint64_t aVersion,
                  std::uint64_t aDigest,
                  const std::vector<EndpointChange>& aChanges,
                  Duration aAge,
                  TimePoint aNow);

  /// @brief Changes of routing that were applied at a time or later, as opposed
  /// to mere heartbeats: endpoints rewrite their entries periodically to stay
  /// listed.
  std::vector<EndpointChange> ChangesSince(TimePoint aTime) const;

  /// @brief Changes of routing that follow on a version of the store.
  std::vector<EndpointChange> ChangesAfter(std::uint64_t aVersion) const;

  /// @brief Hash of what the entries say about routing, regardless of their
  /// versions. Equal for daemons that know the same state of the store.
  std::uint64_t Digest() const { return m_digest; }

  /// @brief Returns and clears the changes by which endpoints began to leave or
  /// were removed since the last call.
  std::vector<EndpointChange> TakeDepartures();

  /// @brief Removes endpoints whose hold time after an outage has ended.
  void Tick(TimePoint aNow);

  /// @brief Configuration with its endpoints; nullptr until both are known.
  const FleetConfig* Config() const;

  std::uint64_t ConfigVersion() const;

  /// @brief Store version up to which all endpoint changes are known.
  std::uint64_t Version() const { return m_version; }

  /// @brief Time since the view was last known to match the store.
  Duration Age(TimePoint aNow) const;

  /// @brief Full snapshot for another daemon, with tombstones of removed
  /// endpoints.
  std::vector<EndpointChange> Endpoints() const;

private:
  struct Entry
  {
    std::uint64_t version = 0;
    std::optional<Endpoint> endpoint;
    /// Set if the entry was removed but is still in use until then.
    std::optional<TimePoint> remove_at;
    TimePoint changed_at{};            ///< When its routing last changed here.
    std::uint64_t routing_version = 0; ///< Version of that change, or later.
    std::uint64_t digest = 0;          ///< Its part of m_digest.

    /// The entry in the store.
    std::optional<Endpoint> Stored() const
    {
      return remove_at ? std::nullopt : endpoint;
    }
  };

  void RecordContact(TimePoint aAsOf, TimePoint aNow);
  bool ApplyChanges(const std::vector<EndpointChange>& aChanges,
                    TimePoint aNow);
  bool ApplyChange(const EndpointChange& aChange, TimePoint aNow);
  void UpdateDigest(const std::string& aId, Entry& aEntry, TimePoint aNow);
  EndpointChange ChangeOf(const std::string& aId, const Entry& aEntry) const;
  void Refresh(std::uint64_t aVersion, TimePoint aAsOf);
  bool RemoveMissing(const std::vector<EndpointChange>& aSnapshot,
                     std::uint64_t aVersion,
                     TimePoint aNow);
  bool RemoveEndpoint(const std::string& aId,
                      Entry& aEntry,
                      std::uint64_t aVersion,
                      TimePoint aNow);
  void Rebuild();

  FleetViewOptions m_options;
  std::optional<FleetConfig> m_config;
  std::map<std::string, Entry> m_entries;
  std::uint64_t m_version = 0;
  std::uint64_t m_revision = 0; ///< Local counter of endpoint changes.
  std::uint64_t m_digest = 0;   ///< See Digest.
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
