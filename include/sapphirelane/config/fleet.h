#ifndef SAPPHIRELANE_CONFIG_FLEET_H
#define SAPPHIRELANE_CONFIG_FLEET_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Longest time for which a token grant may be used by a daemon.
///
/// Counted from the moment the daemon sent its question. A bucket's capacity
/// is lowered by rate x kGrantLife, so that a late use stays within burst.
constexpr Milliseconds kGrantLife{ 250 };

/// @brief Whether an endpoint or host receives new work.
enum class LifeState
{
  InService,
  Leaving,
};

/// @brief What may be done with a request of a route when an attempt fails.
enum class RouteMode
{
  Safe,    ///< No effect; may be retried and hedged.
  Plain,   ///< Has an effect; sent again only if no byte was sent before.
  RunOnce, ///< Runs at most once for each idempotency key.
};

/// @brief A group of endpoints that do the same work.
struct Service
{
  std::string id;
  std::uint32_t floor = 50; ///< Percent of slots that ejection must leave.
  /// Connections that each endpoint accepts, where the endpoint itself does not
  /// say; 0 for none.
  std::uint32_t connections = 0;
  /// Requests a second that one of its endpoints takes while it is cold, from
  /// all hosts together; 0 for no bound.
  double cold_per_second = 0;
  Milliseconds cold_start{ 0 }; ///< Time for which a new endpoint is cold.
};

/// @brief Longest cold time that is plausible; a longer one is ignored.
constexpr Milliseconds kMaxColdTime{ 600000 };

/// @brief One address of a service.
struct Endpoint
{
  std::string id;
  LifeState state = LifeState::InService;
  std::string service;
  std::string address;           ///< "ip:port".
  std::uint32_t slots = 1;       ///< Requests served at the same time.
  std::uint32_t connections = 1; ///< Connections accepted from all hosts.
  std::string data_centre;       ///< Empty if it is not known.
  std::uint64_t lifetime = 0;    ///< Differs after a restart under one id.
  Milliseconds cold{ 0 };        ///< Time for which it still works slowly.
  /// When that time ends, by the clock of this daemon; not written to rows.
  TimePoint cold_until{};
};

/// @brief A service's part of the requests of a route.
struct TrafficShare
{
  std::string service;
  double weight = 1;
};

/// @brief Maps a host name and a path prefix to a service.
struct Route
{
  std::string id;
  std::string path;
  std::string service;
  RouteMode mode = RouteMode::Plain;
  bool open = false;                ///< Served without a key.
  Milliseconds timeout{ 5000 };     ///< Deadline when the caller names none.
  std::vector<std::string> callers; ///< Accounts; empty for all accounts.
  std::string host;                 ///< Host name; empty for all names.
  std::vector<TrafficShare> split;  ///< Divides requests; empty for none.
  Milliseconds target{ 0 };         ///< Latency aimed at; 0 for none.
  std::uint32_t attempts = 0;       ///< Endpoints at most; 0 for the default.
  std::uint32_t priority = 0;       ///< 0 is the highest.
};

/// @brief A client account with its fleet-wide limit.
struct Account
{
  std::string id;
  double rate = 1;                       ///< Requests a second; 0 for no limit.
  double burst = 1;                      ///< Requests.
  std::optional<std::uint32_t> priority; ///< Goes before the route's.
};

/// @brief Bounds on callers that the configuration sets.
struct CallerLimits
{
  std::uint64_t head_bytes = 0; ///< 0 in each field: as the settings say.
  std::uint64_t body_bytes = 0;
  Milliseconds head_time{ 0 };
  Milliseconds idle{ 0 };
};

/// @brief A key of a client account; only its digest is kept.
struct Key
{
  std::string id;
  std::string account;
  std::string digest; ///< Hexadecimal, see DigestOf.
};

/// @brief An entry host known to the operators.
struct Host
{
  std::string id;
  LifeState state = LifeState::InService;
};

/// @brief One version of everything that operators set.
struct FleetConfig
{
  std::uint64_t version = 0;
  std::map<std::string, Service> services;
  std::map<std::string, Endpoint> endpoints;
  std::map<std::string, Route> routes;
  std::map<std::string, Account> accounts;
  std::map<std::string, Key> keys;
  std::map<std::string, Host> hosts;
  /// Data centres whose endpoints get no requests.
  std::set<std::string> evacuated;
  CallerLimits limits;
  /// Grows when endpoints or evacuations change without a new version.
  std::uint64_t endpoint_revision = 0;
};

/// @brief Finds every fault of a configuration that refers to itself wrongly
/// or that no daemon could carry out.
/// @return One sentence for each fault; empty if the configuration is sound.
std::vector<std::string>
FaultsOf(const FleetConfig& aConfig);

/// @brief Finds the route with the longest path prefix of a path, among those
/// of a host name and those for all names.
/// @return The route, or nullptr if none matches.
const Route*
FindRoute(const FleetConfig& aConfig,
          const std::string& aHost,
          const std::string& aPath);

/// @brief Checks that text is "ip:port" with a numeric IPv4 address.
bool
IsAddress(const std::string& aText);

/// @brief Encodes a configuration as rows, by key "kind/id". The row of an
/// evacuation, "evacuations/DATA-CENTRE", is an empty object.
std::map<std::string, nlohmann::json>
RowsOf(const FleetConfig& aConfig);

/// @brief One row by its key "kind/id", or null if there is none.
/// @throws ConfigError if the key names no kind.
nlohmann::json
RowOf(const FleetConfig& aConfig, const std::string& aKey);

/// @brief Sets or removes one row.
/// @param aKey "kind/id".
/// @param aRow The row, or null to remove it.
/// @throws ConfigError if the kind or a field is not known.
void
SetRow(FleetConfig& aConfig,
       const std::string& aKey,
       const nlohmann::json& aRow);

/// @brief Encodes a configuration, for the object store and for peers.
std::string
EncodeFleet(const FleetConfig& aConfig);

/// @brief Decodes EncodeFleet's text.
/// @throws ConfigError if the text is not a sound configuration.
FleetConfig
DecodeFleet(const std::string& aText);

/// @brief Decodes EncodeFleet's text without judging what it refers to.
/// @throws ConfigError if the text cannot be decoded.
FleetConfig
DecodeAcceptedFleet(const std::string& aText);

} // namespace sapphirelane

#endif // SAPPHIRELANE_CONFIG_FLEET_H
