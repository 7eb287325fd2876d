#include "sapphirelane/membership/claim_desk.h"

#include <algorithm>
#include <utility>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

constexpr std::uint32_t kDirectTries = 2;

constexpr Milliseconds kExpiryPeriod{ 1000 };

/// An end that nobody acknowledges is given up: the holder then knows the
/// claim as running, and later as unknown.
constexpr std::uint32_t kEndTries = 20;

WireClaim
ToWire(const Claim& aClaim, TimePoint aNow)
{
  WireClaim wire;
  wire.id = aClaim.id;
  wire.fingerprint = aClaim.fingerprint;
  wire.claimant = aClaim.claimant;
  wire.ask = aClaim.ask;
  wire.generation = aClaim.generation;
  wire.state = static_cast<std::uint8_t>(aClaim.state);
  wire.kept = aClaim.answer.kept;
  wire.status = aClaim.answer.status;
  wire.content_type = aClaim.answer.content_type;
  wire.body = aClaim.answer.body;
  const auto age = ToMilliseconds(aNow - aClaim.made).count();
  wire.age_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, age));
  return wire;
}

Claim
FromWire(const WireClaim& aWire, TimePoint aNow)
{
  Claim claim;
  claim.id = aWire.id;
  claim.fingerprint = aWire.fingerprint;
  claim.claimant = aWire.claimant;
  claim.ask = aWire.ask;
  claim.generation = aWire.generation;
  claim.state = static_cast<ClaimState>(std::min<std::uint8_t>(
    aWire.state, static_cast<std::uint8_t>(ClaimState::Done)));
  claim.answer = { aWire.kept, aWire.status, aWire.content_type, aWire.body };
  claim.made = aNow - Milliseconds(aWire.age_ms);
  return claim;
}

const char*
VerdictName(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Granted:
      return "granted";
    case ClaimVerdict::Repeat:
      return "repeat";
    case ClaimVerdict::Mismatch:
      return "another request";
    case ClaimVerdict::NotReady:
      break;
  }
  return "not ready";
}

} // namespace

ClaimDesk::ClaimDesk(HeadKeeper& aKeeper,
                     ShardKeeper& aShards,
                     Peers& aPeers,
                     Random& aRandom,
                     Duration aDedupWindow)
  : m_keeper(aKeeper)
  , m_shards(aShards)
  , m_peers(aPeers)
  , m_table(aDedupWindow)
  , m_firstNumber(aRandom())
{
}

bool
ClaimDesk::IsMember() const
{
  const auto& head = m_keeper.Current();
  return head && FindMember(*head, m_peers.Self().id) != nullptr;
}

std::uint64_t
ClaimDesk::ClaimNumber(AskId aAsk) const
{
  return m_firstNumber + aAsk;
}

AskId
ClaimDesk::Ask(Claim aClaim, TimePoint aDeadline, TimePoint aNow)
{
  const AskId ask = ++m_lastAsk;
  aClaim.ask = ClaimNumber(ask);
  aClaim.claimant = m_peers.Self().id;
  Open& open = m_open[ask];
  open.ask = ask;
  open.claim = std::move(aClaim);
  open.deadline = aDeadline;
  Send(open, aNow);
  return ask;
}

void
ClaimDesk::Send(Open& aOpen, TimePoint aNow)
{
  aOpen.resend = aNow + kResendAfter;
  ++aOpen.tries;
  if (!IsMember()) {
    // A daemon that the map does not name would not be asked for its claims.
    return;
  }
  if (aOpen.copying) {
    SendCopy(aOpen, aNow);
    return;
  }
  const NodeId holder = m_shards.Holder(ShardOf(aOpen.claim.id));
  if (holder == m_peers.Self().id) {
    AskSelf(aOpen, aNow);
    return;
  }
  const ClaimAsk ask{ aOpen.claim.ask,
                      aOpen.claim.id,
                      aOpen.claim.fingerprint };
  if (aOpen.tries <= kDirectTries) {
    m_peers.Send(holder, ask);
  } else {
    m_peers.SendAround(holder, ask);
  }
}

void
ClaimDesk::AskSelf(Open& aOpen, TimePoint aNow)
{
  const NodeId self = m_peers.Self().id;
  const ClaimAsk ask{ aOpen.claim.ask,
                      aOpen.claim.id,
                      aOpen.claim.fingerprint };
  const ClaimAnswer answer = Answer(self, ask, aNow);
  if (answer.verdict == static_cast<std::uint8_t>(ClaimVerdict::Granted) &&
      !m_peers.Others().empty()) {
    aOpen.copying = true;
    aOpen.claim.generation = answer.claim.generation;
    aOpen.tries = 0;
    SendCopy(aOpen, aNow);
    return;
  }
  OnAnswer(self, answer, aNow);
}

void
ClaimDesk::SendCopy(Open& aOpen, TimePoint aNow)
{
  Claim claim = aOpen.claim;
  claim.made = aNow;
  const ClaimCopy copy{ ToWire(claim, aNow), m_shards.MapEpoch() };
  for (NodeId member : m_peers.Draw(1)) {
    m_peers.Send(member, copy);
  }
}

