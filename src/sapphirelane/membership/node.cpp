#include "sapphirelane/membership/node.h"

#include <algorithm>
#include <map>
#include <utility>

#include "sapphirelane/base/log.h"
#include "sapphirelane/membership/claim_desk.h"
#include "sapphirelane/membership/evidence_asker.h"
#include "sapphirelane/membership/evidence_board.h"
#include "sapphirelane/membership/map_proposer.h"
#include "sapphirelane/membership/ring_monitor.h"
#include "sapphirelane/membership/shard_keeper.h"
#include "sapphirelane/membership/timings.h"
#include "sapphirelane/membership/token_desk.h"
#include "sapphirelane/membership/token_holder.h"
#include "sapphirelane/membership/withdrawal_desk.h"
#include "sapphirelane/wire/codec.h"

namespace sapphirelane {

namespace {

constexpr Milliseconds kHostListInterval{ 5000 };
constexpr Milliseconds kClaimCollectionInterval{ 300 };

/// Time limit of the hand-over at a graceful shutdown.
constexpr Milliseconds kStopTimeout{ 3000 };

/// Wait of a new node before its first map write, so that one write can add
/// several members.
constexpr Milliseconds kJoinBatchDelay{ 300 };

/// Number of members that a daemon notifies of a head it has just adopted; they
/// notify others in turn.
constexpr std::size_t kHeadUpdateFanOut = 4;

/// Number of members that receive the claims of a daemon that stops.
constexpr std::size_t kClaimBackups = 2;

class FleetNode : public Node
{
public:
  FleetNode(const NodeOptions& aOptions, NodeEnv& aEnv)
    : m_options(aOptions)
    , m_env(aEnv)
    , m_random(aOptions.seed)
    , m_store(aEnv)
    , m_bulk(aEnv)
    , m_witness(aOptions.self.id)
    , m_peers(aEnv, aOptions.self, m_random)
    , m_replica(
        m_store,
        m_bulk,
        [this](const std::optional<Head>& aPrevious, TimePoint aNow) {
          OnHeadAdopted(aPrevious, aNow);
        },
        [this](const std::vector<Withdrawal>& aWithdrawals, TimePoint) {
          for (const Withdrawal& withdrawal : aWithdrawals) {
            m_revocations.Add(withdrawal);
          }
        })
    , m_leaseRenewer(m_replica,
                     m_store,
                     m_peers,
                     m_witness,
                     aOptions.seeds,
                     aEnv,
                     m_random)
    , m_headWriter(m_replica, m_store, m_peers, m_witness, m_random)
    , m_ring(aOptions.self.id)
    , m_shards(aOptions.self.id, aOptions.dedup_window)
    , m_tokenHolder(m_replica, m_shards)
    , m_tokenClient(m_replica, m_shards, m_tokenHolder, m_peers, m_random)
    , m_claims(m_replica, m_shards, m_peers, m_random, aOptions.dedup_window)
    , m_revocations(m_replica,
                    m_headWriter,
                    m_peers,
                    m_random,
                    [this](const std::set<std::string>& aDigests) {
                      m_keys.SetWithdrawn(aDigests);
                    })
    , m_mapProposer(aOptions.self.id, m_ring, m_shards, m_peers)
  {
  }

  // FleetControl.

  const FleetConfig* Config() const override { return m_replica.Config(); }
  const KeyDirectory& Keys() const override { return m_keys; }

  bool IsFresh(TimePoint aNow) const override
  {
    return m_replica.Lease().IsFresh(aNow);
  }

  std::pair<std::size_t, std::size_t> Rank() const override
  {
    const auto& head = m_replica.Current();
    if (!head || head->members.empty()) {
      return { 0, 1 };
    }
    std::size_t rank = 0;
    for (const MemberInfo& member : head->members) {
      rank += member.id < m_options.self.id ? 1 : 0;
    }
    return { rank, std::max<std::size_t>(1, head->members.size()) };
  }

  AskId AskToken(const std::string& aAccount,
                 TimePoint aDeadline,
                 TimePoint aNow) override
  {
    return m_tokenClient.Ask(aAccount, aDeadline, aNow);
  }

