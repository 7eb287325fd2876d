#include "sapphirelane/membership/head_keeper.h"

#include <catch2/catch.hpp>

#include "sapphirelane/base/log.h"

namespace sapphirelane {
namespace {

/// Records the calls to the platform and to peers instead of making them.
class RecordingEnv : public NodeEnv
{
public:
  void Send(const std::string& /*aAddress*/,
            const PeerMessage& /*aMessage*/) override
  {
  }
  void CallStore(StoreCall aCall) override { store_calls.push_back(aCall); }
  void CallPeer(BulkCall aCall) override { bulk_calls.push_back(aCall); }

  std::vector<StoreCall> store_calls;
  std::vector<BulkCall> bulk_calls;
};

class HeadReplicaFixture
{
protected:
  HeadReplicaFixture()
  {
    SetLogSink([](const std::string&) {});
  }

  ~HeadReplicaFixture() { SetLogSink(nullptr); }

  static KeptChange HostAdded(std::uint64_t aVersion, const std::string& aHost)
  {
    ChangeSet change;
    change.id = aHost;
    change.rows = {
      { "host/" + aHost, nullptr, { { "state", "in-service" } } }
    };
    return { aVersion, change };
  }

  static Head HeadOf(std::uint64_t aSeq, std::uint64_t aVersion)
  {
    Head head;
    head.seq = aSeq;
    head.config_version = aVersion;
    head.config_object = "config-" + std::to_string(aVersion);
    return head;
  }

  /// Brings the replica to a version, adding one host in each version.
  void AdvanceTo(std::uint64_t aVersion)
  {
    FleetConfig config;
    for (std::uint64_t version = 1; version <= aVersion; ++version) {
      const KeptChange entry =
        HostAdded(version, "h" + std::to_string(version));
      config = Apply(config, entry.change);
      m_replica.OnWritten(
        HeadOf(version, version), config, { entry }, m_now, m_now);
    }
  }

  static std::string EncodeChange(const KeptChange& aChange)
  {
    const nlohmann::json json = { { "version", aChange.version },
                                  { "change", aChange.change } };
    return json.dump();
  }

  TimePoint m_now{ std::chrono::hours(1) };
  RecordingEnv m_env;
  StoreClient m_store{ m_env };
  BulkClient m_bulk{ m_env };
  HeadKeeper m_replica{ m_store,
                        m_bulk,
                        [](const std::optional<Head>&, TimePoint) {},
                        [](const std::vector<Withdrawal>&, TimePoint) {} };
};

TEST_CASE_METHOD(HeadReplicaFixture,
                 "HeadReplica, a reply to an outdated fetch, records no change "
                 "under a wrong version")
{
  // The fetch starts at version 1 and its reply arrives at version 2. If the
  // replica recorded the change again, peers would receive it as version 3.
  AdvanceTo(1);
  m_replica.FetchFrom("127.0.0.1:1", m_now);
  AdvanceTo(2);
  StateReply reply;
  reply.known = true;
  reply.head = EncodeHead(HeadOf(9, 2));
  reply.changes = { EncodeChange(HostAdded(2, "h2")) };
  m_bulk.OnReply(m_env.bulk_calls.back().id, BulkReply(reply), m_now);
  CHECK(m_replica.Changes().back().version == 2);
  CHECK(m_replica.Config()->version == 2);
  CHECK(m_replica.Seq() == 9);
}

TEST_CASE_METHOD(
  HeadReplicaFixture,
  "HeadReplica, a newer head while an object is read, becomes the "
  "target instead")
{
  AdvanceTo(1);
  m_replica.OnRead(HeadOf(2, 2), m_now, m_now);
  const StoreCall first = m_env.store_calls.back();
  m_replica.OnRead(HeadOf(3, 3), m_now, m_now);
  CHECK(m_env.store_calls.back().name == "config-3");
  StoreResult result;
  result.id = first.id;
  result.status = StoreResult::Status::Ok;
  result.text = "ignored by now";
  m_store.OnResult(result, m_now);
  CHECK(m_replica.Seq() == 1);
}

TEST_CASE_METHOD(HeadReplicaFixture,
                 "HeadReplica, an older head, is not adopted")
{
  AdvanceTo(3);
  m_replica.OnRead(HeadOf(2, 2), m_now, m_now);
  CHECK(m_env.store_calls.empty());
  CHECK(m_replica.Seq() == 3);
}

TEST_CASE_METHOD(HeadReplicaFixture,
                 "HeadReplica, a peer's older head of the same version, is not "
                 "adopted")
{
  AdvanceTo(3);
  m_replica.FetchFrom("127.0.0.1:1", m_now);
  StateReply reply;
  reply.known = true;
  reply.head = EncodeHead(HeadOf(2, 3));
  m_bulk.OnReply(m_env.bulk_calls.back().id, BulkReply(reply), m_now);
  CHECK(m_replica.Seq() == 3);
}

TEST_CASE_METHOD(HeadReplicaFixture,
                 "HeadReplica, a peer a few versions behind, gets changes; one "
                 "far behind gets a snapshot")
{
  AdvanceTo(5);
  CHECK(m_replica.Serve({ 3 }).changes.size() == 2);
  CHECK(m_replica.Serve({ 3 }).snapshot.empty());
  CHECK_FALSE(m_replica.Serve({ 0 }).snapshot.empty());
  CHECK(m_replica.Serve({ 5 }).changes.empty());
}

TEST_CASE_METHOD(HeadReplicaFixture,
                 "FreshnessLease, evidence older than the lease, has expired")
{
  FreshnessLease lease;
  CHECK_FALSE(lease.IsFresh(m_now));
  lease.AddEvidence(m_now);
  CHECK(lease.IsFresh(m_now + kFreshFor - Milliseconds(1)));
  CHECK_FALSE(lease.IsFresh(m_now + kFreshFor));
  lease.AddEvidence(m_now - Milliseconds(500));
  CHECK(lease.IsFresh(m_now + kFreshFor - Milliseconds(1)));
}

} // namespace
} // namespace sapphirelane
