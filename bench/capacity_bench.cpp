/// Slopes for docs/CAPACITY.md: time and bytes of single steps, by size.
#include <benchmark/benchmark.h>

#include "sapphirelane/admission/budget_holder.h"
#include "sapphirelane/admission/key_directory.h"
#include "sapphirelane/base/secret.h"
#include "sapphirelane/claims/claim_table.h"
#include "sapphirelane/config/change_set.h"
#include "sapphirelane/membership/head.h"
#include "sapphirelane/membership/shard_map.h"
#include "sapphirelane/wire/codec.h"
#include "sapphirelane/wire/seal.h"

namespace {

using namespace sapphirelane; // NOLINT(google-build-using-namespace)

std::vector<NodeId>
Ids(std::int64_t aCount)
{
  std::vector<NodeId> ids;
  for (std::int64_t i = 0; i < aCount; ++i) {
    ids.push_back(0x9e3779b97f4a7c15ULL * static_cast<NodeId>(i + 1));
  }
  return ids;
}

/// A configuration in the proportions of the design size.
FleetConfig
MakeFleet(std::int64_t aAccounts)
{
  FleetConfig config;
  config.version = 1;
  const auto count = static_cast<std::size_t>(aAccounts);
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = "account-" + std::to_string(i);
    config.accounts[id] = { id, 10, 20 };
    config.keys[id] = { id, id, DigestOf(id) };
  }
  for (std::size_t i = 0; i < count / 114 + 1; ++i) {
    const std::string id = "service-" + std::to_string(i);
    config.services[id] = { id, 50 };
  }
  for (std::size_t i = 0; i < count * 7 / 25; ++i) {
    const std::string id = "endpoint-" + std::to_string(i);
    config.endpoints[id] = { id,
                             LifeState::InService,
                             "service-" + std::to_string(i % (count / 114 + 1)),
                             "10.0.0.1:80",
                             2,
                             330 };
  }
  for (std::size_t i = 0; i < count * 2 / 25; ++i) {
    const std::string id = "route-" + std::to_string(i);
    Route& route = config.routes[id];
    route.id = id;
    route.path = "/" + id;
    route.service = "service-" + std::to_string(i % (count / 114 + 1));
    route.timeout = Milliseconds(1000);
  }
  return config;
}

void
BmShardMap(benchmark::State& aState)
{
  const auto ids = Ids(aState.range(0));
  for (auto unused : aState) {
    benchmark::DoNotOptimize(ShardMap(ids));
  }
}
BENCHMARK(BmShardMap)
  ->Arg(40)
  ->Arg(160)
  ->Arg(770)
  ->Unit(benchmark::kMicrosecond);

void
BmTokenAsk(benchmark::State& aState)
{
  BudgetHolder holder;
  std::vector<Account> accounts;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    accounts.push_back({ "account-" + std::to_string(i), 1000, 500 });
  }
  TimePoint now{ std::chrono::hours(1) };
  std::uint64_t question = 0;
  for (auto unused : aState) {
    now += std::chrono::milliseconds(14);
    if (++question % 50 == 0) {
      holder.Expire(now);
    }
    benchmark::DoNotOptimize(holder.Ask(accounts[question % accounts.size()],
                                        question,
                                        TimePoint{},
                                        TimePoint::max(),
                                        now));
  }
}
BENCHMARK(BmTokenAsk)->Arg(33)->Arg(330);

void
BmClaimAsk(benchmark::State& aState)
{
  ClaimTable table(std::chrono::minutes(10));
  const TimePoint now{ std::chrono::hours(1) };
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    Claim claim;
    claim.id = ClaimIdOf("a", std::to_string(i));
    table.Ask(claim, now);
  }
  std::uint64_t next = 1U << 30U;
  for (auto unused : aState) {
    Claim claim;
    claim.id = ClaimIdOf("a", std::to_string(++next));
    claim.ask = next;
    benchmark::DoNotOptimize(table.Ask(claim, now));
    table.Release(claim.id, claim.ask);
  }
}
BENCHMARK(BmClaimAsk)->Arg(1000)->Arg(43000)->Iterations(20000);

