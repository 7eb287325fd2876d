#include "sapphirelane/config/settings.h"

#include <arpa/inet.h>

#include "sapphirelane/config/fleet.h"
#include "sapphirelane/config/yaml_reader.h"

namespace sapphirelane {

namespace {

constexpr std::uint64_t kLowestPort = 1;
constexpr std::uint64_t kHighestPort = 65535;
constexpr std::uint64_t kMostBodyBytes = 1ULL << 40U;
constexpr std::uint64_t kLeastBufferBytes = 4096;
constexpr std::uint64_t kMostBufferBytes = 16ULL << 20U;
constexpr std::uint64_t kMostRequests = 1000000;
constexpr std::size_t kLeastSecretLength = 16;
constexpr std::size_t kDigestLength = 64;
constexpr Milliseconds kOneHour{ 3600000 };
constexpr Milliseconds kOneDay{ 86400000 };

void
ReadIp(YamlReader& aReader, const std::string& aField, std::string& aValue)
{
  aReader.Read(aField, aValue);
  in_addr parsed{};
  if (inet_pton(AF_INET, aValue.c_str(), &parsed) != 1) {
    aReader.Refuse(aField, "a numeric IPv4 address");
  }
}

/// Reads a port, or "ip:port", which sets the address too.
void
ReadListener(YamlReader& aReader,
             const std::string& aField,
             std::string& aAddress,
             std::uint16_t& aPort)
{
  std::string text;
  aReader.Read(aField, text);
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    aReader.Read(aField, aPort, kLowestPort, kHighestPort);
    return;
  }
  if (!IsAddress(text)) {
    aReader.Refuse(aField, "a port or ip:port");
  }
  aAddress = text.substr(0, colon);
  aPort = static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)));
}

void
ReadListen(YamlReader aReader, ListenSettings& aListen)
{
  ReadIp(aReader, "address", aListen.address);
  ReadIp(aReader, "operator_address", aListen.operator_address);
  ReadListener(aReader, "callers", aListen.address, aListen.callers);
  aReader.Read("peers", aListen.peers, kLowestPort, kHighestPort);
  ReadListener(
    aReader, "operators", aListen.operator_address, aListen.operators);
  aReader.Finish();
}

void
ReadExtras(YamlReader aReader, ExtraSettings& aExtras)
{
  constexpr double kMostShare = 10;
  constexpr double kMostSlack = 1e6;
  aReader.Read("share", aExtras.share, 0, kMostShare);
  aReader.Read("slack", aExtras.slack, 0, kMostSlack);
  aReader.Read("window_ms", aExtras.window, Milliseconds(100), kOneHour);
  aReader.Finish();
}

void
ReadColdStarts(YamlReader aReader, ColdStartSettings& aColdStarts)
{
  constexpr double kMostOverage = 100;
  constexpr double kMostSlack = 1e6;
  aReader.Read("overage", aColdStarts.overage, 0, kMostOverage);
  aReader.Read("slack", aColdStarts.slack, 0, kMostSlack);
  aReader.Finish();
}

void
ReadPlatform(YamlReader aReader, PlatformSettings& aPlatform)
{
  aReader.Read("adapter", aPlatform.adapter);
  aReader.Read("source", aPlatform.source);
  aReader.Read("address", aPlatform.address);
  aReader.Read("terms", aPlatform.terms);
  if (aPlatform.adapter != "memory" && !IsAddress(aPlatform.address)) {
    aReader.Refuse("address", "ip:port");
  }
  aReader.Read(
    "timeout_ms", aPlatform.timeout, Milliseconds(10), Milliseconds(60000));
  aReader.Finish();
}