  void ReturnToken(AskId aAsk, TimePoint aNow) override
  {
    m_tokenClient.Return(aAsk, aNow);
  }

  AskId AskClaim(Claim aClaim, TimePoint aDeadline, TimePoint aNow) override
  {
    return m_claims.Ask(std::move(aClaim), aDeadline, aNow);
  }

  bool MaySend(AskId aClaim, TimePoint aNow) override
  {
    return m_claims.MaySend(aClaim, aNow);
  }

  void FinishClaim(AskId aClaim,
                   ClaimState aState,
                   const KeptAnswer& aAnswer,
                   TimePoint aNow) override
  {
    m_claims.Finish(aClaim, aState, aAnswer, aNow);
  }

  void ReleaseClaim(AskId aClaim, TimePoint aNow) override
  {
    m_claims.Release(aClaim, aNow);
  }

  void ShareEvidence(const FleetEvidence& aEvidence, TimePoint aNow) override
  {
    EvidenceNews update;
    update.service = aEvidence.service;
    for (const EndpointEvidence& entry : aEvidence.endpoints) {
      update.endpoints.push_back({ entry.endpoint, entry.answered, entry.bad });
    }
    const NodeId observer = m_shards.Holder(ShardOf(aEvidence.service));
    if (observer == m_options.self.id) {
      OnEvidence(
        observer, m_evidenceTable.Exchange(observer, update, aNow), aNow);
    } else {
      m_peers.Send(observer, update);
    }
  }

  std::vector<ControlEvent> TakeEvents() override
  {
    for (const TokenResult& result : m_tokenClient.TakeResults()) {
      m_events.emplace_back(result);
    }
    for (const ClaimResult& result : m_claims.TakeResults()) {
      m_events.emplace_back(result);
    }
    return std::exchange(m_events, {});
  }

  // Input events.

  void OnMessage(NodeId aFrom,
                 const std::string& aAddress,
                 const PeerMessage& aMessage,
                 TimePoint aNow) override
  {
    m_ring.Hear(aFrom, aNow);
    std::visit(
      [&](const auto& aTyped) { Handle(aFrom, aAddress, aTyped, aNow); },
      aMessage);
  }

  void OnStore(const StoreResult& aResult, TimePoint aNow) override
  {
    m_store.OnResult(aResult, aNow);
  }

  void OnBulkReply(std::uint64_t aCall,
                   const BulkReply& aReply,
                   TimePoint aNow) override
  {
    m_bulk.OnReply(aCall, aReply, aNow);
  }

  BulkMessage ServeBulk(NodeId aFrom,
                        const BulkMessage& aRequest,
                        TimePoint aNow) override
  {
    if (const auto* fetch = std::get_if<FetchState>(&aRequest)) {
      StateReply reply = m_replica.Serve(*fetch);
      reply.withdrawals = m_revocations.Pending();
      return reply;
    }
    if (const auto* collect = std::get_if<CollectClaims>(&aRequest)) {
      ClaimsReply reply;
      reply.ready = m_shards.MapEpoch() >= collect->map_epoch;
      if (reply.ready) {
        reply.claims = m_claims.ClaimsOf(collect->shards, aNow);
      }
      return reply;
    }
    if (const auto* slots = std::get_if<SeatTransfer>(&aRequest)) {
      const auto& head = m_replica.Current();
      return HandOverReply{ head && !m_stopping &&
                            m_witness.Take(*slots, *head, aNow) };
    }
    if (const auto* handOver = std::get_if<HandOver>(&aRequest)) {
      return HandOverReply{ OnHandOver(aFrom, *handOver, aNow) };
    }
    return HandOverReply{};
  }

  void Tick(TimePoint aNow) override
  {
    m_leaseRenewer.Tick(aNow);
    m_headWriter.Tick(aNow);
    m_tokenHolder.Tick(aNow);
    m_tokenClient.Tick(aNow);
    m_claims.Tick(aNow);
    SendHeartbeats(aNow);
    ReadHostList(aNow);
    ProposeMapIfNeeded(aNow);
    CollectMissingClaims(aNow);
    m_revocations.Tick(m_leaseRenewer.StoreAnswers(), aNow);
  }

