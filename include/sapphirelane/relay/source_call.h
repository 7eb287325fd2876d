#ifndef SAPPHIRELANE_RELAY_SOURCE_CALL_H
#define SAPPHIRELANE_RELAY_SOURCE_CALL_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {

/// @brief Request to the fleet's store, executed by another thread.
struct SourceCall
{
  enum class Kind
  {
    ReadEndpoints,
    ReadConfig,
    ReadHosts,
    WriteHost,
    RemoveHost,
  };

  Kind kind = Kind::ReadEndpoints;
  /// For ReadEndpoints and ReadConfig: version of the previous batch, none for
  /// a full read.
  StoreVersion after;
  HostEntry host; ///< For WriteHost and RemoveHost.
};

/// @brief Result of a SourceCall.
struct SourceResult
{
  SourceCall::Kind kind = SourceCall::Kind::ReadEndpoints;
  bool answered = false;
  std::string error;  ///< Set if not answered.
  TimePoint asked{};  ///< When the call was started.
  StoreVersion after; ///< See SourceCall.
  EndpointBatch endpoints;
  ConfigBatch config;
  std::vector<HostEntry> hosts;
};

/// @brief Name of a kind of call, for logs and metrics.
const char*
SourceCallName(SourceCall::Kind aKind);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_SOURCE_CALL_H
