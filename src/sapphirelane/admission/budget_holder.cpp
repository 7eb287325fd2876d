#include "sapphirelane/admission/budget_holder.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Longer than any question can still be repeated or its token returned.
constexpr Milliseconds kAnswerMemory = kMostTokenWait + 4 * kGrantLife;

} // namespace

double
BucketCapacity(const Account& aAccount)
{
  return aAccount.burst - aAccount.rate * ToSeconds(kGrantLife);
}

TokenBucket&
BudgetHolder::Find(const Account& aAccount, TimePoint aEmptyAt, TimePoint aNow)
{
  auto [found, isNew] = m_buckets.try_emplace(aAccount.id, 0.0, aEmptyAt);
  found->second.SetLimits(aAccount.rate, BucketCapacity(aAccount), aNow);
  return found->second;
}

Grant
BudgetHolder::Ask(const Account& aAccount,
                  std::uint64_t aQuestion,
                  TimePoint aEmptyAt,
                  TimePoint aLatest,
                  TimePoint aNow)
{
  auto asked = m_answers.find(aQuestion);
  if (asked != m_answers.end()) {
    return asked->second.grant;
  }
  TokenBucket& bucket = Find(aAccount, aEmptyAt, aNow);
  Answer answer;
  answer.time = aNow;
  answer.begun = bucket.Begun();
  const TimePoint latest = std::min(aLatest, aNow + kMostTokenWait);
  const auto from = bucket.Take(latest, aNow);
  if (from) {
    answer.from = *from;
    answer.grant.granted = true;
    answer.grant.wait = std::chrono::ceil<Milliseconds>(*from - aNow);
  } else {
    const Duration wait = bucket.Earliest(aNow) - latest;
    answer.grant.retry_after =
      std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(wait));
  }
  m_answers[aQuestion] = answer;
  return answer.grant;
}

void
BudgetHolder::Return(const Account& aAccount,
                     std::uint64_t aQuestion,
                     TimePoint aNow)
{
  auto asked = m_answers.find(aQuestion);
  auto bucket = m_buckets.find(aAccount.id);
  if (asked == m_answers.end() || bucket == m_buckets.end() ||
      !asked->second.grant.granted ||
      asked->second.begun != bucket->second.Begun()) {
    return;
  }
  asked->second.grant = {};
  bucket->second.SetLimits(aAccount.rate, BucketCapacity(aAccount), aNow);
  bucket->second.Return(asked->second.from, aNow);
}

void
BudgetHolder::Start(const Account& aAccount, double aLevel, TimePoint aFrom)
{
  m_buckets.insert_or_assign(aAccount.id, TokenBucket(aLevel, aFrom));
}

std::optional<BucketLevel>
BudgetHolder::Level(const Account& aAccount, TimePoint aNow)
{
  auto bucket = m_buckets.find(aAccount.id);
  if (bucket == m_buckets.end()) {
    return std::nullopt;
  }
  bucket->second.SetLimits(aAccount.rate, BucketCapacity(aAccount), aNow);
  const auto last = bucket->second.LastPromise(aNow);
  if (last) {
    // After its last promise the bucket holds less than one token.
    return BucketLevel{ 0, *last };
  }
  return BucketLevel{ bucket->second.Level(aNow), aNow };
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
