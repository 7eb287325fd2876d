#include "sapphirelane/membership/token_desk.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

/// A question whose token could hardly be used any more is asked anew.
constexpr Milliseconds kRenewAfter{ 200 };

/// Tries that go to the holder directly before another way is taken.
constexpr std::uint32_t kDirectTries = 2;

constexpr Milliseconds kExpiryPeriod{ 500 };

/// Least time that a token must be usable to be worth having.
constexpr Milliseconds kLeastUse{ 20 };

} // namespace

TokenDesk::TokenDesk(HeadKeeper& aKeeper,
                     ShardKeeper& aShards,
                     Peers& aPeers,
                     Random& aRandom)
  : m_keeper(aKeeper)
  , m_shards(aShards)
  , m_peers(aPeers)
  , m_random(aRandom)
{
}

AskId
TokenDesk::Ask(const std::string& aAccount, TimePoint aDeadline, TimePoint aNow)
{
  Open open;
  open.ask = ++m_lastAsk;
  open.account = aAccount;
  open.deadline = aDeadline;
  NewQuestion(open, aNow);
  return m_lastAsk;
}

void
TokenDesk::NewQuestion(Open& aOpen, TimePoint aNow)
{
  aOpen.question = m_random();
  aOpen.asked = aNow;
  aOpen.tries = 0;
  Open& kept = m_open[aOpen.question] = aOpen;
  Send(kept, aNow);
}

void
TokenDesk::Send(Open& aOpen, TimePoint aNow)
{
  aOpen.resend = aNow + kResendAfter;
  ++aOpen.tries;
  const NodeId holder = m_shards.Holder(ShardOf(aOpen.account));
  const TokenAsk ask{ aOpen.question, aOpen.account };
  if (holder == m_peers.Self().id) {
    const TokenAnswer answer = Answer(ask, aNow);
    if (answer.holder) {
      const Open open = aOpen;
      m_open.erase(open.question);
      Settle(open, answer, aNow);
    }
    return;
  }
  if (aOpen.tries <= kDirectTries) {
    m_peers.Send(holder, ask);
  } else {
    m_peers.SendAround(holder, ask);
  }
}

void
TokenDesk::OnAnswer(const TokenAnswer& aAnswer, TimePoint aNow)
{
  auto late = m_abandoned.find(aAnswer.ask);
  if (late != m_abandoned.end() && aAnswer.granted) {
    SendReturn({ aAnswer.ask, late->second.account }, aNow);
    m_abandoned.erase(late);
    return;
  }
  auto found = m_open.find(aAnswer.ask);
  if (found == m_open.end() || !aAnswer.holder) {
    return;
  }
  const Open open = found->second;
  m_open.erase(found);
  Settle(open, aAnswer, aNow);
}

void
TokenDesk::Settle(const Open& aOpen, const TokenAnswer& aAnswer, TimePoint aNow)
{
  TokenResult result;
  result.ask = aOpen.ask;
  if (!aAnswer.granted) {
    result.verdict = TokenVerdict::Refused;
    result.retry_after = Milliseconds(aAnswer.retry_ms);
    m_results.push_back(result);
    return;
  }
  result.verdict = TokenVerdict::Granted;
  // The holder decided after the question was sent, and before now.
  const TimePoint from = aNow + Milliseconds(aAnswer.wait_ms);
  // The wait was rounded up to whole milliseconds; its end must not be.
  const Milliseconds least(aAnswer.wait_ms > 0 ? aAnswer.wait_ms - 1 : 0);
  result.valid_until = aOpen.asked + least + kGrantLife;
  m_granted[aOpen.ask] = { aOpen.account, aOpen.question, result.valid_until };
  if (from + kLeastUse > result.valid_until) {
    // The answer took so long that the token cannot be used in time.
    Return(aOpen.ask, aNow);
    Open again = aOpen;
    NewQuestion(again, aNow);
    return;
  }
  m_ripening.push_back({ result, from });
  if (from <= aNow) {
    m_results.push_back(result);
    m_ripening.pop_back();
  }
}

void
TokenDesk::Return(AskId aAsk, TimePoint aNow)
{
  auto found = m_granted.find(aAsk);
  if (found == m_granted.end()) {
    return;
  }
  const TokenReturn back{ found->second.question, found->second.account };
  m_granted.erase(found);
  SendReturn(back, aNow);
}

void
TokenDesk::SendReturn(const TokenReturn& aReturn, TimePoint aNow)
{
  const NodeId holder = m_shards.Holder(ShardOf(aReturn.account));
  if (holder == m_peers.Self().id) {
    OnReturn(aReturn, aNow);
  } else {
    m_peers.Send(holder, aReturn);
  }
}

