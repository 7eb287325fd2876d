#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "sapphirelane/base/secret.h"
#include "sapphirelane/kernel/peer_link.h"
#include "sapphirelane/kernel/source_duty.h"
#include "sapphirelane/proxy/fleet_runtime.h"
#include "sapphirelane/relay/store_fleet.h"

namespace sapphirelane {

namespace {

StoreFleetOptions
MakeStoreFleetOptions(const EntrySettings& aSettings)
{
  StoreFleetOptions options;
  options.self.id = RandomBits() | 1U;
  options.self.host = aSettings.host;
  options.self.data_centre = aSettings.data_centre;
  options.self.address =
    aSettings.listen.address + ":" + std::to_string(aSettings.listen.peers);
  options.started_ms = static_cast<std::uint64_t>(
    std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  for (const std::string& seed : aSettings.seeds) {
    const std::string ip = seed.substr(0, seed.rfind(':'));
    options.seeds.push_back(aSettings.seeds_use_peer_port
                              ? ip + ":" +
                                  std::to_string(aSettings.listen.peers)
                              : seed);
  }
  options.extras.share = aSettings.extras.share;
  options.extras.slack = aSettings.extras.slack;
  options.extras.window = aSettings.extras.window;
  options.new_fleet = aSettings.new_fleet;
  options.seed = RandomBits();
  return options;
}

/// Runs a daemon of a fleet around an external store: connects it to peer
/// links, the store and their threads.
class StoreFleetRuntime
  : public FleetRuntime
  , public StoreFleetEnv
{
public:
  StoreFleetRuntime(const EntrySettings& aSettings,
                    std::unique_ptr<FleetSource> aSource,
                    DispatchDuty& aDispatch,
                    Metrics& aMetrics)
    : m_dispatch(aDispatch)
  {
    const StoreFleetOptions options = MakeStoreFleetOptions(aSettings);
    m_fleet = MakeStoreFleet(options, *this);
    PeerLinkOptions link;
    link.address = aSettings.listen.address;
    link.port = aSettings.listen.peers;
    link.secret = aSettings.fleet_secret;
    link.self = options.self.id;
    MakePeerLinks(link, aMetrics);
    m_ownedSource = MakeSourceDuty(
      std::move(aSource), aMetrics, [this](SourceResult aResult) {
        m_dispatch.PostWaiting(
          [this, result = std::move(aResult)](TimePoint aNow) {
            m_fleet->OnSource(result, aNow);
          });
      });
    m_source = m_ownedSource.get();
  }

  FleetControl& Control() override { return *m_fleet; }

  void AddDuties(Kernel& aKernel) override
  {
    aKernel.Add(std::move(m_ownedSource));
    aKernel.Add(std::move(m_ownedCaller));
    aKernel.Add(std::move(m_ownedServer));
    aKernel.Add(std::move(m_ownedDatagrams));
  }

  void Announce(bool aLeaving) override
  {
    if (aLeaving) {
      m_dispatch.Post([this](TimePoint aNow) { m_fleet->BeginStop(aNow); });
    }
  }

  void Tick(TimePoint aNow) override { m_fleet->Tick(aNow); }

  void Measure(Metrics& aMetrics, TimePoint aNow) override
  {
    const StoreFleetStatus status = m_fleet->Status(aNow);
    const bool hasView = status.view_age != Duration::max();
    aMetrics.Set(
      "view_age_seconds", {}, hasView ? ToSeconds(status.view_age) : -1);
    aMetrics.Set("endpoints", {}, static_cast<double>(status.endpoints));
    aMetrics.Set("members", {}, static_cast<double>(status.live));
    aMetrics.Set("members_counted", {}, static_cast<double>(status.counted));
    aMetrics.Set("platform_answers", {}, status.store_answers ? 1 : 0);
    aMetrics.Set("store_era", {}, static_cast<double>(status.store_era));
  }

  void BeginStop(TimePoint /*aNow*/) override {} // Done by Announce.
  bool IsStopped(TimePoint /*aNow*/) override { return true; }

  OperatorReply HandleOperator(const OperatorCall& aCall) override
  {
    if (aCall.path != "/v1/status") {
      return FaultReply(404,
                        "the store that configures this fleet answers that");
    }
    const StoreFleetStatus status = m_dispatch.Call<StoreFleetStatus>(
      [this](TimePoint aNow) { return m_fleet->Status(aNow); });
    const bool hasView = status.view_age != Duration::max();
    nlohmann::json evacuated = nlohmann::json::object();
    for (const auto& [name, known] : status.evacuated) {
      evacuated[name] = { { "known_ms", ToMilliseconds(known).count() } };
    }
    const nlohmann::json body = {
      { "config_version", status.config_version },
      { "endpoints", status.endpoints },
      { "view_age_ms",
        hasView ? nlohmann::json(ToMilliseconds(status.view_age).count())
                : nlohmann::json() },
      { "members", status.live },
      { "members_counted", status.counted },
      { "platform_answers", status.store_answers },
      { "store_era", status.store_era },
      { "evacuated", evacuated }
    };
    // A name from the store may be no proper UTF-8.
    return JsonReply(
      200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }

  // StoreFleetEnv, on the dispatch thread.

  void Send(const std::vector<std::string>& aAddresses,
            const PeerMessage& aMessage) override
  {
    m_datagrams->SendAll(aAddresses, aMessage);
  }

  void CallSource(SourceCall aCall) override
  {
    if (!m_source->Call(aCall)) {
      m_dispatch.Post([this, aCall](TimePoint aNow) {
        SourceResult result;
        result.kind = aCall.kind;
        result.error = "too many calls wait";
        m_fleet->OnSource(result, aNow);
      });
    }
  }

  void CallPeer(BulkCall aCall) override
  {
    const std::uint64_t id = aCall.id;
    if (!m_caller->Call(std::move(aCall))) {
      m_dispatch.Post([this, id](TimePoint aNow) {
        m_fleet->OnBulkReply(id, std::nullopt, aNow);
      });
    }
  }

private:
  void MakePeerLinks(const PeerLinkOptions& aLink, Metrics& aMetrics)
  {
    m_ownedDatagrams = MakeDatagramDuty(
      aLink,
      aMetrics,
      [this](NodeId /*aFrom*/, std::string aAddress, PeerMessage aMessage) {
        // If the ring is full, the datagram is dropped, as on a network.
        m_dispatch.Post(
          [this, address = std::move(aAddress), message = std::move(aMessage)](
            TimePoint aNow) { m_fleet->OnMessage(address, message, aNow); });
      });
    m_datagrams = m_ownedDatagrams.get();
    m_ownedServer = MakeBulkServer(
      aLink, aMetrics, [this](NodeId /*aFrom*/, const BulkMessage& aRequest) {
        return m_dispatch.Call<BulkMessage>([this, aRequest](TimePoint aNow) {
          return m_fleet->ServeBulk(aRequest, aNow);
        });
      });
    m_ownedCaller = MakeBulkCaller(
      aLink, aMetrics, [this](std::uint64_t aCall, BulkReply aReply) {
        m_dispatch.PostWaiting(
          [this, aCall, reply = std::move(aReply)](TimePoint aNow) {
            m_fleet->OnBulkReply(aCall, reply, aNow);
          });
      });
    m_caller = m_ownedCaller.get();
  }

  DispatchDuty& m_dispatch;
  std::unique_ptr<StoreFleet> m_fleet;
  std::unique_ptr<DatagramDuty> m_ownedDatagrams;
  std::unique_ptr<Duty> m_ownedServer;
  std::unique_ptr<BulkCallerDuty> m_ownedCaller;
  std::unique_ptr<SourceDuty> m_ownedSource;
  DatagramDuty* m_datagrams = nullptr;
  BulkCallerDuty* m_caller = nullptr;
  SourceDuty* m_source = nullptr;
};

} // namespace

std::unique_ptr<FleetRuntime>
MakeStoreFleetRuntime(const EntrySettings& aSettings,
                      std::unique_ptr<FleetSource> aSource,
                      DispatchDuty& aDispatch,
                      Metrics& aMetrics)
{
  return std::make_unique<StoreFleetRuntime>(
    aSettings, std::move(aSource), aDispatch, aMetrics);
}

} // namespace sapphirelane
