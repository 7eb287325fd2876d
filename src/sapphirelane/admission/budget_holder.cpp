#include "sapphirelane/admission/budget_holder.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Longer than any question can still be repeated.
constexpr Milliseconds kAnswerMemory = 4 * kGrantLife;

double
Capacity(const Account& aAccount)
{
  return aAccount.burst - aAccount.rate * ToSeconds(kGrantLife);
}

} // namespace

BudgetHolder::Bucket&
BudgetHolder::Fill(const Account& aAccount, TimePoint aNow)
{
  auto [found, isNew] = m_buckets.try_emplace(aAccount.id);
  Bucket& bucket = found->second;
  if (isNew) {
    bucket.filled = aNow;
  }
  const Duration passed = std::max(Duration::zero(), aNow - bucket.filled);
  const double minted = ToSeconds(passed) * aAccount.rate;
  bucket.level = std::min(Capacity(aAccount), bucket.level + minted);
  bucket.filled = std::max(bucket.filled, aNow);
  return bucket;
}

Grant
BudgetHolder::Ask(const Account& aAccount,
                  std::uint64_t aQuestion,
                  std::uint32_t aWanted,
                  TimePoint aNow)
{
  auto asked = m_answers.find(aQuestion);
  if (asked != m_answers.end()) {
    return asked->second.grant;
  }
  Bucket& bucket = Fill(aAccount, aNow);
  Grant grant;
  const double whole = std::floor(std::max(0.0, bucket.level));
  grant.tokens =
    static_cast<std::uint32_t>(std::min(static_cast<double>(aWanted), whole));
  bucket.level -= grant.tokens;
  if (grant.tokens == 0) {
    const Seconds wait((1 - bucket.level) / aAccount.rate);
    grant.retry_after = std::chrono::ceil<Milliseconds>(wait);
  }
  m_answers[aQuestion] = { grant, aNow };
  return grant;
}

void
BudgetHolder::Return(const Account& aAccount,
                     std::uint64_t aQuestion,
                     std::uint32_t aTokens,
                     TimePoint aNow)
{
  auto asked = m_answers.find(aQuestion);
  if (asked == m_answers.end()) {
    return;
  }
  const std::uint32_t back = std::min(aTokens, asked->second.grant.tokens);
  asked->second.grant.tokens -= back;
  Bucket& bucket = Fill(aAccount, aNow);
  bucket.level = std::min(Capacity(aAccount), bucket.level + back);
}

void
BudgetHolder::Start(const Account& aAccount, double aLevel, TimePoint aNow)
{
  m_buckets[aAccount.id] = { std::min(aLevel, Capacity(aAccount)), aNow };
}

double
BudgetHolder::Level(const Account& aAccount, TimePoint aNow)
{
  return Fill(aAccount, aNow).level;
}

void
BudgetHolder::Drop(const std::string& aAccount)
{
  m_buckets.erase(aAccount);
}

void
BudgetHolder::Expire(TimePoint aNow)
{
  for (auto it = m_answers.begin(); it != m_answers.end();) {
    const bool old = aNow - it->second.time > kAnswerMemory;
    it = old ? m_answers.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
