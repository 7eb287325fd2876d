#include "sapphirelane/membership/head_keeper.h"

#include <catch2/catch.hpp>

#include "sapphirelane/base/log.h"

namespace sapphirelane {
namespace {

/// Keeps the calls that a node would make.
class RecordingEnv : public NodeEnv
{
public:
  void Send(const std::string& /*aAddress*/,
            const PeerMessage& /*aMessage*/) override
  {
  }
  void CallStore(StoreCall aCall) override { stores.push_back(aCall); }
  void CallPeer(BulkCall aCall) override { bulks.push_back(aCall); }

  std::vector<StoreCall> stores;
  std::vector<BulkCall> bulks;
};

class HeadKeeperFixture
{
protected:
  HeadKeeperFixture()
  {
    SetLogSink([](const std::string&) {});
  }

  ~HeadKeeperFixture() { SetLogSink(nullptr); }

  static KeptChange Adds(std::uint64_t aVersion, const std::string& aHost)
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

  /// Puts the keeper at a version that has one host for each step.
  void Reach(std::uint64_t aVersion)
  {
    FleetConfig config;
    for (std::uint64_t version = 1; version <= aVersion; ++version) {
      const KeptChange kept = Adds(version, "h" + std::to_string(version));
      config = Apply(config, kept.change);
      m_keeper.OnWritten(
        HeadOf(version, version), config, { kept }, m_now, m_now);
    }
  }

  static std::string Wire(const KeptChange& aKept)
  {
    const nlohmann::json json = { { "version", aKept.version },
                                  { "change", aKept.change } };
    return json.dump();
  }

  TimePoint m_now{ std::chrono::hours(1) };
  RecordingEnv m_env;
  StoreClient m_store{ m_env };
  BulkClient m_bulk{ m_env };
  HeadKeeper m_keeper{ m_store,
                       m_bulk,
                       [](const std::optional<Head>&, TimePoint) {},
                       [](const std::vector<Withdrawal>&, TimePoint) {} };
};

TEST_CASE_METHOD(HeadKeeperFixture,
                 "HeadKeeper, a reply to an older question, keeps no change "
                 "under a wrong version")
{
  // Found by a schedule: the reply was asked for at version 1 and came when
  // version 2 was held; its change was then served to others as version 3.
  Reach(1);
  m_keeper.FetchFrom("127.0.0.1:1", m_now);
  Reach(2);
  StateReply reply;
  reply.known = true;
  reply.head = EncodeHead(HeadOf(9, 2));
  reply.changes = { Wire(Adds(2, "h2")) };
  m_bulk.OnReply(m_env.bulks.back().id, BulkReply(reply), m_now);
  CHECK(m_keeper.Changes().back().version == 2);
  CHECK(m_keeper.Config()->version == 2);
  CHECK(m_keeper.Seq() == 9);
}

TEST_CASE_METHOD(HeadKeeperFixture,
                 "HeadKeeper, a newer head while an object is read, is sought "
                 "in its place")
{
  Reach(1);
  m_keeper.OnRead(HeadOf(2, 2), m_now, m_now);
  const StoreCall first = m_env.stores.back();
  m_keeper.OnRead(HeadOf(3, 3), m_now, m_now);
  CHECK(m_env.stores.back().name == "config-3");
  StoreResult result;
  result.id = first.id;
  result.status = StoreResult::Status::Ok;
  result.text = "not looked at any more";
  m_store.OnResult(result, m_now);
  CHECK(m_keeper.Seq() == 1);
}

TEST_CASE_METHOD(HeadKeeperFixture, "HeadKeeper, an older head, is not taken")
{
  Reach(3);
  m_keeper.OnRead(HeadOf(2, 2), m_now, m_now);
  CHECK(m_env.stores.empty());
  CHECK(m_keeper.Seq() == 3);
}

TEST_CASE_METHOD(HeadKeeperFixture,
                 "HeadKeeper, a peer's older head of the same version, is not "
                 "taken")
{
  Reach(3);
  m_keeper.FetchFrom("127.0.0.1:1", m_now);
  StateReply reply;
  reply.known = true;
  reply.head = EncodeHead(HeadOf(2, 3));
  m_bulk.OnReply(m_env.bulks.back().id, BulkReply(reply), m_now);
  CHECK(m_keeper.Seq() == 3);
}

TEST_CASE_METHOD(HeadKeeperFixture,
                 "HeadKeeper, a peer a few versions behind, gets changes; one "
                 "far behind a snapshot")
{
  Reach(5);
  CHECK(m_keeper.Serve({ 3 }).changes.size() == 2);
  CHECK(m_keeper.Serve({ 3 }).snapshot.empty());
  CHECK_FALSE(m_keeper.Serve({ 0 }).snapshot.empty());
  CHECK(m_keeper.Serve({ 5 }).changes.empty());
}

TEST_CASE_METHOD(HeadKeeperFixture,
                 "FreshnessLease, evidence older than its life, has lapsed")
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