void
ClaimDesk::OnCopyAnswer(NodeId aFrom,
                        const ClaimCopyAnswer& aAnswer,
                        TimePoint /*aNow*/)
{
  const auto& head = m_keeper.Current();
  if (!aAnswer.kept || !head || FindMember(*head, aFrom) == nullptr) {
    return;
  }
  for (auto& entry : m_open) {
    const Open open = entry.second;
    if (open.copying && open.claim.ask == aAnswer.ask) {
      m_open.erase(entry.first);
      Grant(open, m_peers.Self().id, m_shards.MapEpoch());
      return;
    }
  }
}

void
ClaimDesk::Grant(const Open& aOpen, NodeId aHolder, std::uint64_t aMapEpoch)
{
  m_granted[aOpen.ask] = { aOpen.claim, aHolder, aMapEpoch };
  m_results.push_back({ aOpen.ask, { ClaimVerdict::Granted } });
}

void
ClaimDesk::OnAnswer(NodeId aFrom, const ClaimAnswer& aAnswer, TimePoint aNow)
{
  const AskId ask = aAnswer.ask - m_firstNumber;
  auto found = m_open.find(ask);
  const auto verdict = static_cast<ClaimVerdict>(aAnswer.verdict);
  if (found == m_open.end() || found->second.copying ||
      verdict == ClaimVerdict::NotReady) {
    return;
  }
  Open open = found->second;
  m_open.erase(found);
  if (verdict == ClaimVerdict::Granted && m_stopping) {
    // Nobody would be asked for it once this daemon has left.
    open.claim.state = ClaimState::Released;
    End(open.claim, aNow);
    m_results.push_back({ ask, { ClaimVerdict::NotReady } });
    return;
  }
  if (verdict == ClaimVerdict::Granted) {
    // Remembered before anything is sent.
    open.claim.state = ClaimState::Running;
    open.claim.generation = aAnswer.claim.generation;
    open.claim.made = aNow;
    m_table.Merge(open.claim);
    Grant(open, aFrom, aAnswer.map_epoch);
    return;
  }
  const Claim held = FromWire(aAnswer.claim, aNow);
  m_results.push_back({ ask, { verdict, held.state, held.answer } });
}

bool
ClaimDesk::MaySend(AskId aAsk, TimePoint aNow) const
{
  auto found = m_granted.find(aAsk);
  if (found == m_granted.end() || !m_keeper.Lease().IsFresh(aNow) ||
      !IsMember()) {
    return false;
  }
  const Granted& granted = found->second;
  const NodeId holder = m_shards.Holder(ShardOf(granted.claim.id));
  return granted.map_epoch == m_shards.MapEpoch() || granted.holder == holder;
}

void
ClaimDesk::Finish(AskId aAsk,
                  ClaimState aState,
                  const KeptAnswer& aAnswer,
                  TimePoint aNow)
{
  auto found = m_granted.find(aAsk);
  if (found == m_granted.end()) {
    return;
  }
  Claim claim = found->second.claim;
  m_granted.erase(found);
  claim.state = aState;
  claim.answer = aAnswer;
  m_table.Finish(claim.id, claim.ask, aState, aAnswer);
  End(claim, aNow);
}

void
ClaimDesk::Release(AskId aAsk, TimePoint aNow)
{
  auto found = m_granted.find(aAsk);
  if (found == m_granted.end()) {
    return;
  }
  Claim claim = found->second.claim;
  m_granted.erase(found);
  claim.state = ClaimState::Released;
  m_table.Release(claim.id, claim.ask);
  End(claim, aNow);
}

void
ClaimDesk::End(const Claim& aClaim, TimePoint aNow)
{
  Ending ending;
  ending.claim = ToWire(aClaim, aNow);
  ending.made = aNow;
  Ending& kept = m_endings[aClaim.ask] = ending;
  SendEnd(kept, aNow);
}

void
ClaimDesk::SendEnd(Ending& aEnding, TimePoint aNow)
{
  ++aEnding.tries;
  aEnding.resend = aNow + kResendAfter * aEnding.tries;
  const NodeId holder = m_shards.Holder(ShardOf(aEnding.claim.id));
  if (holder == m_peers.Self().id) {
    OnEnd({ aEnding.claim }, aNow);
    aEnding.tries = kEndTries;
    return;
  }
  const ClaimEnd end{ aEnding.claim };
  if (aEnding.tries <= kDirectTries) {
    m_peers.Send(holder, end);
  } else {
    m_peers.SendAround(holder, end);
  }
}

void
ClaimDesk::OnEndAck(const ClaimEndAck& aAck)
{
  m_endings.erase(aAck.ask);
}

std::vector<ClaimResult>
ClaimDesk::TakeResults()
{
  return std::exchange(m_results, {});
}