void
TokenDesk::Tick(TimePoint aNow)
{
  if (aNow >= m_nextExpiry) {
    m_budgets.Expire(aNow);
    m_nextExpiry = aNow + kExpiryPeriod;
  }
  for (auto it = m_granted.begin(); it != m_granted.end();) {
    const bool old = aNow > it->second.until + kMostTokenWait;
    it = old ? m_granted.erase(it) : std::next(it);
  }
  for (auto it = m_abandoned.begin(); it != m_abandoned.end();) {
    it = aNow > it->second.until ? m_abandoned.erase(it) : std::next(it);
  }
  for (std::size_t i = 0; i < m_ripening.size();) {
    if (m_ripening[i].from <= aNow) {
      m_results.push_back(m_ripening[i].result);
      m_ripening[i] = m_ripening.back();
      m_ripening.pop_back();
    } else {
      ++i;
    }
  }
  std::vector<std::uint64_t> due;
  for (const auto& entry : m_open) {
    if (aNow >= entry.second.resend || aNow >= entry.second.deadline) {
      due.push_back(entry.first);
    }
  }
  for (std::uint64_t question : due) {
    Open open = m_open.at(question);
    const bool ends = aNow >= open.deadline || aNow - open.asked >= kRenewAfter;
    if (ends) {
      const TimePoint until = aNow + kMostTokenWait + kGrantLife;
      m_abandoned[question] = { open.account, question, until };
    }
    if (aNow >= open.deadline) {
      m_open.erase(question);
      m_results.push_back({ open.ask, TokenVerdict::Unavailable });
    } else if (aNow - open.asked >= kRenewAfter) {
      m_open.erase(question);
      NewQuestion(open, aNow);
    } else {
      Send(m_open.at(question), aNow);
    }
  }
}

std::vector<TokenResult>
TokenDesk::TakeResults()
{
  return std::exchange(m_results, {});
}

TokenAnswer
TokenDesk::Answer(const TokenAsk& aAsk, TimePoint aNow)
{
  TokenAnswer answer;
  answer.ask = aAsk.ask;
  const std::uint32_t shard = ShardOf(aAsk.account);
  const FleetConfig* config = m_keeper.Config();
  const bool acts = config != nullptr && m_keeper.Lease().IsFresh(aNow) &&
                    m_shards.IsActing(shard, aNow);
  if (!acts) {
    return answer;
  }
  auto account = config->accounts.find(aAsk.account);
  if (account == config->accounts.end()) {
    return answer;
  }
  // A token promised for after the lease would add to those of a new holder.
  const Grant grant = m_budgets.Ask(account->second,
                                    aAsk.ask,
                                    m_shards.EmptySince(shard),
                                    m_keeper.Lease().Until(),
                                    aNow);
  answer.holder = true;
  answer.granted = grant.granted;
  answer.wait_ms = static_cast<std::uint32_t>(grant.wait.count());
  answer.retry_ms = static_cast<std::uint32_t>(grant.retry_after.count());
  return answer;
}

void
TokenDesk::OnReturn(const TokenReturn& aReturn, TimePoint aNow)
{
  const FleetConfig* config = m_keeper.Config();
  if (config == nullptr) {
    return;
  }
  auto account = config->accounts.find(aReturn.account);
  if (account != config->accounts.end()) {
    m_budgets.Return(account->second, aReturn.ask, aNow);
  }
}

std::vector<WireBucket>
TokenDesk::TakeBuckets(const std::vector<std::uint32_t>& aShards,
                       TimePoint aNow)
{
  std::vector<WireBucket> buckets;
  const FleetConfig* config = m_keeper.Config();
  if (config == nullptr) {
    return buckets;
  }
  for (const auto& [id, account] : config->accounts) {
    const std::uint32_t shard = ShardOf(id);
    if (std::find(aShards.begin(), aShards.end(), shard) == aShards.end()) {
      continue;
    }
    const auto level = m_budgets.Level(account, aNow);
    if (level) {
      const auto after =
        std::chrono::ceil<Milliseconds>(level->from - aNow).count();
      buckets.push_back(
        { id, level->level, static_cast<std::uint64_t>(after) });
      m_budgets.Drop(id);
    }
  }
  return buckets;
}

void
TokenDesk::DropUnheld(TimePoint aNow)
{
  m_budgets.DropIf([&](const std::string& aAccount) {
    return !m_shards.IsActing(ShardOf(aAccount), aNow);
  });
}

void
TokenDesk::Receive(const WireBucket& aBucket, TimePoint aNow)
{
  const FleetConfig* config = m_keeper.Config();
  auto account = config->accounts.find(aBucket.account);
  if (account != config->accounts.end()) {
    m_budgets.Start(
      account->second, aBucket.level, aNow + Milliseconds(aBucket.after_ms));
  }
}

} // namespace sapphirelane
