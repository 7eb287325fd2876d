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

namespace sapphirelane {

/// @brief An endpoint's entry that has changed.
struct EndpointChange
{
  std::string id;
  std::uint64_t version = 0;        ///< Of the entry.
  std::optional<Endpoint> endpoint; ///< Nothing if there is none to use.
};

/// @brief Endpoints read from a store.
struct EndpointBatch
{
  bool whole = false;        ///< All there are; others have gone.
  std::uint64_t version = 0; ///< Of the store; where to go on.
  std::vector<EndpointChange> changes;
};

/// @brief A configuration read from a store.
struct ConfigBatch
{
  std::uint64_t version = 0;         ///< Of the store; where to go on.
  std::optional<FleetConfig> config; ///< Without endpoints; nothing if old.
};

/// @brief A daemon that others can reach.
struct HostEntry
{
  std::string host;
  std::string data_centre;
  std::string address; ///< "ip:port" of its peers' listener.
};

/// @brief Store in which operators and endpoints write what a fleet serves, and
/// daemons find each other.
///
/// Each call throws PlatformUnavailable if no answer comes; a write may then
/// have taken effect, now or later. Used by one thread.
class FleetSource
{
public:
  static constexpr const char* kKind = "fleet source";

  virtual ~FleetSource() = default;

  /// @brief Applies what the store's owners lay down to a daemon's settings.
  virtual void Adjust(EntrySettings& /*aSettings*/) const {}

  /// @param aAfter The version of the batch before; 0 for everything.
  virtual EndpointBatch ReadEndpoints(std::uint64_t aAfter) = 0;

  /// @param aAfter The version of the batch before; 0 for everything.
  virtual ConfigBatch ReadConfig(std::uint64_t aAfter) = 0;

  virtual std::vector<HostEntry> ReadHosts() = 0;
  virtual void WriteHost(const HostEntry& aHost) = 0;
  virtual void RemoveHost(const std::string& aHost) = 0;
};

using SourceRegistry = Registry<FleetSource, PlatformSettings>;

} // namespace sapphirelane

#endif // SAPPHIRELANE_STORE_FLEET_SOURCE_H