/// Sealed bytes and time of a question and its answer.
void
BmSealOpen(benchmark::State& aState)
{
  StartSecrets();
  Sealer sender("a secret of the fleet", 1);
  Sealer receiver("a secret of the fleet", 2);
  const WallTime wall{};
  const PeerMessage message = TokenAsk{ 1, "account-12345" };
  std::size_t bytes = 0;
  for (auto unused : aState) {
    const std::string sealed = sender.Seal(EncodeMessage(message), wall);
    bytes = sealed.size();
    benchmark::DoNotOptimize(
      DecodeMessage(receiver.Open(sealed, wall).payload));
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BmSealOpen);

void
CountBytes(benchmark::State& aState, const PeerMessage& aMessage)
{
  StartSecrets();
  Sealer sender("a secret of the fleet", 1);
  std::size_t bytes = 0;
  for (auto unused : aState) {
    bytes = sender.Seal(EncodeMessage(aMessage), WallTime{}).size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}

const MemberInfo kMember = { 1, "entry-123", "dc-1", "10.0.0.123:8083" };

void
BmHeartbeatBytes(benchmark::State& aState)
{
  CountBytes(aState, Heartbeat{ {}, 1 });
}
BENCHMARK(BmHeartbeatBytes);

void
BmHeadAnswerBytes(benchmark::State& aState)
{
  CountBytes(aState, HeadAnswer{});
}
BENCHMARK(BmHeadAnswerBytes);

void
BmTokenAnswerBytes(benchmark::State& aState)
{
  CountBytes(aState, TokenAnswer{});
}
BENCHMARK(BmTokenAnswerBytes);

void
BmClaimAskBytes(benchmark::State& aState)
{
  CountBytes(aState, ClaimAsk{ 1, ClaimIdOf("a", "b"), 2 });
}
BENCHMARK(BmClaimAskBytes);

void
BmClaimEndBytes(benchmark::State& aState)
{
  ClaimEnd end;
  end.claim.id = ClaimIdOf("a", "b");
  end.claim.body = std::string(200, 'b');
  CountBytes(aState, end);
}
BENCHMARK(BmClaimEndBytes);

void
BmHeadBytes(benchmark::State& aState)
{
  Head head;
  for (NodeId id : Ids(aState.range(0))) {
    head.members.push_back(kMember);
    head.members.back().id = id;
  }
  std::size_t bytes = 0;
  for (auto unused : aState) {
    bytes = EncodeHead(head).size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BmHeadBytes)->Arg(40)->Arg(770)->Unit(benchmark::kMicrosecond);

void
BmDecodeFleet(benchmark::State& aState)
{
  StartSecrets();
  const std::string text = EncodeFleet(MakeFleet(aState.range(0)));
  for (auto unused : aState) {
    benchmark::DoNotOptimize(DecodeFleet(text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(BmDecodeFleet)
  ->Arg(1000)
  ->Arg(5000)
  ->Arg(25000)
  ->Unit(benchmark::kMillisecond);

/// Taking over one change, which copies and checks the configuration.
void
BmApply(benchmark::State& aState)
{
  StartSecrets();
  const FleetConfig config = MakeFleet(aState.range(0));
  FleetConfig next = config;
  next.accounts.begin()->second.rate = 11;
  const ChangeSet change{ "id", "author", Difference(config, next) };
  for (auto unused : aState) {
    benchmark::DoNotOptimize(Apply(config, change));
  }
}
BENCHMARK(BmApply)->Arg(1000)->Arg(5000)->Arg(25000)->Unit(
  benchmark::kMillisecond);

void
BmFindRoute(benchmark::State& aState)
{
  StartSecrets();
  const FleetConfig config = MakeFleet(aState.range(0));
  for (auto unused : aState) {
    benchmark::DoNotOptimize(FindRoute(config, "", "/route-5/page"));
  }
}
BENCHMARK(BmFindRoute)->Arg(1000)->Arg(25000);

void
BmLoadKeys(benchmark::State& aState)
{
  StartSecrets();
  const FleetConfig config = MakeFleet(aState.range(0));
  for (auto unused : aState) {
    KeyDirectory directory;
    directory.Load(config);
    benchmark::DoNotOptimize(directory);
  }
}
BENCHMARK(BmLoadKeys)->Arg(5000)->Arg(25000)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