  // Operator requests.

  void Propose(const ChangeSet& aChange,
               TimePoint aNow,
               HeadWriter::Done aDone) override
  {
    m_headWriter.WriteChange(aChange, aNow, std::move(aDone));
  }

  void Withdraw(const std::string& aKeyId,
                TimePoint aNow,
                WithdrawalDesk::Done aDone) override
  {
    m_revocations.Withdraw(aKeyId, aNow, std::move(aDone));
  }

  NodeStatus Status(TimePoint aNow) override
  {
    NodeStatus status;
    const auto& head = m_replica.Current();
    status.id = m_options.self.id;
    status.host = m_options.self.host;
    status.fresh = IsFresh(aNow);
    status.evidence_age = m_replica.Lease().Age(aNow);
    status.store_answers = m_leaseRenewer.StoreAnswers();
    status.shards_held = m_shards.Held(aNow);
    status.claims = m_claims.Size();
    status.withdrawals = m_revocations.Pending().size();
    for (const auto& [name, since] : m_evacuatedSince) {
      status.evacuated[name] = aNow - since;
    }
    if (head) {
      status.seq = head->seq;
      status.config_version = head->config_version;
      status.map_epoch = head->map_epoch;
      status.member = FindMember(*head, m_options.self.id) != nullptr;
      status.members = head->members.size();
      status.witnesses = head->witnesses.size();
    }
    return status;
  }

  const std::optional<Head>& CurrentHead() const override
  {
    return m_replica.Current();
  }

  std::vector<KeptChange> History() const override
  {
    return { m_replica.Changes().begin(), m_replica.Changes().end() };
  }

  // Graceful shutdown.

  void BeginStop(TimePoint aNow) override
  {
    m_stopping = true;
    m_stopDeadline = aNow + kStopTimeout;
    LogLine("member", "Stopping: hands over its shards and leaves the map.");
    HandOverShards(m_shards.GiveUp(aNow), true, aNow);
    const auto backups = m_peers.Draw(kClaimBackups);
    HandOver handOver;
    handOver.map_epoch = m_shards.MapEpoch();
    handOver.retires = true;
    handOver.claims = m_claims.Stop(aNow);
    for (NodeId backup : backups) {
      ++m_handOverCalls;
      m_bulk.Call(m_peers.AddressOf(backup),
                  handOver,
                  [this](const BulkReply& aReply, TimePoint) {
                    --m_handOverCalls;
                    m_acceptedClaimBackups += IsAccepted(aReply) ? 1 : 0;
                  });
    }
    if (m_replica.Current()) {
      HandOverSlots(m_witness.GiveUp(*m_replica.Current()),
                    SlotTransferTargets(aNow));
    }
  }

  bool IsStopped(TimePoint aNow) const override
  {
    const bool done =
      m_handOverCalls == 0 && (m_left || !m_leaseRenewer.StoreAnswers());
    return m_stopping && (aNow >= m_stopDeadline || done);
  }

private:
  /// Records since when each evacuation in force is known here.
  void RecordEvacuations(TimePoint aNow)
  {
    std::map<std::string, TimePoint> since;
    for (const std::string& name : m_replica.Config()->evacuated) {
      const auto known = m_evacuatedSince.find(name);
      since[name] = known == m_evacuatedSince.end() ? aNow : known->second;
    }
    m_evacuatedSince = std::move(since);
  }

  // Heads.

  void OnHeadAdopted(const std::optional<Head>& aPrevious, TimePoint aNow)
  {
    const Head& head = *m_replica.Current();
    m_witness.OnNewHead(head);
    m_peers.Load(head);
    m_leaseRenewer.Load(head);
    m_ring.Load(head, aNow);
    const bool configChanged =
      !aPrevious || aPrevious->config_version != head.config_version;
    if (configChanged) {
      LogLine("config",
              "Takes over version " + std::to_string(head.config_version) +
                " with head " + std::to_string(head.seq) + ".");
      m_keys.Load(*m_replica.Config());
      m_revocations.OnConfig();
      m_tokenHolder.OnConfig(aNow);
      RecordEvacuations(aNow);
    }
    ApplyMap(aPrevious, head, aNow);
    ApplyEarlyHandOvers(head, aNow);
    m_left = m_stopping && FindMember(head, m_options.self.id) == nullptr;
    for (NodeId member : m_peers.Draw(kHeadUpdateFanOut)) {
      m_peers.Send(member, HeadNews{ head.seq });
    }
  }

