#include "sapphirelane/admission/budget_holder.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Longer than any question can still be repeated or its token returned.
constexpr Milliseconds kAnswerMemory = kMostTokenWait + 4 * kGrantLife;

double
Capacity(const Account& aAccount)
{
  return aAccount.burst - aAccount.rate * ToSeconds(kGrantLife);
}

} // namespace

BudgetHolder::Bucket&
BudgetHolder::Fill(const Account& aAccount, TimePoint aEmptyAt, TimePoint aNow)
{
  auto [found, isNew] = m_buckets.try_emplace(aAccount.id);
  Bucket& bucket = found->second;
  if (isNew) {
    bucket.filled = aEmptyAt;
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
                  TimePoint aEmptyAt,
                  TimePoint aNow)
{
  auto asked = m_answers.find(aQuestion);
  if (asked != m_answers.end()) {
    return asked->second.grant;
  }
  Bucket& bucket = Fill(aAccount, aEmptyAt, aNow);
  const double after = bucket.level - 1;
  const Seconds wait(std::max(0.0, -after) / aAccount.rate);
  Grant grant;
  if (wait <= kMostTokenWait) {
    grant.granted = true;
    grant.wait = std::chrono::ceil<Milliseconds>(wait);
    bucket.level = after;
  } else {
    grant.retry_after = std::chrono::ceil<Milliseconds>(wait - kMostTokenWait);
  }
  m_answers[aQuestion] = { grant, aNow };
  return grant;
}

void
BudgetHolder::Return(const Account& aAccount,
                     std::uint64_t aQuestion,
                     TimePoint aNow)
{
  auto asked = m_answers.find(aQuestion);
  auto bucket = m_buckets.find(aAccount.id);
  if (asked == m_answers.end() || bucket == m_buckets.end() ||
      !asked->second.grant.granted) {
    return;
  }
  asked->second.grant = {};
  Bucket& filled = Fill(aAccount, aNow, aNow);
  filled.level = std::min(Capacity(aAccount), filled.level + 1);
}

void
BudgetHolder::Start(const Account& aAccount, double aLevel, TimePoint aNow)
{
  m_buckets[aAccount.id] = { std::min(aLevel, Capacity(aAccount)), aNow };
}

std::optional<double>
BudgetHolder::Level(const Account& aAccount, TimePoint aNow)
{
  if (m_buckets.count(aAccount.id) == 0) {
    return std::nullopt;
  }
  return Fill(aAccount, aNow, aNow).level;
}

void
BudgetHolder::Drop(const std::string& aAccount)
{
  m_buckets.erase(aAccount);
}

void
BudgetHolder::DropIf(const std::function<bool(const std::string&)>& aSelects)
{
  for (auto it = m_buckets.begin(); it != m_buckets.end();) {
    it = aSelects(it->first) ? m_buckets.erase(it) : std::next(it);
  }
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
