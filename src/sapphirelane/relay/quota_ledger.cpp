#include "sapphirelane/relay/quota_ledger.h"

#include <algorithm>

namespace sapphirelane {

namespace {

constexpr double kHalf = 0.5;

/// Share of the burst in a new bucket. What was let through before a daemon
/// began is not known to it; daemons that all begin anew must not give a whole
/// burst once more to an account that has just had one.
constexpr double kFirstLevel = 0.25;

/// Longest wait that is told to a caller.
constexpr double kMostWaitSeconds = 10;

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
      bucket.level = std::max(1.0, account.burst * kFirstLevel);
      bucket.time = aNow;
    } else {
      Refill(bucket, aNow);
    }
    bucket.rate = account.rate;
    bucket.burst = account.burst;
    bucket.level = std::min(bucket.level, account.burst);
  }
  for (auto it = m_buckets.begin(); it != m_buckets.end();) {
    const bool kept = aConfig.accounts.count(it->first) == 1;
    it = kept ? std::next(it) : m_buckets.erase(it);
  }
}

void
QuotaLedger::SetHeard(std::size_t aLive, std::size_t aCounted)
{
  const double heard =
    static_cast<double>(aLive) / static_cast<double>(std::max(aLive, aCounted));
  m_share =
    heard > kHalf ? std::min(1.0, heard + m_options.majority_extra) : heard;
}

void
QuotaLedger::Refill(Bucket& aBucket, TimePoint aNow) const
{
  const double gained = ToSeconds(aNow - aBucket.time) * aBucket.rate * m_share;
  const double most = std::max(1.0, aBucket.burst * m_share);
  aBucket.level = std::min(most, aBucket.level + gained);
  aBucket.time = aNow;
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
  if (bucket.level >= 1) {
    bucket.level -= 1;
    return std::nullopt;
  }
  const double wait = (1 - bucket.level) / (bucket.rate * m_share);
  return std::chrono::duration_cast<Duration>(
    Seconds(std::min(wait, kMostWaitSeconds)));
}

void
QuotaLedger::Return(const std::string& aAccount, TimePoint aNow)
{
  auto found = m_buckets.find(aAccount);
  if (found != m_buckets.end()) {
    Refill(found->second, aNow);
    found->second.level =
      std::min(found->second.burst, found->second.level + 1);
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
    found->second.level -= aCount;
  }
}

} // namespace sapphirelane
