#include "sapphirelane/membership/node.h"

#include <algorithm>
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

constexpr Milliseconds kHostListPeriod{ 5000 };
constexpr Milliseconds kCollectPeriod{ 300 };
constexpr Milliseconds kStopPatience{ 3000 };

/// New members wait this long, so that one write can name several of them.
constexpr Milliseconds kJoinPatience{ 300 };

/// Daemons that hear of a new head at once; they tell it on.
constexpr std::size_t kNewsFanOut = 4;

/// Members that keep the claims of one that stops.
constexpr std::size_t kClaimKeepers = 2;

class FleetNode : public Node
{
public:
  FleetNode(const NodeOptions& aOptions, NodeEnv& aEnv)
    : m_options(aOptions)
    , m_env(aEnv)
    , m_random(aOptions.seed)
    , m_store(aEnv)
    , m_bulk(aEnv)
    , m_seat(aOptions.self.id)
    , m_peers(aEnv, aOptions.self, m_random)
    , m_keeper(
        m_store,
        m_bulk,
        [this](const std::optional<Head>& aEarlier, TimePoint aNow) {
          OnAdopted(aEarlier, aNow);
        },
        [this](const std::vector<Withdrawal>& aWithdrawals, TimePoint) {
          for (const Withdrawal& withdrawal : aWithdrawals) {
            m_withdrawals.Add(withdrawal);
          }
        })
    , m_evidence(m_keeper,
                 m_store,
                 m_peers,
                 m_seat,
                 aOptions.seeds,
                 aEnv,
                 m_random)
    , m_writer(m_keeper, m_store, m_peers, m_seat, m_random)
    , m_ring(aOptions.self.id)
    , m_shards(aOptions.self.id, aOptions.dedup_window)
    , m_holder(m_keeper, m_shards)
    , m_tokens(m_keeper, m_shards, m_holder, m_peers, m_random)
    , m_claims(m_keeper, m_shards, m_peers, m_random, aOptions.dedup_window)
    , m_withdrawals(m_keeper,
                    m_writer,
                    m_peers,
                    m_random,
                    [this](const std::set<std::string>& aDigests) {
                      m_keys.SetWithdrawn(aDigests);
                    })
    , m_proposer(aOptions.self.id, m_ring, m_shards, m_peers)
  {
  }

  // FleetControl.

  const FleetConfig* Config() const override { return m_keeper.Config(); }
  const KeyDirectory& Keys() const override { return m_keys; }

  bool IsFresh(TimePoint aNow) const override
  {
    return m_keeper.Lease().IsFresh(aNow);
  }

  std::pair<std::size_t, std::size_t> Rank() const override
  {
    const auto& head = m_keeper.Current();
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
    return m_tokens.Ask(aAccount, aDeadline, aNow);
  }

  void ReturnToken(AskId aAsk, TimePoint aNow) override
  {
    m_tokens.Return(aAsk, aNow);
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
    EvidenceNews news;
    news.service = aEvidence.service;
    for (const EndpointEvidence& one : aEvidence.endpoints) {
      news.endpoints.push_back({ one.endpoint, one.answered, one.bad });
    }
    const NodeId observer = m_shards.Holder(ShardOf(aEvidence.service));
    if (observer == m_options.self.id) {
      OnEvidence(observer, m_board.Exchange(observer, news, aNow), aNow);
    } else {
      m_peers.Send(observer, news);
    }
  }

  std::vector<ControlEvent> TakeEvents() override
  {
    for (const TokenResult& result : m_tokens.TakeResults()) {
      m_events.emplace_back(result);
    }
    for (const ClaimResult& result : m_claims.TakeResults()) {
      m_events.emplace_back(result);
    }
    return std::exchange(m_events, {});
  }

  // What comes in.

