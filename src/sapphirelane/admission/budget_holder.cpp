#include "sapphirelane/admission/budget_holder.h"

#include <algorithm>
#include <cmath>

namespace sapphirelane {

namespace {

/// Longer than a request can be repeated or its token refunded.
constexpr Milliseconds kReplyRetention = kMostTokenWait + 4 * kGrantLife;

} // namespace

double
BucketCapacity(const Account& aAccount)
{
  return aAccount.burst - aAccount.rate * ToSeconds(kGrantLife);
}

TokenBucket&
BudgetHolder::FindOrCreate(const Account& aAccount,
                           TimePoint aEmptyAt,
                           TimePoint aNow)
{
  auto [found, isNew] = m_buckets.try_emplace(aAccount.id, 0.0, aEmptyAt);
  found->second.SetLimits(aAccount.rate, BucketCapacity(aAccount), aNow);
  return found->second;
}

Grant
BudgetHolder::Ask(const Account& aAccount,
                  std::uint64_t aRequestId,
                  TimePoint aEmptyAt,
                  TimePoint aLatest,
                  TimePoint aNow)
{
  auto earlier = m_replies.find(aRequestId);
  if (earlier != m_replies.end()) {
    return earlier->second.grant;
  }
  TokenBucket& bucket = FindOrCreate(aAccount, aEmptyAt, aNow);
  Reply reply;
  reply.time = aNow;
  reply.bucket_created = bucket.Begun();
  const TimePoint latest = std::min(aLatest, aNow + kMostTokenWait);
  const auto from = bucket.Take(latest, aNow);
  if (from) {
    reply.from = *from;
    reply.grant.granted = true;
    reply.grant.wait = std::chrono::ceil<Milliseconds>(*from - aNow);
  } else {
    const Duration wait = bucket.Earliest(aNow) - latest;
    reply.grant.retry_after =
      std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(wait));
  }
  m_replies[aRequestId] = reply;
  return reply.grant;
}

void
BudgetHolder::Return(const Account& aAccount,
                     std::uint64_t aRequestId,
                     TimePoint aNow)
{
  auto earlier = m_replies.find(aRequestId);
  auto bucket = m_buckets.find(aAccount.id);
  if (earlier == m_replies.end() || bucket == m_buckets.end() ||
      !earlier->second.grant.granted ||
      earlier->second.bucket_created != bucket->second.Begun()) {
    return;
  }
  earlier->second.grant = {};
  bucket->second.SetLimits(aAccount.rate, BucketCapacity(aAccount), aNow);
  bucket->second.Return(earlier->second.from, aNow);
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
  const auto lastReservation = bucket->second.LastPromise(aNow);
  if (lastReservation) {
    // After its last reservation the bucket holds less than one token.
    return BucketLevel{ 0, *lastReservation };
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
  for (auto it = m_replies.begin(); it != m_replies.end();) {
    const bool isExpired = aNow - it->second.time > kReplyRetention;
    it = isExpired ? m_replies.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
