#ifndef SAPPHIRELANE_RELAY_SOURCE_CALL_H
#define SAPPHIRELANE_RELAY_SOURCE_CALL_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {

/// @brief A call of a fleet's store, made by another thread.
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
  std::uint64_t after = 0; ///< With the first two.
  HostEntry host;          ///< With the last two.
};

/// @brief Outcome of a SourceCall.
struct SourceResult
{
  SourceCall::Kind kind = SourceCall::Kind::ReadEndpoints;
  bool answered = false;
  std::string error; ///< If not answered.
  TimePoint asked{}; ///< When the call was made.
  std::uint64_t after = 0;
  EndpointBatch endpoints;
  ConfigBatch config;
  std::vector<HostEntry> hosts;
};

/// @brief Word for a kind of call, for logs and metrics.
const char*
SourceCallName(SourceCall::Kind aKind);

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_SOURCE_CALL_H
