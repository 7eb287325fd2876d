#include "sapphirelane/config/fleet.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <optional>
#include <string_view>

#include "sapphirelane/base/error.h"

namespace sapphirelane {

using nlohmann::json;

namespace {

constexpr std::size_t kIdLength = 64;
constexpr std::size_t kDigestLength = 64;
constexpr std::uint32_t kFullPercent = 100;

const char*
ModeName(RouteMode aMode)
{
  switch (aMode) {
    case RouteMode::Safe:
      return "safe";
    case RouteMode::RunOnce:
      return "run-once";
    case RouteMode::Plain:
      break;
  }
  return "plain";
}

RouteMode
ModeFrom(const std::string& aName)
{
  for (RouteMode mode :
       { RouteMode::Safe, RouteMode::RunOnce, RouteMode::Plain }) {
    if (aName == ModeName(mode)) {
      return mode;
    }
  }
  throw ConfigError("route mode \"" + aName +
                    "\": expected safe, plain or run-once");
}

LifeState
StateFrom(const json& aRow)
{
  const auto name = aRow.at("state").get<std::string>();
  if (name == "in-service") {
    return LifeState::InService;
  }
  if (name == "leaving") {
    return LifeState::Leaving;
  }
  throw ConfigError("state \"" + name + "\": expected in-service or leaving");
}

const char*
StateName(LifeState aState)
{
  return aState == LifeState::Leaving ? "leaving" : "in-service";
}

/// Row of an evacuation; its key says all.
json
EvacuationRow()
{
  return json::object();
}

json
Row(const Service& aService)
{
  json row = { { "floor", aService.floor } };
  if (aService.connections > 0) {
    row["connections"] = aService.connections;
  }
  if (aService.cold_per_second != 0) {
    row["cold_per_second"] = aService.cold_per_second;
  }
  if (aService.cold_start != Milliseconds::zero()) {
    row["cold_start_ms"] = aService.cold_start.count();
  }
  return row;
}

json
Row(const Endpoint& aEndpoint)
{
  json row = { { "state", StateName(aEndpoint.state) },
               { "service", aEndpoint.service },
               { "address", aEndpoint.address },
               { "slots", aEndpoint.slots },
               { "connections", aEndpoint.connections } };
  if (!aEndpoint.data_centre.empty()) {
    row["data_centre"] = aEndpoint.data_centre;
  }
  return row;
}

json
Row(const Route& aRoute)
{
  json row = { { "path", aRoute.path },
               { "service", aRoute.service },
               { "mode", ModeName(aRoute.mode) },
               { "open", aRoute.open },
               { "timeout_ms", aRoute.timeout.count() },
               { "callers", aRoute.callers } };
  // Optional fields are written only if they are set.
  if (!aRoute.host.empty()) {
    row["host"] = aRoute.host;
  }
  if (aRoute.target > Milliseconds::zero()) {
    row["target_ms"] = aRoute.target.count();
  }
  if (aRoute.attempts > 0) {
    row["attempts"] = aRoute.attempts;
  }
  if (aRoute.priority > 0) {
    row["priority"] = aRoute.priority;
  }
  for (const TrafficShare& share : aRoute.split) {
    row["split"].push_back(
      { { "service", share.service }, { "weight", share.weight } });
  }
  return row;
}

json
Row(const Account& aAccount)
{
  json row = { { "rate", aAccount.rate }, { "burst", aAccount.burst } };
  if (aAccount.priority) {
    row["priority"] = *aAccount.priority;
  }
  return row;
}

json
Row(const Key& aKey)
{
  return { { "account", aKey.account }, { "digest", aKey.digest } };
}

json
Row(const Host& aHost)
{
  return { { "state", StateName(aHost.state) } };
}

void
Read(const json& aRow, Service& aService)
{
  aRow.at("floor").get_to(aService.floor);
  aService.connections = aRow.value("connections", 0U);
  aService.cold_per_second = aRow.value("cold_per_second", 0.0);
  aService.cold_start =
    Milliseconds(aRow.value("cold_start_ms", std::int64_t{ 0 }));
}

void
Read(const json& aRow, Endpoint& aEndpoint)
{
  aEndpoint.state = StateFrom(aRow);
  aRow.at("service").get_to(aEndpoint.service);
  aRow.at("address").get_to(aEndpoint.address);
  aRow.at("slots").get_to(aEndpoint.slots);
  aRow.at("connections").get_to(aEndpoint.connections);
  aEndpoint.data_centre = aRow.value("data_centre", std::string());
}

void
Read(const json& aRow, Route& aRoute)
{
  aRow.at("path").get_to(aRoute.path);
  aRow.at("service").get_to(aRoute.service);
  aRoute.mode = ModeFrom(aRow.at("mode").get<std::string>());
  aRow.at("open").get_to(aRoute.open);
  aRoute.timeout = Milliseconds(aRow.at("timeout_ms").get<std::int64_t>());
  aRow.at("callers").get_to(aRoute.callers);
  aRoute.host = aRow.value("host", std::string());
  aRoute.target = Milliseconds(aRow.value("target_ms", std::int64_t{ 0 }));
  aRoute.attempts = aRow.value("attempts", 0U);
  aRoute.priority = aRow.value("priority", 0U);
  for (const json& share : aRow.value("split", json::array())) {
    aRoute.split.push_back({ share.at("service").get<std::string>(),
                             share.at("weight").get<double>() });
  }
}

void
Read(const json& aRow, Account& aAccount)
{
  aRow.at("rate").get_to(aAccount.rate);
  aRow.at("burst").get_to(aAccount.burst);
  if (aRow.contains("priority")) {
    aAccount.priority = aRow.at("priority").get<std::uint32_t>();
  }
}

void
Read(const json& aRow, Key& aKey)
{
  aRow.at("account").get_to(aKey.account);
  aRow.at("digest").get_to(aKey.digest);
}

void
Read(const json& aRow, Host& aHost)
{
  aHost.state = StateFrom(aRow);
}

template<typename Item>
void
AddRows(std::map<std::string, json>& aRows,
        const char* aKind,
        const std::map<std::string, Item>& aItems)
{
  for (const auto& [id, item] : aItems) {
    aRows.emplace(std::string(aKind) + "/" + id, Row(item));
  }
}

template<typename Item>
void
SetItem(std::map<std::string, Item>& aItems,
        const std::string& aId,
        const json& aRow)
{
  if (aRow.is_null()) {
    aItems.erase(aId);
    return;
  }
  Item item;
  item.id = aId;
  Read(aRow, item);
  aItems[aId] = item;
}

constexpr std::string_view kEvacuationPrefix = "evacuations/";

/// Longest name of a data centre that can be evacuated.
constexpr std::size_t kDataCentreLength = 255;

/// Data centre of an evacuation's row key; empty for keys of another kind.
std::string
EvacuationOf(const std::string& aKey)
{
  const std::size_t length = kEvacuationPrefix.size();
  return aKey.compare(0, length, kEvacuationPrefix) == 0 ? aKey.substr(length)
                                                         : std::string();
}

/// Calls back with the items of a row key's kind, and its id.
/// @throws ConfigError if the key names no kind.
template<typename Config, typename Visitor>
void
VisitKind(Config& aConfig, const std::string& aKey, const Visitor& aVisitor)
{
  const auto slash = aKey.find('/');
  if (slash == std::string::npos) {
    throw ConfigError("row key \"" + aKey + "\": expected kind/id");
  }
  const std::string kind = aKey.substr(0, slash);
  const std::string id = aKey.substr(slash + 1);
  if (kind == "service") {
    aVisitor(aConfig.services, id);
  } else if (kind == "endpoint") {
    aVisitor(aConfig.endpoints, id);
  } else if (kind == "route") {
    aVisitor(aConfig.routes, id);
  } else if (kind == "account") {
    aVisitor(aConfig.accounts, id);
  } else if (kind == "key") {
    aVisitor(aConfig.keys, id);
  } else if (kind == "host") {
    aVisitor(aConfig.hosts, id);
  } else {
    throw ConfigError("row kind \"" + kind + "\" does not exist");
  }
}

bool
IsId(const std::string& aText)
{
  if (aText.empty() || aText.size() > kIdLength) {
    return false;
  }
  for (char c : aText) {
    const bool allowed = std::isalnum(static_cast<unsigned char>(c)) != 0 ||
                         c == '-' || c == '_' || c == '.';
    if (!allowed) {
      return false;
    }
  }
  return true;
}

/// Other bytes could not be written as JSON, nor matched with a request.
bool
IsPrintable(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return std::isgraph(aByte) != 0 && aByte < 0x7F;
  });
}