void
ReadLimits(YamlReader aReader, LimitSettings& aLimits)
{
  aReader.Read("body_bytes", aLimits.body_bytes, 0, kMostBodyBytes);
  aReader.Read(
    "buffer_bytes", aLimits.buffer_bytes, kLeastBufferBytes, kMostBufferBytes);
  aReader.Read("in_flight", aLimits.in_flight, 1, kMostRequests);
  aReader.Read(
    "queue_per_account", aLimits.queue_per_account, 1, kMostRequests);
  aReader.Read("connections", aLimits.connections, 1, kMostRequests);
  aReader.Read("idle_ms", aLimits.idle, Milliseconds(1000), kOneHour);
  aReader.Read(
    "dedup_window_ms", aLimits.dedup_window, Milliseconds(1000), kOneDay);
  aReader.Read(
    "connect_timeout_ms", aLimits.connect_timeout, Milliseconds(10), kOneHour);
  aReader.Read("proven_ms", aLimits.proven, Milliseconds(0), kOneHour);
  aReader.Finish();
}

void
ReadPolicies(YamlReader aReader, PolicySettings& aPolicies)
{
  aReader.Read("balancer", aPolicies.balancer);
  aReader.Read("ejector", aPolicies.ejector);
  aReader.Read("retry", aPolicies.retry);
  aReader.Read("queue", aPolicies.queue);
  aReader.Read("shed", aPolicies.shed);
  if (aPolicies.shed != "refuse" && aPolicies.shed != "wait") {
    aReader.Refuse("shed", "refuse or wait");
  }
  aReader.Read("dialect", aPolicies.dialect);
  aReader.Read("pool", aPolicies.pool, 1, kMostRequests);
  aReader.Read("ahead", aPolicies.ahead, 0, kMostRequests);
  constexpr double kMostTransferCost = 1e6;
  aReader.Read("transfer_cost_per_megabyte",
               aPolicies.transfer_cost_per_megabyte,
               0,
               kMostTransferCost);
  aReader.Finish();
}

EntrySettings
ReadSettings(YamlReader aReader)
{
  EntrySettings settings;
  settings.host = aReader.Required("host");
  settings.data_centre = aReader.Required("data_centre");
  ReadListen(aReader.Map("listen"), settings.listen);
  aReader.Read("static_fleet", settings.static_fleet);
  if (!settings.static_fleet.empty()) {
    settings.platform.adapter = "memory";
  }
  ReadPlatform(aReader.Map("platform"), settings.platform);
  settings.seeds = aReader.TextList("seeds");
  for (const std::string& seed : settings.seeds) {
    if (!IsAddress(seed)) {
      aReader.Refuse("seeds", "a list of ip:port");
    }
  }
  aReader.Read("seeds_use_peer_port", settings.seeds_use_peer_port);
  aReader.Read("new_fleet", settings.new_fleet);
  settings.fleet_secret = aReader.Required("fleet_secret");
  if (settings.fleet_secret.size() < kLeastSecretLength) {
    aReader.Refuse("fleet_secret", "at least 16 characters");
  }
  settings.operator_digest = aReader.Required("operator_digest");
  if (settings.operator_digest.size() != kDigestLength) {
    aReader.Refuse("operator_digest", "64 hexadecimal digits");
  }
  aReader.Read("log", settings.log);
  aReader.Read("drain_ms", settings.drain, Milliseconds(0), kOneHour);
  aReader.Read(
    "balancer_notice_ms", settings.balancer_notice, Milliseconds(0), kOneHour);
  ReadExtras(aReader.Map("extras"), settings.extras);
  ReadColdStarts(aReader.Map("cold_starts"), settings.cold_starts);
  ReadLimits(aReader.Map("limits"), settings.limits);
  ReadPolicies(aReader.Map("policies"), settings.policies);
  aReader.Finish();
  settings.fields_without_value = aReader.FieldsWithoutValue();
  return settings;
}

} // namespace

EntrySettings
LoadEntrySettings(const std::string& aFile)
{
  return ReadSettings(YamlReader::OpenFile(aFile));
}

EntrySettings
ReadEntrySettings(const std::string& aName, const std::string& aText)
{
  return ReadSettings(YamlReader::OpenText(aName, aText));
}

} // namespace sapphirelane