  void OnMessage(NodeId aFrom,
                 const std::string& aAddress,
                 const PeerMessage& aMessage,
                 TimePoint aNow) override
  {
    m_ring.Hear(aFrom, aNow);
    std::visit([&](const auto& aOne) { Handle(aFrom, aAddress, aOne, aNow); },
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
      StateReply reply = m_keeper.Serve(*fetch);
      reply.withdrawals = m_withdrawals.Pending();
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
    if (const auto* seats = std::get_if<SeatTransfer>(&aRequest)) {
      const auto& head = m_keeper.Current();
      return HandOverReply{ head && !m_stopping &&
                            m_seat.Take(*seats, *head, aNow) };
    }
    if (const auto* over = std::get_if<HandOver>(&aRequest)) {
      return HandOverReply{ OnHandOver(aFrom, *over, aNow) };
    }
    return HandOverReply{};
  }

  void Tick(TimePoint aNow) override
  {
    m_evidence.Tick(aNow);
    m_writer.Tick(aNow);
    m_holder.Tick(aNow);
    m_tokens.Tick(aNow);
    m_claims.Tick(aNow);
    SendHeartbeats(aNow);
    ReadHostList(aNow);
    KeepMap(aNow);
    CollectMissingClaims(aNow);
    m_withdrawals.Tick(m_evidence.StoreAnswers(), aNow);
  }

  // Operators.

  void Propose(const ChangeSet& aChange,
               TimePoint aNow,
               HeadWriter::Done aDone) override
  {
    m_writer.WriteChange(aChange, aNow, std::move(aDone));
  }

  void Withdraw(const std::string& aKeyId,
                TimePoint aNow,
                WithdrawalDesk::Done aDone) override
  {
    m_withdrawals.Withdraw(aKeyId, aNow, std::move(aDone));
  }

  NodeStatus Status(TimePoint aNow) override
  {
    NodeStatus status;
    const auto& head = m_keeper.Current();
    status.id = m_options.self.id;
    status.host = m_options.self.host;
    status.fresh = IsFresh(aNow);
    status.evidence_age = m_keeper.Lease().Age(aNow);
    status.store_answers = m_evidence.StoreAnswers();
    status.shards_held = m_shards.Held(aNow);
    status.claims = m_claims.Size();
    status.withdrawals = m_withdrawals.Pending().size();
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
    return m_keeper.Current();
  }

  std::vector<KeptChange> History() const override
  {
    return { m_keeper.Changes().begin(), m_keeper.Changes().end() };
  }

  // Planned stop.

  void BeginStop(TimePoint aNow) override
  {
    m_stopping = true;
    m_stopUntil = aNow + kStopPatience;
    LogLine("member", "Hands over its shards and leaves the map.");
    HandOverShards(m_shards.GiveUp(aNow), true, aNow);
    const auto keepers = m_peers.Draw(kClaimKeepers);
    HandOver over;
    over.map_epoch = m_shards.MapEpoch();
    over.retires = true;
    over.claims = m_claims.Stop(aNow);
    for (NodeId keeper : keepers) {
      ++m_stopCalls;
      m_bulk.Call(m_peers.AddressOf(keeper),
                  over,
                  [this](const BulkReply& aReply, TimePoint) {
                    --m_stopCalls;
                    m_claimsKept += IsKept(aReply) ? 1 : 0;
                  });
    }
    if (m_keeper.Current()) {
      HandSeatsOver(m_seat.GiveUp(*m_keeper.Current()), SeatTargets(aNow));
    }
  }

  bool IsStopped(TimePoint aNow) const override
  {
    const bool done =
      m_stopCalls == 0 && (m_left || !m_evidence.StoreAnswers());
    return m_stopping && (aNow >= m_stopUntil || done);
  }

private:
  // Heads.

  void OnAdopted(const std::optional<Head>& aEarlier, TimePoint aNow)
  {
    const Head& head = *m_keeper.Current();
    m_seat.OnNewHead(head);
    m_peers.Load(head);
    m_evidence.Load(head);
    m_ring.Load(head, aNow);
    const bool newConfig =
      !aEarlier || aEarlier->config_version != head.config_version;
    if (newConfig) {
      LogLine("config",
              "Takes over version " + std::to_string(head.config_version) +
                " with head " + std::to_string(head.seq) + ".");
      m_keys.Load(*m_keeper.Config());
      m_withdrawals.OnConfig();
      m_holder.OnConfig(aNow);
    }
    LoadMap(aEarlier, head, aNow);
    TakePendingHandOvers(head, aNow);
    m_left = m_stopping && FindMember(head, m_options.self.id) == nullptr;
    for (NodeId member : m_peers.Draw(kNewsFanOut)) {
      m_peers.Send(member, HeadNews{ head.seq });
    }
  }

  void LoadMap(const std::optional<Head>& aEarlier,
               const Head& aHead,
               TimePoint aNow)
  {
    const bool newMap = !aEarlier || aEarlier->map_epoch != aHead.map_epoch;
    const auto moves = m_shards.Load(aEarlier, aHead, aNow);
    if (!newMap) {
      return;
    }
    m_claims.OnDeparted(aHead);
    LogLine("shard",
            "Map " + std::to_string(aHead.map_epoch) + " has " +
              std::to_string(aHead.members.size()) +
              " members; hands over shards to " + std::to_string(moves.size()) +
              " of them.");
    HandOverShards(moves, false, aNow);
    m_holder.DropUnheld(aNow);
  }

  /// Takes what was handed over for a head that was not known then.
  void TakePendingHandOvers(const Head& aHead, TimePoint aNow)
  {
    for (const auto& [from, over] : std::exchange(m_pendingHandOvers, {})) {
      if (over.map_epoch >= aHead.map_epoch) {
        OnHandOver(from, over, aNow);
      }
    }
  }

  void HandOverShards(const std::vector<ShardMove>& aMoves,
                      bool aRetires,
                      TimePoint aNow)
  {
    for (const ShardMove& move : aMoves) {
      HandOver over;
      over.map_epoch = m_shards.MapEpoch();
      over.config_version = m_keeper.Config()->version;
      over.retires = aRetires;
      for (std::uint32_t shard : move.shards) {
        over.shards.push_back(m_shards.Describe(shard, aNow));
      }
      over.buckets = m_holder.TakeBuckets(move.shards, aNow);
      over.claims = m_claims.ClaimsOf(move.shards, aNow);
      ++m_stopCalls;
      m_bulk.Call(m_peers.AddressOf(move.target),
                  over,
                  [this](const BulkReply&, TimePoint) { --m_stopCalls; });
    }
  }

  /// Members in random order that are neither retired nor silent.
  std::vector<NodeId> SeatTargets(TimePoint aNow)
  {
    std::vector<NodeId> targets = m_peers.Draw(m_peers.Others().size());
    const auto silent = m_ring.Silent(aNow);
    targets.erase(std::remove_if(targets.begin(),
                                 targets.end(),
                                 [&](NodeId aOne) {
                                   return m_shards.Retired().count(aOne) == 1 ||
                                          std::find(silent.begin(),
                                                    silent.end(),
                                                    aOne) != silent.end();
                                 }),
                  targets.end());
    return targets;
  }

  /// Hands witness seats to the first of some members that takes them. No
  /// reply may mean that they were taken, so that nobody else is asked then.
  void HandSeatsOver(const SeatTransfer& aTransfer,
                     std::vector<NodeId> aTargets)
  {
    if (aTransfer.seats.empty() || aTargets.empty()) {
      return;
    }
    const NodeId target = aTargets.back();
    aTargets.pop_back();
    ++m_stopCalls;
    m_bulk.Call(
      m_peers.AddressOf(target),
      aTransfer,
      [this, aTransfer, aTargets](const BulkReply& aReply, TimePoint /*aNow*/) {
        --m_stopCalls;
        if (aReply && !IsKept(aReply)) {
          HandSeatsOver(aTransfer, aTargets);
        }
      });
  }

  static bool IsKept(const BulkReply& aReply)
  {
    const auto* reply = aReply ? std::get_if<HandOverReply>(&*aReply) : nullptr;
    return reply != nullptr && reply->kept;
  }

  bool OnHandOver(NodeId aFrom, const HandOver& aOver, TimePoint aNow)
  {
    // What a daemon takes that stops itself would leave with it.
    if (!m_keeper.Current() || m_stopping) {
      return false;
    }
    m_claims.Receive(aOver.claims, aNow);
    // Buckets kept by a newer configuration may be divided in another way.
    const bool early = aOver.map_epoch > m_shards.MapEpoch() ||
                       aOver.config_version > m_keeper.Config()->version;
    if (early) {
      // It fits the head that is about to be taken over.
      m_pendingHandOvers.emplace_back(aFrom, aOver);
      return true;
    }
    std::set<std::uint32_t> taken;
    for (const WireShard& shard : aOver.shards) {
      const bool acted =
        shard.shard < kShards && m_shards.IsActing(shard.shard, aNow);
      if (m_shards.Receive(
            aFrom, aOver.retires, aOver.map_epoch, shard, aNow) &&
          !acted) {
        taken.insert(shard.shard);
      }
    }
    for (const WireBucket& bucket : aOver.buckets) {
      if (taken.count(
            ShardOfPart(bucket.account, { bucket.part, bucket.parts })) == 1) {
        m_holder.Receive(bucket, aNow);
      }
    }
    if (aOver.retires && aOver.map_epoch == m_shards.MapEpoch()) {
      m_shards.Retire(aFrom);
    }
    if (!taken.empty()) {
      LogLine("shard",
              "Takes over " + std::to_string(taken.size()) +
                " shards from their holder.");
    }
    return true;
  }

  // Messages.

  /// Messages of a store fleet mean nothing to this one.
  template<typename Other>
  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const Other& /*aMessage*/,
              TimePoint /*aNow*/)
  {
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const Heartbeat& aBeat,
              TimePoint aNow)
  {
    if (aBeat.joins) {
      m_peers.Hear(aBeat.self, aNow);
    }
    for (NodeId retired : aBeat.retired) {
      m_shards.Retire(retired);
    }
    m_seat.Learn(aBeat.seats);
    for (const Withdrawal& withdrawal : aBeat.withdrawals) {
      m_withdrawals.Add(withdrawal);
    }
    if (aBeat.seq > m_keeper.Seq()) {
      m_keeper.FetchFrom(aAddress, aNow);
    }
  }