/// Collects the faults of one configuration.
class FaultFinder
{
public:
  explicit FaultFinder(const FleetConfig& aConfig)
    : m_config(aConfig)
  {
  }

  std::vector<std::string> Find()
  {
    CheckIds(m_config.services);
    CheckIds(m_config.endpoints);
    CheckIds(m_config.routes);
    CheckIds(m_config.accounts);
    CheckIds(m_config.keys);
    CheckIds(m_config.hosts);
    for (const std::string& name : m_config.evacuated) {
      Expect(name.size() <= kDataCentreLength && IsPrintable(name), [&] {
        return "evacuated data centre \"" + name +
               "\": expected at most 255 printable ASCII characters";
      });
    }
    for (const auto& entry : m_config.services) {
      Check(entry.second);
    }
    for (const auto& entry : m_config.endpoints) {
      Check(entry.second);
    }
    for (const auto& entry : m_config.routes) {
      Check(entry.second);
    }
    for (const auto& entry : m_config.accounts) {
      Check(entry.second);
    }
    for (const auto& entry : m_config.keys) {
      Check(entry.second);
    }
    return m_faults;
  }

private:
  /// Builds the text of a fault only if there is one.
  template<typename Text>
  void Expect(bool aHolds, const Text& aFault)
  {
    if (!aHolds) {
      m_faults.push_back(aFault());
    }
  }

