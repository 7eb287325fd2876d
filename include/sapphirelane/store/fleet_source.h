#ifndef SAPPHIRELANE_STORE_FLEET_SOURCE_H
#define SAPPHIRELANE_STORE_FLEET_SOURCE_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/config/fleet.h"
#include "sapphirelane/config/settings.h"
#include "sapphirelane/wire/store_version.h"

namespace sapphirelane {

/// @brief Change of one endpoint's entry in the store.
struct EndpointChange
{
  std::string id;
  StoreVersion version;             ///< Of the entry.
  std::optional<Endpoint> endpoint; ///< Empty if it was removed or is unusable.
};

/// @brief Endpoints read from a store.
struct EndpointBatch
{
  /// The changes are a full snapshot: endpoints that are not in it are gone.
  bool whole = false;
  StoreVersion version; ///< Store version; where the next read continues.
  std::vector<EndpointChange> changes;
};

/// @brief Version of an evacuation's row; the highest one wins.
using EvacuationVersion = StoreVersion;

/// @brief Beginning or end of the evacuation of a data centre.
struct EvacuationChange
{
  std::string data_centre;
  EvacuationVersion version; ///< Of the row, or of its removal.
  bool evacuated = false;    ///< False: requests may be sent there again.
};

/// @brief A configuration read from a store.
struct ConfigBatch
{
  StoreVersion version; ///< Store version; where the next read continues.
  std::optional<FleetConfig> config; ///< Without endpoints; empty if unchanged.
  /// There is a configuration that could not be decoded. The next read has to
  /// continue where this one did.
  bool unreadable = false;
  /// The evacuations are a full snapshot: those not in it have ended.
  bool whole = false;
  std::vector<EvacuationChange> evacuations;
};

/// @brief Entry in the store under which a daemon is found by others.
struct HostEntry
{
  std::string host;
  std::string data_centre;
  std::string address; ///< "ip:port" that it listens on for other daemons.
};

/// @brief Source of a fleet's configuration and endpoints, which operators and
/// endpoints write to, and registry in which the daemons find each other.
///
/// Each call throws PlatformUnavailable if no answer arrives; a write may still
/// take effect in that case, also later. Not thread-safe.
class FleetSource
{
public:
  static constexpr const char* kKind = "fleet source";

  virtual ~FleetSource() = default;

  /// @brief Adjusts a daemon's settings to requirements of this store.
  virtual void Adjust(EntrySettings& /*aSettings*/) const {}

  /// @brief Reads the endpoints that changed since a version.
  /// @param aAfter Version of the previous batch; none for a full snapshot.
  /// The batch is a full snapshot too if the store has begun another era since.
  virtual EndpointBatch ReadEndpoints(StoreVersion aAfter) = 0;

  /// @brief Reads the configuration and the evacuations that changed since a
  /// version.
  /// @param aAfter Version of the previous batch; none to read it in any case.
  virtual ConfigBatch ReadConfig(StoreVersion aAfter) = 0;

  virtual std::vector<HostEntry> ReadHosts() = 0;
  virtual void WriteHost(const HostEntry& aHost) = 0;
  virtual void RemoveHost(const std::string& aHost) = 0;
};

using SourceRegistry = Registry<FleetSource, PlatformSettings>;

} // namespace sapphirelane

#endif // SAPPHIRELANE_STORE_FLEET_SOURCE_H