  void Handle(NodeId aFrom,
              const std::string& /*aAddress*/,
              const SuspectNews& aNews,
              TimePoint aNow)
  {
    m_ring.Report(aFrom, aNews.suspect, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const HeadQuestion& aQuestion,
              TimePoint aNow)
  {
    m_env.Send(aAddress, m_evidence.Answer(aQuestion, aNow));
    if (aQuestion.seq > m_keeper.Seq()) {
      m_keeper.FetchFrom(aAddress, aNow);
    }
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const HeadAnswer& aAnswer,
              TimePoint aNow)
  {
    m_evidence.OnAnswer(aAddress, aAnswer, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const HeadNews& aNews,
              TimePoint aNow)
  {
    if (aNews.seq > m_keeper.Seq()) {
      m_keeper.FetchFrom(aAddress, aNow);
    }
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const IntentAsk& aAsk,
              TimePoint aNow)
  {
    IntentAnswer answer;
    answer.nonce = aAsk.nonce;
    answer.seq = m_keeper.Seq();
    const auto& head = m_keeper.Current();
    if (head && aAsk.seq == head->seq) {
      answer.seats = m_seat.Seats(*head);
    }
    if (!answer.seats.empty()) {
      m_seat.Record(aAsk.nonce, aNow);
    } else if (aAsk.seq > m_keeper.Seq()) {
      m_keeper.FetchFrom(aAddress, aNow);
    }
    m_env.Send(aAddress, answer);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const IntentAnswer& aAnswer,
              TimePoint aNow)
  {
    m_writer.OnIntentAnswer(aAnswer, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const IntentRelease& aRelease,
              TimePoint /*aNow*/)
  {
    m_seat.Release(aRelease.nonce);
  }

  void Handle(NodeId aFrom,
              const std::string& aAddress,
              const TokenAsk& aAsk,
              TimePoint aNow)
  {
    Reply(aFrom, aAddress, m_holder.Answer(aAsk, aNow));
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const TokenAnswer& aAnswer,
              TimePoint aNow)
  {
    m_tokens.OnAnswer(aAnswer, aNow);
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& /*aAddress*/,
              const TokenReturn& aReturn,
              TimePoint aNow)
  {
    m_holder.OnReturn(aReturn, aNow);
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
              const EvidenceNews& aNews,
              TimePoint aNow)
  {
    if (aNews.summary) {
      OnEvidence(aFrom, aNews, aNow);
      return;
    }
    m_env.Send(aAddress, m_board.Exchange(aFrom, aNews, aNow));
  }

  void Handle(NodeId /*aFrom*/,
              const std::string& aAddress,
              const WithdrawNews& aNews,
              TimePoint /*aNow*/)
  {
    m_withdrawals.OnNews(aAddress, aNews, m_env);
  }

  void Handle(NodeId aFrom,
              const std::string& /*aAddress*/,
              const WithdrawAck& aAck,
              TimePoint /*aNow*/)
  {
    m_withdrawals.OnAck(aFrom, aAck);
  }

  /// Passes a message on to its target, or opens it as the target.
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
    m_answersAround = true;
    std::visit(
      [&](const auto& aOne) {
        Handle(aRelay.origin, m_peers.AddressOf(aRelay.origin), aOne, aNow);
      },
      message);
    m_answersAround = false;
  }

  /// Answers the way the question came.
  void Reply(NodeId aTo,
             const std::string& aAddress,
             const PeerMessage& aMessage)
  {
    if (m_answersAround) {
      m_peers.SendAround(aTo, aMessage);
    }
    if (!aAddress.empty()) {
      m_env.Send(aAddress, aMessage);
    }
  }

  void OnEvidence(NodeId /*aFrom*/,
                  const EvidenceNews& aNews,
                  TimePoint /*aNow*/)
  {
    FleetEvidence evidence;
    evidence.service = aNews.service;
    for (const WireEvidence& one : aNews.endpoints) {
      evidence.endpoints.push_back({ one.endpoint, one.answered, one.bad });
    }
    if (!evidence.endpoints.empty()) {
      m_events.emplace_back(evidence);
    }
  }

  // Membership.

  void SendHeartbeats(TimePoint aNow)
  {
    if (aNow < m_nextBeat) {
      return;
    }
    m_nextBeat = aNow + kHeartbeatPeriod;
    Heartbeat beat;
    beat.self = m_options.self;
    beat.seq = m_keeper.Seq();
    beat.withdrawals = m_withdrawals.Pending();
    beat.seats = m_seat.Moved();
    const auto& head = m_keeper.Current();
    const bool member = head && FindMember(*head, m_options.self.id) != nullptr;
    beat.joins = m_options.joins && !m_stopping && !member;
    if (member) {
      // The head tells the others how a member is reached.
      beat.self = {};
    }
    const auto& retired = m_shards.Retired();
    beat.retired.assign(retired.begin(), retired.end());
    for (NodeId listener : m_ring.Listeners()) {
      m_peers.Send(listener, beat);
    }
    if (!member) {
      for (const std::string& address : m_evidence.EntryPoints()) {
        m_env.Send(address, beat);
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
    m_nextHostList = aNow + kHostListPeriod;
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
      m_evidence.SetHosts(addresses);
    });
  }

  /// Proposes a new map when members come, go or stay silent.
  void KeepMap(TimePoint aNow)
  {
    const bool handsOver = m_stopping && m_stopCalls > 0;
    if (!m_options.joins || m_writer.IsBusy() || aNow < m_nextMap ||
        handsOver) {
      return;
    }
    if (m_nextMap == TimePoint{}) {
      m_nextMap = aNow + kJoinPatience + Jitter();
      return;
    }
    m_nextMap = aNow + kMapWritePeriod + Jitter();
    const auto& head = m_keeper.Current();
    const auto orphan = m_seat.OldestAge(aNow);
    const bool orphaned =
      orphan && *orphan > kOrphanAge && m_evidence.StoreAnswers();
    if (!orphaned &&
        !(m_evidence.StoreAnswers() && m_proposer.Wants(head, Stop(), aNow))) {
      return;
    }
    // A daemon without a head waits for the platform to show one, so that it
    // begins a new fleet only where there is none.
    if (!head && !m_evidence.StoreAnswers()) {
      return;
    }
    m_writer.WriteHead(
      [this, orphaned](const Head& aBase, TimePoint aThen) {
        return m_proposer.Next(aBase, Stop(), orphaned, aThen);
      },
      aNow,
      [this](const WriteResult& aResult, TimePoint aThen) {
        OnMapWritten(aResult, aThen);
      });
  }

  void OnMapWritten(const WriteResult& aResult, TimePoint /*aNow*/)
  {
    if (aResult.verdict == WriteVerdict::Accepted) {
      LogLine("member", "Wrote a new map.");
    } else if (aResult.verdict != WriteVerdict::Unchanged) {
      LogLine("member", "Could not write a map: " + aResult.detail + ".");
    }
  }

  Duration Jitter()
  {
    const auto most = static_cast<std::uint64_t>(kMapWritePeriod.count());
    return Milliseconds(m_random() % most);
  }

  StopState Stop() const { return { m_stopping, ClaimsAreKept() }; }

  /// Tells whether the claims of a stopping daemon are safe with others.
  bool ClaimsAreKept() const
  {
    // One keeper alone may be the holder of the claims' shard, whose loss
    // would then lose them.
    return m_claimsKept == kClaimKeepers;
  }

  // Claims after a holder was lost.

  void CollectMissingClaims(TimePoint aNow)
  {
    if (aNow < m_nextCollect) {
      return;
    }
    m_nextCollect = aNow + kCollectPeriod;
    const auto untold = m_shards.Untold();
    if (untold.empty()) {
      return;
    }
    const auto shards = m_shards.Recovering();
    const std::uint64_t epoch = m_shards.MapEpoch();
    for (NodeId member : untold) {
      if (!m_collecting.insert(member).second) {
        continue;
      }
      m_bulk.Call(m_peers.AddressOf(member),
                  CollectClaims{ epoch, shards },
                  [this, member, shards, epoch](const BulkReply& aReply,
                                                TimePoint aThen) {
                    m_collecting.erase(member);
                    OnCollected(member, shards, epoch, aReply, aThen);
                  });
    }
  }

  void OnCollected(NodeId aMember,
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
  WitnessSeat m_seat;
  Peers m_peers;
  HeadKeeper m_keeper;
  EvidenceAsker m_evidence;
  HeadWriter m_writer;
  RingMonitor m_ring;
  ShardKeeper m_shards;
  TokenHolder m_holder;
  TokenDesk m_tokens;
  ClaimDesk m_claims;
  EvidenceBoard m_board;
  WithdrawalDesk m_withdrawals;
  MapProposer m_proposer;
  KeyDirectory m_keys;
  std::vector<ControlEvent> m_events;
  std::vector<std::pair<NodeId, HandOver>> m_pendingHandOvers;
  std::set<NodeId> m_collecting;
  TimePoint m_nextBeat{};
  TimePoint m_nextHostList{};
  TimePoint m_nextMap{};
  TimePoint m_nextCollect{};
  bool m_answersAround = false;
  bool m_stopping = false;
  bool m_left = false;
  TimePoint m_stopUntil{};
  int m_stopCalls = 0;
  std::size_t m_claimsKept = 0;
};

} // namespace

std::unique_ptr<Node>
MakeNode(const NodeOptions& aOptions, NodeEnv& aEnv)
{
  return std::make_unique<FleetNode>(aOptions, aEnv);
}

} // namespace sapphirelane