  template<typename Item>
  void CheckIds(const std::map<std::string, Item>& aItems)
  {
    for (const auto& entry : aItems) {
      Expect(IsId(entry.first), [&] {
        return "id \"" + entry.first +
               "\": expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"";
      });
    }
  }

  void Check(const Service& aService)
  {
    const auto name = [&] { return "service \"" + aService.id + "\": "; };
    Expect(aService.floor <= kFullPercent,
           [&] { return name() + "floor is above 100 percent"; });
    Expect(std::isfinite(aService.cold_per_second) &&
             aService.cold_per_second >= 0,
           [&] { return name() + "cold_per_second is below 0"; });
    Expect(aService.cold_start >= Milliseconds::zero() &&
             aService.cold_start <= kMaxColdTime,
           [&] { return name() + "cold_start_ms is not 0 to 600000"; });
  }

  void Check(const Endpoint& aEndpoint)
  {
    const auto name = [&] { return "endpoint \"" + aEndpoint.id + "\": "; };
    Expect(m_config.services.count(aEndpoint.service) == 1, [&] {
      return name() + "service \"" + aEndpoint.service + "\" does not exist";
    });
    Expect(IsAddress(aEndpoint.address), [&] {
      return name() + "address \"" + aEndpoint.address + "\" is not ip:port";
    });
    Expect(aEndpoint.slots >= 1, [&] { return name() + "slots is 0"; });
    Expect(aEndpoint.connections >= 1,
           [&] { return name() + "connections is 0"; });
  }

  void Check(const Route& aRoute)
  {
    const auto name = [&] { return "route \"" + aRoute.id + "\": "; };
    Expect(m_config.services.count(aRoute.service) == 1, [&] {
      return name() + "service \"" + aRoute.service + "\" does not exist";
    });
    Expect(!aRoute.path.empty() && aRoute.path.front() == '/', [&] {
      return name() + "path \"" + aRoute.path + "\" does not start with \"/\"";
    });
    Expect(IsPrintable(aRoute.path) && IsPrintable(aRoute.host), [&] {
      return name() + "path or host holds other than printable ASCII";
    });
    Expect(aRoute.timeout > Milliseconds::zero(),
           [&] { return name() + "timeout is 0"; });
    Expect(!(aRoute.open && aRoute.mode == RouteMode::RunOnce),
           [&] { return name() + "a run-once route cannot be open to all"; });
    for (const std::string& caller : aRoute.callers) {
      Expect(m_config.accounts.count(caller) == 1, [&] {
        return name() + "account \"" + caller + "\" does not exist";
      });
    }
    for (const TrafficShare& share : aRoute.split) {
      Expect(m_config.services.count(share.service) == 1, [&] {
        return name() + "service \"" + share.service + "\" does not exist";
      });
      Expect(std::isfinite(share.weight) && share.weight >= 0,
             [&] { return name() + "a weight is below 0"; });
    }
    const std::string place = aRoute.host + aRoute.path;
    const auto other = m_paths.emplace(place, aRoute.id).first;
    Expect(other->second == aRoute.id, [&] {
      return name() + "path \"" + aRoute.path + "\" is that of route \"" +
             other->second + "\"";
    });
  }

  void Check(const Account& aAccount)
  {
    const auto name = [&] { return "account \"" + aAccount.id + "\": "; };
    const bool finite =
      std::isfinite(aAccount.rate) && std::isfinite(aAccount.burst);
    Expect(finite && aAccount.rate > 0,
           [&] { return name() + "rate is not above 0"; });
    const double least = 1 + aAccount.rate * ToSeconds(kGrantLife);
    Expect(finite && aAccount.burst >= least, [&] {
      return name() + "burst is " + std::to_string(aAccount.burst) +
             ", expected at least 1 + rate x 0.25 s = " + std::to_string(least);
    });
  }

  void Check(const Key& aKey)
  {
    const auto name = [&] { return "key \"" + aKey.id + "\": "; };
    Expect(m_config.accounts.count(aKey.account) == 1, [&] {
      return name() + "account \"" + aKey.account + "\" does not exist";
    });
    Expect(aKey.digest.size() == kDigestLength,
           [&] { return name() + "digest is not whole"; });
  }

