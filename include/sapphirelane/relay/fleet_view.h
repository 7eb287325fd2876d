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
  /// this when it was refreshed.
  Duration outage_after = Milliseconds(1500);
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

  /// @brief Applies changes of endpoints.
  /// @param aBase Store version that the changes are relative to; 0 if they are
  /// a full snapshot.
  /// @param aVersion Store version after the changes.
  /// @param aAge Time since the store was read.
  /// @return False if there is a gap: changes before aBase are missing here.
  /// The changes are applied nevertheless, but neither the version nor the age
  /// of the view advances.
  bool TakeEndpoints(std::uint64_t aBase,
                     std::uint64_t aVersion,
                     const std::vector<EndpointChange>& aChanges,
                     Duration aAge,
                     TimePoint aNow);

  /// @brief Returns true if a change affects routing, as opposed to a mere
  /// heartbeat: endpoints rewrite their entries periodically to stay listed.
  bool IsNews(const EndpointChange& aChange) const;

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
  };

  void RecordRefresh(TimePoint aAsOf, TimePoint aNow);
  bool ApplyChange(const EndpointChange& aChange, TimePoint aNow);
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
  TimePoint m_asOf{};
  TimePoint m_recoveredAt{};                ///< End of the store's last outage.
  std::vector<EndpointChange> m_departures; ///< Not taken yet.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_FLEET_VIEW_H
