#include "sapphirelane/config/fleet.h"

#include <arpa/inet.h>

#include <cmath>
#include <optional>

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

json
Row(const Service& aService)
{
  return { { "floor", aService.floor } };
}

json
Row(const Endpoint& aEndpoint)
{
  return { { "state", StateName(aEndpoint.state) },
           { "service", aEndpoint.service },
           { "address", aEndpoint.address },
           { "slots", aEndpoint.slots },
           { "connections", aEndpoint.connections } };
}

json
Row(const Route& aRoute)
{
  return { { "path", aRoute.path },
           { "service", aRoute.service },
           { "mode", ModeName(aRoute.mode) },
           { "open", aRoute.open },
           { "timeout_ms", aRoute.timeout.count() },
           { "callers", aRoute.callers } };
}

json
Row(const Account& aAccount)
{
  return { { "rate", aAccount.rate }, { "burst", aAccount.burst } };
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
}

void
Read(const json& aRow, Endpoint& aEndpoint)
{
  aEndpoint.state = StateFrom(aRow);
  aRow.at("service").get_to(aEndpoint.service);
  aRow.at("address").get_to(aEndpoint.address);
  aRow.at("slots").get_to(aEndpoint.slots);
  aRow.at("connections").get_to(aEndpoint.connections);
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
}

void
Read(const json& aRow, Account& aAccount)
{
  aRow.at("rate").get_to(aAccount.rate);
  aRow.at("burst").get_to(aAccount.burst);
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
    CheckIds();
    for (const auto& [id, service] : m_config.services) {
      Expect(service.floor <= kFullPercent,
             "service \"" + id + "\": floor is above 100 percent");
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
  void Expect(bool aHolds, const std::string& aFault)
  {
    if (!aHolds) {
      m_faults.push_back(aFault);
    }
  }

  void CheckIds()
  {
    for (const auto& entry : RowsOf(m_config)) {
      const std::string id = entry.first.substr(entry.first.find('/') + 1);
      Expect(IsId(id),
             "id \"" + id +
               "\": expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"");
    }
  }

  void Check(const Endpoint& aEndpoint)
  {
    const std::string name = "endpoint \"" + aEndpoint.id + "\": ";
    Expect(m_config.services.count(aEndpoint.service) == 1,
           name + "service \"" + aEndpoint.service + "\" does not exist");
    Expect(IsAddress(aEndpoint.address),
           name + "address \"" + aEndpoint.address + "\" is not ip:port");
    Expect(aEndpoint.slots >= 1, name + "slots is 0");
    Expect(aEndpoint.connections >= 1, name + "connections is 0");
  }

  void Check(const Route& aRoute)
  {
    const std::string name = "route \"" + aRoute.id + "\": ";
    Expect(m_config.services.count(aRoute.service) == 1,
           name + "service \"" + aRoute.service + "\" does not exist");
    Expect(!aRoute.path.empty() && aRoute.path.front() == '/',
           name + "path \"" + aRoute.path + "\" does not start with \"/\"");
    Expect(aRoute.timeout > Milliseconds::zero(), name + "timeout is 0");
    Expect(!(aRoute.open && aRoute.mode == RouteMode::RunOnce),
           name + "a run-once route cannot be open to all");
    for (const std::string& caller : aRoute.callers) {
      Expect(m_config.accounts.count(caller) == 1,
             name + "account \"" + caller + "\" does not exist");
    }
    for (const auto& entry : m_config.routes) {
      const bool same =
        entry.first < aRoute.id && entry.second.path == aRoute.path;
      Expect(!same,
             name + "path \"" + aRoute.path + "\" is that of route \"" +
               entry.first + "\"");
    }
  }

  void Check(const Account& aAccount)
  {
    const std::string name = "account \"" + aAccount.id + "\": ";
    const bool finite =
      std::isfinite(aAccount.rate) && std::isfinite(aAccount.burst);
    Expect(finite && aAccount.rate > 0, name + "rate is not above 0");
    const double least = 1 + aAccount.rate * ToSeconds(kGrantLife);
    Expect(
      finite && aAccount.burst >= least,
      name + "burst is " + std::to_string(aAccount.burst) +
        ", expected at least 1 + rate x 0.25 s = " + std::to_string(least));
  }

  void Check(const Key& aKey)
  {
    const std::string name = "key \"" + aKey.id + "\": ";
    Expect(m_config.accounts.count(aKey.account) == 1,
           name + "account \"" + aKey.account + "\" does not exist");
    Expect(aKey.digest.size() == kDigestLength, name + "digest is not whole");
  }

  const FleetConfig& m_config;
  std::vector<std::string> m_faults;
};

} // namespace

std::vector<std::string>
FaultsOf(const FleetConfig& aConfig)
{
  return FaultFinder(aConfig).Find();
}

const Route*
FindRoute(const FleetConfig& aConfig, const std::string& aPath)
{
  const Route* best = nullptr;
  for (const auto& entry : aConfig.routes) {
    const Route& route = entry.second;
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
  return rows;
}

void
SetRow(FleetConfig& aConfig, const std::string& aKey, const json& aRow)
{
  const auto slash = aKey.find('/');
  const std::string kind = aKey.substr(0, slash);
  if (slash == std::string::npos) {
    throw ConfigError("row key \"" + aKey + "\": expected kind/id");
  }
  const std::string id = aKey.substr(slash + 1);
  try {
    if (kind == "service") {
      SetItem(aConfig.services, id, aRow);
    } else if (kind == "endpoint") {
      SetItem(aConfig.endpoints, id, aRow);
    } else if (kind == "route") {
      SetItem(aConfig.routes, id, aRow);
    } else if (kind == "account") {
      SetItem(aConfig.accounts, id, aRow);
    } else if (kind == "key") {
      SetItem(aConfig.keys, id, aRow);
    } else if (kind == "host") {
      SetItem(aConfig.hosts, id, aRow);
    } else {
      throw ConfigError("row kind \"" + kind + "\" does not exist");
    }
  } catch (const json::exception& error) {
    throw ConfigError("row \"" + aKey + "\": " + error.what());
  }
}

std::string
EncodeFleet(const FleetConfig& aConfig)
{
  json text = { { "version", aConfig.version }, { "rows", RowsOf(aConfig) } };
  return text.dump();
}

FleetConfig
DecodeFleet(const std::string& aText)
{
  FleetConfig config;
  try {
    const json text = json::parse(aText);
    text.at("version").get_to(config.version);
    for (const auto& [key, row] : text.at("rows").items()) {
      SetRow(config, key, row);
    }
  } catch (const json::exception& error) {
    throw ConfigError(std::string("fleet configuration: ") + error.what());
  }
  const auto faults = FaultsOf(config);
  if (!faults.empty()) {
    throw ConfigError("fleet configuration: " + faults.front());
  }
  return config;
}

} // namespace sapphirelane