  const FleetConfig& m_config;
  std::vector<std::string> m_faults;
  std::map<std::string, std::string> m_paths; ///< Route ids by host and path.
};

} // namespace

std::vector<std::string>
FaultsOf(const FleetConfig& aConfig)
{
  return FaultFinder(aConfig).Find();
}

const Route*
FindRoute(const FleetConfig& aConfig,
          const std::string& aHost,
          const std::string& aPath)
{
  const Route* best = nullptr;
  for (const auto& entry : aConfig.routes) {
    const Route& route = entry.second;
    if (!route.host.empty() && route.host != aHost) {
      continue;
    }
    const bool matches = aPath.compare(0, route.path.size(), route.path) == 0;
    const bool whole = aPath.size() == route.path.size() ||
                       route.path.back() == '/' ||
                       aPath[route.path.size()] == '/';
    const bool longer =
      best == nullptr || route.path.size() > best->path.size();
    if (matches && whole && longer) {
      best = &route;
    }
  }
  return best;
}

bool
IsAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr parsed{};
  if (inet_pton(AF_INET, aText.substr(0, colon).c_str(), &parsed) != 1) {
    return false;
  }
  const std::string port = aText.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos) {
    return false;
  }
  constexpr int kHighestPort = 65535;
  const int number = std::stoi(port);
  return number >= 1 && number <= kHighestPort;
}

std::map<std::string, json>
RowsOf(const FleetConfig& aConfig)
{
  std::map<std::string, json> rows;
  AddRows(rows, "service", aConfig.services);
  AddRows(rows, "endpoint", aConfig.endpoints);
  AddRows(rows, "route", aConfig.routes);
  AddRows(rows, "account", aConfig.accounts);
  AddRows(rows, "key", aConfig.keys);
  AddRows(rows, "host", aConfig.hosts);
  for (const std::string& name : aConfig.evacuated) {
    rows.emplace(std::string(kEvacuationPrefix) + name, EvacuationRow());
  }
  return rows;
}

json
RowOf(const FleetConfig& aConfig, const std::string& aKey)
{
  const std::string evacuated = EvacuationOf(aKey);
  if (!evacuated.empty()) {
    return aConfig.evacuated.count(evacuated) == 1 ? EvacuationRow() : json();
  }
  json row;
  const auto find = [&row](const auto& aItems, const std::string& aId) {
    auto found = aItems.find(aId);
    if (found != aItems.end()) {
      row = Row(found->second);
    }
  };
  VisitKind(aConfig, aKey, find);
  return row;
}

void
SetRow(FleetConfig& aConfig, const std::string& aKey, const json& aRow)
{
  const std::string evacuated = EvacuationOf(aKey);
  if (!evacuated.empty()) {
    if (aRow.is_null()) {
      aConfig.evacuated.erase(evacuated);
    } else {
      aConfig.evacuated.insert(evacuated);
    }
    return;
  }
  try {
    VisitKind(aConfig, aKey, [&aRow](auto& aItems, const std::string& aId) {
      SetItem(aItems, aId, aRow);
    });
  } catch (const json::exception& error) {
    throw ConfigError("row \"" + aKey + "\": " + error.what());
  }
}

std::string
EncodeFleet(const FleetConfig& aConfig)
{
  json text = { { "version", aConfig.version }, { "rows", RowsOf(aConfig) } };
  const CallerLimits& limits = aConfig.limits;
  if (limits.body_bytes > 0) {
    text["limits"] = { { "head_bytes", limits.head_bytes },
                       { "body_bytes", limits.body_bytes },
                       { "head_ms", limits.head_time.count() },
                       { "idle_ms", limits.idle.count() } };
  }
  return text.dump();
}

FleetConfig
DecodeAcceptedFleet(const std::string& aText)
{
  FleetConfig config;
  try {
    const json text = json::parse(aText);
    text.at("version").get_to(config.version);
    for (const auto& [key, row] : text.at("rows").items()) {
      SetRow(config, key, row);
    }
    if (text.contains("limits")) {
      const json& limits = text.at("limits");
      limits.at("head_bytes").get_to(config.limits.head_bytes);
      limits.at("body_bytes").get_to(config.limits.body_bytes);
      config.limits.head_time =
        Milliseconds(limits.at("head_ms").get<std::int64_t>());
      config.limits.idle =
        Milliseconds(limits.at("idle_ms").get<std::int64_t>());
    }
  } catch (const json::exception& error) {
    throw ConfigError(std::string("fleet configuration: ") + error.what());
  }
  return config;
}

FleetConfig
DecodeFleet(const std::string& aText)
{
  FleetConfig config = DecodeAcceptedFleet(aText);
  const auto faults = FaultsOf(config);
  if (!faults.empty()) {
    throw ConfigError("fleet configuration: " + faults.front());
  }
  return config;
}

} // namespace sapphirelane
