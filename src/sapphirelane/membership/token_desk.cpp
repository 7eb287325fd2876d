#include "sapphirelane/membership/token_desk.h"

#include <utility>

#include "sapphirelane/membership/timings.h"

namespace sapphirelane {

namespace {

/// A question whose token could hardly be used any more is asked anew.
constexpr Milliseconds kRenewAfter{ 200 };

/// Tries that go to the holder directly before another way is taken.
constexpr std::uint32_t kDirectTries = 2;

/// Least time that a token must be usable to be worth having.
constexpr Milliseconds kLeastUse{ 20 };

/// For this time other parts are asked before those of a silent holder.
constexpr Milliseconds kSilenceMemory{ 1000 };

TokenReturn
ReturnOf(std::uint64_t aQuestion,
         const std::string& aAccount,
         const AccountPart& aPart)
{
  return { aQuestion,
           aAccount,
           static_cast<std::uint8_t>(aPart.index),
           static_cast<std::uint8_t>(aPart.count) };
}

} // namespace

TokenDesk::TokenDesk(HeadKeeper& aKeeper,
                     ShardKeeper& aShards,
                     TokenHolder& aHolder,
                     Peers& aPeers,
                     Random& aRandom)
  : m_keeper(aKeeper)
  , m_shards(aShards)
  , m_holder(aHolder)
  , m_peers(aPeers)
  , m_random(aRandom)
{
}

AskId
TokenDesk::Ask(const std::string& aAccount, TimePoint aDeadline, TimePoint aNow)
{
  const AskId ask = ++m_lastAsk;
  NewQuestion({ ask, aAccount, aDeadline, NewWalk(aAccount, aNow) }, aNow);
  return ask;
}

PartWalk
TokenDesk::NewWalk(const std::string& aAccount, TimePoint aNow)
{
  const FleetConfig* config = m_keeper.Config();
  std::uint32_t parts = 1;
  if (config != nullptr) {
    auto account = config->accounts.find(aAccount);
    parts = account == config->accounts.end() ? 1 : PartsOf(account->second);
  }
  const auto silent = [&](std::uint32_t aIndex) {
    auto found = m_silentUntil.find(HolderOf(aAccount, { aIndex, parts }));
    return found != m_silentUntil.end() && aNow < found->second;
  };
  return PartWalk(parts, silent, m_random);
}

NodeId
TokenDesk::HolderOf(const std::string& aAccount, const AccountPart& aPart) const
{
  return m_shards.Holder(ShardOfPart(aAccount, aPart));
}

void
TokenDesk::NewQuestion(Open aOpen, TimePoint aNow)
{
  aOpen.question = m_random();
  aOpen.asked = aNow;
  aOpen.tries = 0;
  const std::uint64_t question = aOpen.question;
  const auto kept = m_open.emplace(question, std::move(aOpen)).first;
  Send(kept->second, aNow);
}

void
TokenDesk::Send(Open& aOpen, TimePoint aNow)
{
  aOpen.resend = aNow + kResendAfter;
  ++aOpen.tries;
  const AccountPart part = aOpen.walk.Part();
  const NodeId holder = HolderOf(aOpen.account, part);
  const TokenAsk ask{ aOpen.question,
                      aOpen.account,
                      static_cast<std::uint8_t>(part.index),
                      static_cast<std::uint8_t>(part.count),
                      aOpen.walk.MayWait() };
  if (holder == m_peers.Self().id) {
    OnAnswer(m_holder.Answer(ask, aNow), aNow);
  } else if (aOpen.tries <= kDirectTries) {
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
    SendReturn(late->second.back, aNow);
    m_abandoned.erase(late);
    return;
  }
  auto found = m_open.find(aAnswer.ask);
  if (found == m_open.end()) {
    return;
  }
  const Open open = found->second;
  if (!aAnswer.holder) {
    // A daemon that does not act on the shard yet decides nothing.
    GoOnSilent(open, aNow);
    return;
  }
  m_open.erase(found);
  Settle(open, aAnswer, aNow);
}

void
TokenDesk::Settle(const Open& aOpen, const TokenAnswer& aAnswer, TimePoint aNow)
{
  if (aAnswer.granted) {
    OnGranted(aOpen, aAnswer, aNow);
  } else {
    OnRefused(aOpen, aAnswer, aNow);
  }
}

void
TokenDesk::OnRefused(const Open& aOpen,
                     const TokenAnswer& aAnswer,
                     TimePoint aNow)
{
  Open next = aOpen;
  const auto retryAfter = next.walk.OnRefused(Milliseconds(aAnswer.retry_ms));
  if (!retryAfter) {
    NewQuestion(std::move(next), aNow);
    return;
  }
  TokenResult result;
  result.ask = aOpen.ask;
  result.verdict = TokenVerdict::Refused;
  result.retry_after = *retryAfter;
  m_results.push_back(result);
}

void
TokenDesk::OnGranted(const Open& aOpen,
                     const TokenAnswer& aAnswer,
                     TimePoint aNow)
{
  TokenResult result;
  result.ask = aOpen.ask;
  result.verdict = TokenVerdict::Granted;
  // The holder decided after the question was sent, and before now.
  const TimePoint from = aNow + Milliseconds(aAnswer.wait_ms);
  // The wait was rounded up to whole milliseconds; its end must not be.
  const Milliseconds least(aAnswer.wait_ms > 0 ? aAnswer.wait_ms - 1 : 0);
  result.valid_until = aOpen.asked + least + kGrantLife;
  m_granted[aOpen.ask] = { ReturnOf(
                             aOpen.question, aOpen.account, aOpen.walk.Part()),
                           result.valid_until };
  if (from + kLeastUse > result.valid_until) {
    // The answer took so long that the token cannot be used in time.
    Return(aOpen.ask, aNow);
    NewQuestion(aOpen, aNow);
  } else if (from <= aNow) {
    m_results.push_back(result);
  } else {
    m_ripening.push_back({ result, from });
  }
}

/// Asks another part in place of one that does not answer, if there is one.
bool
TokenDesk::GoOnSilent(const Open& aOpen, TimePoint aNow)
{
  Open next = aOpen;
  if (!next.walk.OnSilent()) {
    return false;
  }
  const NodeId silent = HolderOf(aOpen.account, aOpen.walk.Part());
  m_silentUntil[silent] = aNow + kSilenceMemory;
  Abandon(aOpen, aNow);
  NewQuestion(std::move(next), aNow);
  return true;
}

/// Gives a question up; a token that it is granted yet goes back.
void
TokenDesk::Abandon(const Open& aOpen, TimePoint aNow)
{
  const std::uint64_t question = aOpen.question;
  m_abandoned[question] = { ReturnOf(
                              question, aOpen.account, aOpen.walk.Part()),
                            aNow + kMostTokenWait + kGrantLife };
  m_open.erase(question);
}

void
TokenDesk::Return(AskId aAsk, TimePoint aNow)
{
  auto found = m_granted.find(aAsk);
  if (found == m_granted.end()) {
    return;
  }
  const TokenReturn back = found->second.back;
  m_granted.erase(found);
  SendReturn(back, aNow);
}

void
TokenDesk::SendReturn(const TokenReturn& aReturn, TimePoint aNow)
{
  const NodeId holder =
    HolderOf(aReturn.account, { aReturn.part, aReturn.parts });
  if (holder == m_peers.Self().id) {
    m_holder.OnReturn(aReturn, aNow);
  } else {
    m_peers.Send(holder, aReturn);
  }
}

void
TokenDesk::Tick(TimePoint aNow)
{
  Forget(aNow);
  TakeRipe(aNow);
  std::vector<std::uint64_t> due;
  for (const auto& [question, open] : m_open) {
    if (aNow >= open.resend || aNow >= open.deadline) {
      due.push_back(question);
    }
  }
  for (std::uint64_t question : due) {
    OnDue(question, aNow);
  }
}

void
TokenDesk::OnDue(std::uint64_t aQuestion, TimePoint aNow)
{
  const Open open = m_open.at(aQuestion);
  if (aNow >= open.deadline) {
    Abandon(open, aNow);
    m_results.push_back({ open.ask, TokenVerdict::Unavailable });
  } else if (aNow - open.asked >= kRenewAfter) {
    Abandon(open, aNow);
    NewQuestion(
      { open.ask, open.account, open.deadline, NewWalk(open.account, aNow) },
      aNow);
  } else if (!GoOnSilent(open, aNow)) {
    Send(m_open.at(aQuestion), aNow);
  }
}

void
TokenDesk::TakeRipe(TimePoint aNow)
{
  for (std::size_t i = 0; i < m_ripening.size();) {
    if (m_ripening[i].from <= aNow) {
      m_results.push_back(m_ripening[i].result);
      m_ripening[i] = m_ripening.back();
      m_ripening.pop_back();
    } else {
      ++i;
    }
  }
}

void
TokenDesk::Forget(TimePoint aNow)
{
  for (auto it = m_granted.begin(); it != m_granted.end();) {
    const bool old = aNow > it->second.until + kMostTokenWait;
    it = old ? m_granted.erase(it) : std::next(it);
  }
  for (auto it = m_abandoned.begin(); it != m_abandoned.end();) {
    it = aNow > it->second.until ? m_abandoned.erase(it) : std::next(it);
  }
  for (auto it = m_silentUntil.begin(); it != m_silentUntil.end();) {
    it = aNow >= it->second ? m_silentUntil.erase(it) : std::next(it);
  }
}

std::vector<TokenResult>
TokenDesk::TakeResults()
{
  return std::exchange(m_results, {});
}

} // namespace sapphirelane
