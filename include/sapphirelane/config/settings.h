#ifndef SAPPHIRELANE_CONFIG_SETTINGS_H
#define SAPPHIRELANE_CONFIG_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Ports that a daemon listens on.
struct ListenSettings
{
  std::string address = "127.0.0.1"; ///< For callers and peers.
  std::uint16_t callers = 8080;
  std::uint16_t peers = 8083; ///< UDP and TCP.
  std::string operator_address = "127.0.0.1";
  std::uint16_t operators = 8081;
};

/// @brief Where the platform's services are.
struct PlatformSettings
{
  std::string adapter = "http"; ///< Name of the plug-in.
  /// Name of the plug-in for a store that others own; empty for a fleet that
  /// keeps its own configuration.
  std::string source;
  std::string address;          ///< "ip:port".
  std::string terms;            ///< For the plug-in; it alone reads them.
  Milliseconds timeout{ 1000 }; ///< For one call.
};

/// @brief Bounds on what callers may send and hold.
struct LimitSettings
{
  std::uint64_t body_bytes = 64ULL << 20U;
  std::uint64_t buffer_bytes = 256ULL << 10U; ///< Held for each direction.
  std::uint32_t in_flight = 2000;             ///< Requests in one daemon.
  std::uint32_t queue_per_account = 64;       ///< Requests waiting.
  std::uint32_t connections = 4000;           ///< From callers.
  Milliseconds idle{ 30000 };                 ///< Silent caller connection.
  Milliseconds dedup_window{ 600000 };        ///< Life of an idempotency key.
  Milliseconds connect_timeout{ 1000 };       ///< To an endpoint.
  /// Time since its last answer for which a kept connection may carry work that
  /// cannot be repeated; 0 for a new connection each time.
  Milliseconds proven{ 0 };
};

/// @brief Budget of attempts beyond the first, over the whole fleet; for a
/// store fleet only.
struct ExtraSettings
{
  double share = 0.2; ///< Of the requests to a service.
  double slack = 50;  ///< Attempts beyond that.
  Milliseconds window{ 10000 };
};

/// @brief Bound on the requests to an endpoint that is cold, in any one second
/// and from all hosts together.
struct ColdStartSettings
{
  double overage = 1.5; ///< Multiple of what the service's endpoints take.
  double slack = 8;     ///< Requests beyond that.
};

/// @brief Names of the plug-ins that decide.
struct PolicySettings
{
  std::string balancer = "two-choices";
  std::string ejector = "peer-comparison";
  std::string retry = "budget";
  std::string queue = "priority";
  /// What becomes of a request that is shed and may be tried again later:
  /// "refuse" it, or "wait" for capacity.
  std::string shed = "refuse";
  std::string dialect = "sapphirelane"; ///< Of callers and upstreams.
  std::uint32_t pool = 8;  ///< Requests of this daemon at one endpoint.
  std::uint32_t ahead = 0; ///< Requests that may wait at an endpoint.
  /// Cost of sending a body to another data centre, in requests per megabyte.
  /// The default is for traffic billed at 5,900 per gigabyte, where a request
  /// with a body is worth 2.
  double transfer_cost_per_megabyte = 3;
};

/// @brief Everything that one daemon learns from its settings file.
struct EntrySettings
{
  std::string host;
  std::string data_centre;
  ListenSettings listen;
  PlatformSettings platform;
  std::vector<std::string> seeds;   ///< Peer addresses, "ip:port".
  bool seeds_use_peer_port = false; ///< Only the seeds' IP numbers count.
  bool new_fleet = false;           ///< No daemon of the fleet has run before.
  std::string fleet_secret;
  std::string operator_digest; ///< Digest of the operators' credential.
  std::string static_fleet;    ///< File used in place of the platform.
  std::string log;             ///< Empty for standard output.
  Milliseconds drain{ 30000 }; ///< Longest planned stop.
  /// How long a balancer takes to notice that this host is not ready.
  Milliseconds balancer_notice{ 500 };
  ExtraSettings extras;
  ColdStartSettings cold_starts;
  LimitSettings limits;
  PolicySettings policies;
  /// Paths of the fields of the file that have no value; defaults hold for
  /// them.
  std::vector<std::string> fields_without_value;
};

/// @brief Reads and checks a daemon's whole settings file.
/// @param aFile Path of a YAML file.
/// @throws ConfigError with file, line, column, field and what was expected.
EntrySettings
LoadEntrySettings(const std::string& aFile);

/// @brief Reads and checks settings that are held in memory.
/// @param aName Name for errors.
/// @throws ConfigError as LoadEntrySettings does.
EntrySettings
ReadEntrySettings(const std::string& aName, const std::string& aText);

} // namespace sapphirelane

#endif // SAPPHIRELANE_CONFIG_SETTINGS_H