  void ApplyMap(const std::optional<Head>& aPrevious,
                const Head& aHead,
                TimePoint aNow)
  {
    const bool mapChanged =
      !aPrevious || aPrevious->map_epoch != aHead.map_epoch;
    const auto moves = m_shards.Load(aPrevious, aHead, aNow);
    if (!mapChanged) {
      return;
    }
    m_claims.OnDeparted(aHead);
    LogLine("shard",
            "Map " + std::to_string(aHead.map_epoch) + " has " +
              std::to_string(aHead.members.size()) +
              " members; hands over shards to " + std::to_string(moves.size()) +
              " of them.");
    HandOverShards(moves, false, aNow);
    m_tokenHolder.DropUnheld(aNow);
  }

  /// Applies the hand-overs that arrived before the head they refer to.
  void ApplyEarlyHandOvers(const Head& aHead, TimePoint aNow)
  {
    for (const auto& [from, handOver] : std::exchange(m_earlyHandOvers, {})) {
      if (handOver.map_epoch >= aHead.map_epoch) {
        OnHandOver(from, handOver, aNow);
      }
    }
  }

  void HandOverShards(const std::vector<ShardMove>& aMoves,
                      bool aRetires,
                      TimePoint aNow)
  {
    for (const ShardMove& move : aMoves) {
      HandOver handOver;
      handOver.map_epoch = m_shards.MapEpoch();
      handOver.config_version = m_replica.Config()->version;
      handOver.retires = aRetires;
      for (std::uint32_t shard : move.shards) {
        handOver.shards.push_back(m_shards.Describe(shard, aNow));
      }
      handOver.buckets = m_tokenHolder.TakeBuckets(move.shards, aNow);
      handOver.claims = m_claims.ClaimsOf(move.shards, aNow);
      ++m_handOverCalls;
      m_bulk.Call(m_peers.AddressOf(move.target),
                  handOver,
                  [this](const BulkReply&, TimePoint) { --m_handOverCalls; });
    }
  }

  /// Members in random order that are neither retired nor suspected.
  std::vector<NodeId> SlotTransferTargets(TimePoint aNow)
  {
    std::vector<NodeId> targets = m_peers.Draw(m_peers.Others().size());
    const auto silent = m_ring.Silent(aNow);
    targets.erase(std::remove_if(
                    targets.begin(),
                    targets.end(),
                    [&](NodeId aMember) {
                      return m_shards.Retired().count(aMember) == 1 ||
                             std::find(silent.begin(), silent.end(), aMember) !=
                               silent.end();
                    }),
                  targets.end());
    return targets;
  }

  /// Transfers the voting slots to the first member that accepts them. A
  /// missing reply may mean that the slots were accepted, so no other member is
  /// tried then: a slot must not have two holders.
  void HandOverSlots(const SeatTransfer& aTransfer,
                     std::vector<NodeId> aTargets)
  {
    if (aTransfer.seats.empty() || aTargets.empty()) {
      return;
    }
    const NodeId target = aTargets.back();
    aTargets.pop_back();
    ++m_handOverCalls;
    m_bulk.Call(
      m_peers.AddressOf(target),
      aTransfer,
      [this, aTransfer, aTargets](const BulkReply& aReply, TimePoint /*aNow*/) {
        --m_handOverCalls;
        if (aReply && !IsAccepted(aReply)) {
          HandOverSlots(aTransfer, aTargets);
        }
      });
  }

  static bool IsAccepted(const BulkReply& aReply)
  {
    const auto* reply = aReply ? std::get_if<HandOverReply>(&*aReply) : nullptr;
    return reply != nullptr && reply->kept;
  }