void
ClaimDesk::Tick(TimePoint aNow)
{
  if (aNow >= m_nextExpiry) {
    m_table.Expire(aNow);
    m_nextExpiry = aNow + kExpiryPeriod;
  }
  std::vector<AskId> due;
  for (const auto& entry : m_open) {
    if (aNow >= entry.second.resend || aNow >= entry.second.deadline) {
      due.push_back(entry.first);
    }
  }
  for (AskId ask : due) {
    Open& open = m_open.at(ask);
    if (aNow < open.deadline) {
      Send(open, aNow);
      continue;
    }
    if (open.copying) {
      // Nothing was sent under it.
      m_table.Release(open.claim.id, open.claim.ask);
    }
    m_open.erase(ask);
    m_results.push_back({ ask, { ClaimVerdict::NotReady } });
  }
  for (auto it = m_endings.begin(); it != m_endings.end();) {
    if (aNow >= it->second.resend) {
      SendEnd(it->second, aNow);
    }
    const bool over = it->second.tries >= kEndTries;
    it = over ? m_endings.erase(it) : std::next(it);
  }
}

ClaimAnswer
ClaimDesk::Answer(NodeId aFrom, const ClaimAsk& aAsk, TimePoint aNow)
{
  ClaimAnswer answer;
  answer.ask = aAsk.ask;
  answer.verdict = static_cast<std::uint8_t>(ClaimVerdict::NotReady);
  answer.map_epoch = m_shards.MapEpoch();
  const std::uint32_t shard = ShardOf(aAsk.id);
  const auto& head = m_keeper.Current();
  const bool judges =
    head && m_keeper.Lease().IsFresh(aNow) && m_shards.IsActing(shard, aNow) &&
    m_shards.ClaimsComplete(shard, aNow) &&
    FindMember(*head, aFrom) != nullptr && m_shards.Retired().count(aFrom) == 0;
  if (!judges) {
    return answer;
  }
  Claim claim;
  claim.id = aAsk.id;
  claim.fingerprint = aAsk.fingerprint;
  claim.claimant = aFrom;
  claim.ask = aAsk.ask;
  const ClaimReply reply = m_table.Ask(claim, aNow);
  LogLine("claim",
          "Holder " + std::to_string(m_peers.Self().id) + " answers claim " +
            aAsk.id + " of " + std::to_string(aFrom) + " in shard " +
            std::to_string(shard) + ", map " +
            std::to_string(m_shards.MapEpoch()) + ": " +
            VerdictName(reply.verdict) + ".");
  answer.verdict = static_cast<std::uint8_t>(reply.verdict);
  claim.state = reply.state;
  claim.answer = reply.answer;
  claim.generation = reply.generation;
  claim.made = aNow;
  answer.claim = ToWire(claim, aNow);
  return answer;
}

ClaimEndAck
ClaimDesk::OnEnd(const ClaimEnd& aEnd, TimePoint aNow)
{
  const Claim claim = FromWire(aEnd.claim, aNow);
  if (claim.state == ClaimState::Released) {
    m_table.Release(claim.id, claim.ask);
  } else {
    m_table.Finish(claim.id, claim.ask, claim.state, claim.answer);
  }
  return { aEnd.claim.ask };
}

ClaimCopyAnswer
ClaimDesk::OnCopy(NodeId aFrom, const ClaimCopy& aCopy, TimePoint aNow)
{
  ClaimCopyAnswer answer;
  answer.ask = aCopy.claim.ask;
  // A holder of an older map may have been replaced already, and the new one
  // may have asked this daemon before.
  const NodeId holder = m_shards.Holder(ShardOf(aCopy.claim.id));
  answer.kept = aCopy.map_epoch == m_shards.MapEpoch() && holder == aFrom &&
                IsMember() && !m_stopping;
  if (answer.kept) {
    m_table.Merge(FromWire(aCopy.claim, aNow));
  }
  return answer;
}

std::vector<WireClaim>
ClaimDesk::ClaimsOf(const std::vector<std::uint32_t>& aShards,
                    TimePoint aNow) const
{
  std::vector<WireClaim> wires;
  const auto wanted = [&](const Claim& aClaim) {
    const std::uint32_t shard = ShardOf(aClaim.id);
    return std::find(aShards.begin(), aShards.end(), shard) != aShards.end();
  };
  for (const Claim& claim : m_table.Select(wanted)) {
    wires.push_back(ToWire(claim, aNow));
  }
  return wires;
}

std::vector<WireClaim>
ClaimDesk::Stop(TimePoint aNow)
{
  m_stopping = true;
  std::vector<WireClaim> wires;
  for (const Claim& claim : m_table.Select([](const Claim&) { return true; })) {
    wires.push_back(ToWire(claim, aNow));
  }
  return wires;
}

void
ClaimDesk::Receive(const std::vector<WireClaim>& aClaims, TimePoint aNow)
{
  for (const WireClaim& wire : aClaims) {
    m_table.Merge(FromWire(wire, aNow));
  }
}

void
ClaimDesk::OnDeparted(const Head& aHead)
{
  for (const Departed& departed : aHead.departed) {
    m_table.LoseClaimant(departed.id);
  }
}

} // namespace sapphirelane
