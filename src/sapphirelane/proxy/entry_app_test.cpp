#include "sapphirelane/proxy/entry_app.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/log.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/proxy/loopback.h"
#include "sapphirelane/store/fleet_source.h"

namespace sapphirelane {
namespace {

bool
IsListening(const std::string& aAddress)
{
  try {
    RawConnection::Connect(aAddress);
    return true;
  } catch (const Error&) {
    return false;
  }
}

/// Answers the second read of the configuration with a new version, and only
/// when the daemon's operator port is closed, which is late in a planned stop.
class LateSource : public FleetSource
{
public:
  explicit LateSource(std::string aOperatorAddress)
    : m_operatorAddress(std::move(aOperatorAddress))
  {
  }

  EndpointBatch ReadEndpoints(std::uint64_t aAfter) override
  {
    EndpointBatch batch;
    batch.whole = aAfter == 0;
    batch.version = 1;
    return batch;
  }

  ConfigBatch ReadConfig(std::uint64_t /*aAfter*/) override
  {
    if (++m_reads > 1) {
      s_secondReadStarted = true;
      while (IsListening(m_operatorAddress)) {
        std::this_thread::sleep_for(Milliseconds(2));
      }
    }
    ConfigBatch batch;
    batch.version = m_reads;
    batch.config = FleetConfig();
    batch.config->version = m_reads;
    return batch;
  }

  std::vector<HostEntry> ReadHosts() override { return {}; }
  void WriteHost(const HostEntry& /*aHost*/) override {}
  void RemoveHost(const std::string& /*aHost*/) override {}

  static std::atomic<bool> s_secondReadStarted;

private:
  std::string m_operatorAddress;
  std::uint64_t m_reads = 0;
};

std::atomic<bool> LateSource::s_secondReadStarted{ false };

const SourceRegistry::Registration kLateSource(
  "late",
  [](const PlatformSettings& aSettings) {
    return std::make_unique<LateSource>(aSettings.address);
  });

std::uint16_t
FreePort()
{
  const std::string address = RawListener().Address();
  return static_cast<std::uint16_t>(
    std::stoi(address.substr(address.rfind(':') + 1)));
}

/// Guards against a crash: the dispatch thread set the limits of a listener
/// that the stop had destroyed.
TEST_CASE("EntryApp, configuration changes late in a planned stop, stops")
{
  SetLogSink([](const std::string&) {});
  StartSecrets();
  EntrySettings settings;
  settings.host = "h";
  settings.data_centre = "c";
  settings.listen.callers = FreePort();
  settings.listen.peers = FreePort();
  settings.listen.operators = FreePort();
  settings.platform.source = "late";
  settings.platform.address =
    "127.0.0.1:" + std::to_string(settings.listen.operators);
  settings.balancer_notice = Milliseconds(0);
  auto app = MakeEntryApp(settings);
  app->Start();
  while (!LateSource::s_secondReadStarted) {
    std::this_thread::sleep_for(Milliseconds(2));
  }
  CHECK(app->StopPlanned());
  app.reset();
  SetLogSink(nullptr);
}

} // namespace
} // namespace sapphirelane