  bool OnHandOver(NodeId aFrom, const HandOver& aHandOver, TimePoint aNow)
  {
    // A daemon that is stopping itself would take the shards and claims with
    // it.
    if (!m_replica.Current() || m_stopping) {
      return false;
    }
    m_claims.Receive(aHandOver.claims, aNow);
    // A newer configuration may divide the token buckets into other parts.
    const bool isEarly = aHandOver.map_epoch > m_shards.MapEpoch() ||
                         aHandOver.config_version > m_replica.Config()->version;
    if (isEarly) {
      // It refers to a head that this daemon has yet to adopt.
      m_earlyHandOvers.emplace_back(aFrom, aHandOver);
      return true;
    }
    std::set<std::uint32_t> received;
    for (const WireShard& shard : aHandOver.shards) {
      const bool wasActing =
        shard.shard < kShards && m_shards.IsActing(shard.shard, aNow);
      if (m_shards.Receive(
            aFrom, aHandOver.retires, aHandOver.map_epoch, shard, aNow) &&
          !wasActing) {
        received.insert(shard.shard);
      }
    }
    for (const WireBucket& bucket : aHandOver.buckets) {
      if (received.count(
            ShardOfPart(bucket.account, { bucket.part, bucket.parts })) == 1) {
        m_tokenHolder.Receive(bucket, aNow);
      }
    }
    if (aHandOver.retires && aHandOver.map_epoch == m_shards.MapEpoch()) {
      m_shards.Retire(aFrom);
    }
    if (!received.empty()) {
      LogLine("shard",
              "Takes over " + std::to_string(received.size()) +
                " shards from their previous holder.");
    }
    return true;
  }

  // Messages.

  /// Ignores messages that belong to a fleet configured by a store.
  template<typename Other>
  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const Other& /*aMessage*/,
              TimePoint /*aNow*/)
  {
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const Heartbeat& aHeartbeat,
              TimePoint aNow)
  {
    if (aHeartbeat.joins) {
      m_peers.Hear(aHeartbeat.self, aNow);
    }
    for (NodeId retired : aHeartbeat.retired) {
      m_shards.Retire(retired);
    }
    m_witness.Learn(aHeartbeat.seats);
    for (const Withdrawal& withdrawal : aHeartbeat.withdrawals) {
      m_revocations.Add(withdrawal);
    }
    if (aHeartbeat.seq > m_replica.Seq()) {
      m_replica.FetchFrom(aAddress, aNow);
    }
  }

