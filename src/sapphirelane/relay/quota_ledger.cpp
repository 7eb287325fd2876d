#include "sapphirelane/relay/quota_ledger.h"

#include <algorithm>

namespace sapphirelane {

namespace {

constexpr double kMajorityShare = 0.5;

/// Share of the burst in a new bucket. A daemon does not know what was admitted
/// before it started; when all daemons restart at once, they must not admit a
/// whole burst again for an account that has just used one.
constexpr double kInitialBurstShare = 0.25;

/// Upper limit of the retry delay that a caller is given.
constexpr double kMaxRetryAfterSeconds = 10;

} // namespace

QuotaLedger::QuotaLedger(QuotaOptions aOptions)
  : m_options(aOptions)
{
}

void
QuotaLedger::Load(const FleetConfig& aConfig, TimePoint aNow)
{
  for (const auto& [id, account] : aConfig.accounts) {
    auto [found, isNew] = m_buckets.try_emplace(id);
    Bucket& bucket = found->second;
    if (isNew) {
      bucket.tokens = std::max(1.0, account.burst * kInitialBurstShare);
      bucket.refilled_at = aNow;
    } else {
      Refill(bucket, aNow);
    }
    bucket.rate = account.rate;
    bucket.burst = account.burst;
    bucket.tokens = std::min(bucket.tokens, account.burst);
  }
  for (auto it = m_buckets.begin(); it != m_buckets.end();) {
    const bool kept = aConfig.accounts.count(it->first) == 1;
    it = kept ? std::next(it) : m_buckets.erase(it);
  }
}

void
QuotaLedger::SetHeard(std::size_t aLive, std::size_t aCounted)
{
  const double reachable =
    static_cast<double>(aLive) / static_cast<double>(std::max(aLive, aCounted));
  m_limitShare = reachable > kMajorityShare
                   ? std::min(1.0, reachable + m_options.majority_extra)
                   : reachable;
}

void
QuotaLedger::Refill(Bucket& aBucket, TimePoint aNow) const
{
  const double refill =
    ToSeconds(aNow - aBucket.refilled_at) * aBucket.rate * m_limitShare;
  const double capacity = std::max(1.0, aBucket.burst * m_limitShare);
  aBucket.tokens = std::min(capacity, aBucket.tokens + refill);
  aBucket.refilled_at = aNow;
}

std::optional<Duration>
QuotaLedger::Take(const std::string& aAccount, TimePoint aNow)
{
  auto found = m_buckets.find(aAccount);
  if (found == m_buckets.end() || found->second.rate <= 0) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  Refill(bucket, aNow);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  const double wait = (1 - bucket.tokens) / (bucket.rate * m_limitShare);
  return std::chrono::duration_cast<Duration>(
    Seconds(std::min(wait, kMaxRetryAfterSeconds)));
}

double
QuotaLedger::BurstOf(const std::string& aAccount) const
{
  auto found = m_buckets.find(aAccount);
  return found == m_buckets.end() ? 0 : found->second.burst;
}

void
QuotaLedger::Return(const std::string& aAccount, TimePoint aNow)
{
  auto found = m_buckets.find(aAccount);
  if (found != m_buckets.end()) {
    Refill(found->second, aNow);
    found->second.tokens =
      std::min(found->second.burst, found->second.tokens + 1);
  }
}

void
QuotaLedger::NoteOthers(const std::string& aAccount,
                        std::uint32_t aCount,
                        TimePoint aNow)
{
  auto found = m_buckets.find(aAccount);
  if (found != m_buckets.end()) {
    Refill(found->second, aNow);
    found->second.tokens -= aCount;
  }
}

} // namespace sapphirelane