  void Handle(NodeId aFrom,
              const std::string& /*aAddress*/,
              const SuspectNews& aUpdate,
              TimePoint aNow)
  {
    m_ring.Report(aFrom, aUpdate.suspect, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const HeadQuestion& aQuestion,
              TimePoint aNow)
  {
    m_env.Send(aAddress, m_leaseRenewer.Answer(aQuestion, aNow));
    if (aQuestion.seq > m_replica.Seq()) {
      m_replica.FetchFrom(aAddress, aNow);
    }
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const HeadAnswer& aAnswer,
              TimePoint aNow)
  {
    m_leaseRenewer.OnAnswer(aAddress, aAnswer, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const HeadNews& aUpdate,
              TimePoint aNow)
  {
    if (aUpdate.seq > m_replica.Seq()) {
      m_replica.FetchFrom(aAddress, aNow);
    }
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const IntentAsk& aAsk,
              TimePoint aNow)
  {
    IntentAnswer answer;
    answer.nonce = aAsk.nonce;
    answer.seq = m_replica.Seq();
    const auto& head = m_replica.Current();
    if (head && aAsk.seq == head->seq) {
      answer.seats = m_witness.Seats(*head);
    }
    if (!answer.seats.empty()) {
      m_witness.Record(aAsk.nonce, aNow);
    } else if (aAsk.seq > m_replica.Seq()) {
      m_replica.FetchFrom(aAddress, aNow);
    }
    m_env.Send(aAddress, answer);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const IntentAnswer& aAnswer,
              TimePoint aNow)
  {
    m_headWriter.OnIntentAnswer(aAnswer, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const IntentRelease& aRelease,
              TimePoint /*aNow*/)
  {
    m_witness.Release(aRelease.nonce);
  }

  void Handle(NodeId aFrom,
              const std::string& aAddress,
              const TokenAsk& aAsk,
              TimePoint aNow)
  {
    Reply(aFrom, aAddress, m_tokenHolder.Answer(aAsk, aNow));
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const TokenAnswer& aAnswer,
              TimePoint aNow)
  {
    m_tokenClient.OnAnswer(aAnswer, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const TokenReturn& aReturn,
              TimePoint aNow)
  {
    m_tokenHolder.OnReturn(aReturn, aNow);
  }

  void Handle(NodeId aFrom,
              const std::string& aAddress,
              const ClaimAsk& aAsk,
              TimePoint aNow)
  {
    Reply(aFrom, aAddress, m_claims.Answer(aFrom, aAsk, aNow));
  }

  void Handle(NodeId aFrom,
              const std::string& /*aAddress*/,
              const ClaimAnswer& aAnswer,
              TimePoint aNow)
  {
    m_claims.OnAnswer(aFrom, aAnswer, aNow);
  }

  void Handle(NodeId aFrom,
              const std::string& aAddress,
              const ClaimEnd& aEnd,
              TimePoint aNow)
  {
    Reply(aFrom, aAddress, m_claims.OnEnd(aEnd, aNow));
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const ClaimEndAck& aAck,
              TimePoint /*aNow*/)
  {
    m_claims.OnEndAck(aAck);
  }

  void Handle(NodeId aFrom,
              const std::string& aAddress,
              const ClaimCopy& aCopy,
              TimePoint aNow)
  {
    Reply(aFrom, aAddress, m_claims.OnCopy(aFrom, aCopy, aNow));
  }

  void Handle(NodeId aFrom,
              const std::string& /*aAddress*/,
              const ClaimCopyAnswer& aAnswer,
              TimePoint aNow)
  {
    m_claims.OnCopyAnswer(aFrom, aAnswer, aNow);
  }

  void Handle(NodeId aFrom,
              const std::string& aAddress,
              const EvidenceNews& aUpdate,
              TimePoint aNow)
  {
    if (aUpdate.summary) {
      OnEvidence(aFrom, aUpdate, aNow);
      return;
    }
    m_env.Send(aAddress, m_evidenceTable.Exchange(aFrom, aUpdate, aNow));
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const WithdrawNews& aUpdate,
              TimePoint /*aNow*/)
  {
    m_revocations.OnNews(aAddress, aUpdate, m_env);
  }

  void Handle(NodeId aFrom,
              const std::string& /*aAddress*/,
              const WithdrawAck& aAck,
              TimePoint /*aNow*/)
  {
    m_revocations.OnAck(aFrom, aAck);
  }

  /// Forwards a relayed message to its target, or handles it as the target.
  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const Relay& aRelay,
              TimePoint aNow)
  {
    if (aRelay.target != m_options.self.id) {
      m_peers.Send(aRelay.target, aRelay);
      return;
    }
    const PeerMessage message = DecodeMessage(aRelay.message);
    if (std::holds_alternative<Relay>(message)) {
      return;
    }
    m_repliesViaRelay = true;
    std::visit(
      [&](const auto& aTyped) {
        Handle(aRelay.origin, m_peers.AddressOf(aRelay.origin), aTyped, aNow);
      },
      message);
    m_repliesViaRelay = false;
  }

  /// Replies directly and, if the request came through a relay, also through a
  /// relay.
  void Reply(NodeId aTo,
             const std::string& aAddress,
             const PeerMessage& aMessage)
  {
    if (m_repliesViaRelay) {
      m_peers.SendAround(aTo, aMessage);
    }
    if (!aAddress.empty()) {
      m_env.Send(aAddress, aMessage);
    }
  }

  void OnEvidence(NodeId /*aFrom*/,
                  const EvidenceNews& aUpdate,
                  TimePoint /*aNow*/)
  {
    FleetEvidence evidence;
    evidence.service = aUpdate.service;
    for (const WireEvidence& entry : aUpdate.endpoints) {
      evidence.endpoints.push_back(
        { entry.endpoint, entry.answered, entry.bad });
    }
    if (!evidence.endpoints.empty()) {
      m_events.emplace_back(evidence);
    }
  }

  // Membership.

  void SendHeartbeats(TimePoint aNow)
  {
    if (aNow < m_nextHeartbeat) {
      return;
    }
    m_nextHeartbeat = aNow + kHeartbeatPeriod;
    Heartbeat heartbeat;
    heartbeat.self = m_options.self;
    heartbeat.seq = m_replica.Seq();
    heartbeat.withdrawals = m_revocations.Pending();
    heartbeat.seats = m_witness.Moved();
    const auto& head = m_replica.Current();
    const bool member = head && FindMember(*head, m_options.self.id) != nullptr;
    heartbeat.joins = m_options.joins && !m_stopping && !member;
    if (member) {
      // The others find the address of a member in the head.
      heartbeat.self = {};
    }
    const auto& retired = m_shards.Retired();
    heartbeat.retired.assign(retired.begin(), retired.end());
    for (NodeId listener : m_ring.Listeners()) {
      m_peers.Send(listener, heartbeat);
    }
    if (!member) {
      for (const std::string& address : m_leaseRenewer.EntryPoints()) {
        m_env.Send(address, heartbeat);
      }
      return;
    }
    for (NodeId silent : m_ring.Silent(aNow)) {
      m_ring.Report(m_options.self.id, silent, aNow);
      for (NodeId proposer : m_ring.Proposers(aNow)) {
        m_peers.Send(proposer, SuspectNews{ silent });
      }
    }
  }

  void ReadHostList(TimePoint aNow)
  {
    if (aNow < m_nextHostList) {
      return;
    }
    m_nextHostList = aNow + kHostListInterval;
    StoreCall call;
    call.kind = StoreCall::Kind::ListHosts;
    m_store.Call(call, [this](const StoreResult& aResult, TimePoint) {
      if (aResult.status != StoreResult::Status::Ok) {
        return;
      }
      std::vector<std::string> addresses;
      for (const ListedHost& host : aResult.hosts) {
        if (!host.leaving) {
          addresses.push_back(host.address);
        }
      }
      m_leaseRenewer.SetHosts(addresses);
    });
  }

  /// Writes a new map when members join, leave or are reported dead, or to
  /// close an orphaned write intent.
  void ProposeMapIfNeeded(TimePoint aNow)
  {
    const bool handOverPending = m_stopping && m_handOverCalls > 0;
    if (!m_options.joins || m_headWriter.IsBusy() || aNow < m_nextMapWrite ||
        handOverPending) {
      return;
    }
    if (m_nextMapWrite == TimePoint{}) {
      m_nextMapWrite = aNow + kJoinBatchDelay + Jitter();
      return;
    }
    m_nextMapWrite = aNow + kMapWritePeriod + Jitter();
    const auto& head = m_replica.Current();
    const auto oldestIntent = m_witness.OldestAge(aNow);
    const bool hasOrphanedIntent = oldestIntent && *oldestIntent > kOrphanAge &&
                                   m_leaseRenewer.StoreAnswers();
    if (!hasOrphanedIntent &&
        !(m_leaseRenewer.StoreAnswers() &&
          m_mapProposer.Wants(head, CurrentStopState(), aNow))) {
      return;
    }
    // Without a head and without the platform, a daemon cannot tell whether a
    // fleet exists, so it must not create a new one.
    if (!head && !m_leaseRenewer.StoreAnswers()) {
      return;
    }
    m_headWriter.WriteHead(
      [this, hasOrphanedIntent](const Head& aBase, TimePoint aResultTime) {
        return m_mapProposer.Next(
          aBase, CurrentStopState(), hasOrphanedIntent, aResultTime);
      },
      aNow,
      [this](const WriteResult& aResult, TimePoint aResultTime) {
        OnMapWritten(aResult, aResultTime);
      });
  }

  void OnMapWritten(const WriteResult& aResult, TimePoint /*aNow*/)
  {
    if (aResult.verdict == WriteVerdict::Accepted) {
      LogLine("member", "Wrote a new map of the members.");
    } else if (aResult.verdict != WriteVerdict::Unchanged) {
      LogLine("member", "Cannot write a new map: " + aResult.detail + ".");
    }
  }

  Duration Jitter()
  {
    const auto maxJitter = static_cast<std::uint64_t>(kMapWritePeriod.count());
    return Milliseconds(m_random() % maxJitter);
  }

  StopState CurrentStopState() const
  {
    return { m_stopping, AreClaimsBackedUp() };
  }

  /// Tells whether enough members have accepted the claims of this daemon while
  /// it stops.
  bool AreClaimsBackedUp() const
  {
    // A single backup may be the holder of the shard of the claims: if that
    // member were lost, the claims would be lost as well.
    return m_acceptedClaimBackups == kClaimBackups;
  }

  // Claim recovery after the loss of a holder.

  void CollectMissingClaims(TimePoint aNow)
  {
    if (aNow < m_nextClaimCollection) {
      return;
    }
    m_nextClaimCollection = aNow + kClaimCollectionInterval;
    const auto unanswered = m_shards.Untold();
    if (unanswered.empty()) {
      return;
    }
    const auto shards = m_shards.Recovering();
    const std::uint64_t epoch = m_shards.MapEpoch();
    for (NodeId member : unanswered) {
      if (!m_pendingCollections.insert(member).second) {
        continue;
      }
      m_bulk.Call(m_peers.AddressOf(member),
                  CollectClaims{ epoch, shards },
                  [this, member, shards, epoch](const BulkReply& aReply,
                                                TimePoint aResultTime) {
                    m_pendingCollections.erase(member);
                    OnClaimsCollected(
                      member, shards, epoch, aReply, aResultTime);
                  });
    }
  }

  void OnClaimsCollected(NodeId aMember,
                         const std::vector<std::uint32_t>& aShards,
                         std::uint64_t aEpoch,
                         const BulkReply& aReply,
                         TimePoint aNow)
  {
    const auto* reply = aReply ? std::get_if<ClaimsReply>(&*aReply) : nullptr;
    if (reply == nullptr || !reply->ready) {
      return;
    }
    m_claims.Receive(reply->claims, aNow);
    if (aEpoch == m_shards.MapEpoch()) {
      m_shards.OnClaims(aMember, aShards);
    }
  }

  NodeOptions m_options;
  NodeEnv& m_env;
  Random m_random;
  StoreClient m_store;
  BulkClient m_bulk;
  WitnessSeat m_witness;
  Peers m_peers;
  HeadKeeper m_replica;
  EvidenceAsker m_leaseRenewer;
  HeadWriter m_headWriter;
  RingMonitor m_ring;
  ShardKeeper m_shards;
  TokenHolder m_tokenHolder;
  TokenDesk m_tokenClient;
  ClaimDesk m_claims;
  EvidenceBoard m_evidenceTable;
  WithdrawalDesk m_revocations;
  MapProposer m_mapProposer;
  KeyDirectory m_keys;
  std::map<std::string, TimePoint> m_evacuatedSince; ///< By data centre.
  std::vector<ControlEvent> m_events;
  std::vector<std::pair<NodeId, HandOver>> m_earlyHandOvers;
  std::set<NodeId> m_pendingCollections;
  TimePoint m_nextHeartbeat{};
  TimePoint m_nextHostList{};
  TimePoint m_nextMapWrite{};
  TimePoint m_nextClaimCollection{};
  bool m_repliesViaRelay = false;
  bool m_stopping = false;
  bool m_left = false;
  TimePoint m_stopDeadline{};
  int m_handOverCalls = 0;
  std::size_t m_acceptedClaimBackups = 0;
};

} // namespace

std::unique_ptr<Node>
MakeNode(const NodeOptions& aOptions, NodeEnv& aEnv)
{
  return std::make_unique<FleetNode>(aOptions, aEnv);
}

} // namespace sapphirelane
