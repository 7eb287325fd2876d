#include "sapphirelane/routing/cold_start_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {

namespace {

/// Owners of an endpoint at most. The smallest fleets have 10 daemons, all of
/// which would otherwise be needed to use a high rate.
constexpr double kMaxOwners = 8;

/// Views of the fleet whose owners may send in the same second: while a host
/// joins or a partition heals, daemons have the old view or the new one.
constexpr double kViews = 2;

/// A second, and the time by which requests of one owner may arrive closer
/// together than they were sent.
constexpr Milliseconds kMinWindow{ 1100 };

/// Requests that were sent before the daemons learned that an endpoint is cold
/// arrive within this time.
constexpr Milliseconds kWarmPause{ 1100 };

/// Differences between the statements on one cold time: an entry is up to 1.5 s
/// old when it is read, and states the time that was left when it was written.
constexpr Milliseconds kSameStatement{ 2000 };

/// Time within which a running endpoint rewrites its entry, every 1.5 s.
constexpr Milliseconds kRewriteTime{ 2000 };

/// Mixes two hashes to a score (the finalizer of SplitMix64).
std::uint64_t
Score(std::uint64_t aEndpoint, std::uint32_t aHost)
{
  constexpr std::uint64_t kStep = 0x9E3779B97F4A7C15ULL;
  constexpr std::uint64_t kFirst = 0xBF58476D1CE4E5B9ULL;
  constexpr std::uint64_t kSecond = 0x94D049BB133111EBULL;
  constexpr unsigned kShift1 = 30;
  constexpr unsigned kShift2 = 27;
  constexpr unsigned kShift3 = 31;
  std::uint64_t value = aEndpoint ^ (kStep * (std::uint64_t{ aHost } + 1));
  value = (value ^ (value >> kShift1)) * kFirst;
  value = (value ^ (value >> kShift2)) * kSecond;
  return value ^ (value >> kShift3);
}

} // namespace

ColdStartPlan
PlanColdStart(double aPerSecond, const ColdStartOptions& aOptions)
{
  const double bound =
    std::floor(aPerSecond * aOptions.overage + aOptions.slack);
  const double ofView = std::max(1.0, std::floor(bound / kViews));
  const double owners = std::min(ofView, kMaxOwners);
  const double requests = std::floor(ofView / owners);
  ColdStartPlan plan;
  plan.owners = static_cast<std::size_t>(owners);
  plan.requests = static_cast<std::size_t>(requests);
  plan.window = std::max<Duration>(
    kMinWindow,
    std::chrono::duration_cast<Duration>(Seconds(std::min(
      owners * requests / aPerSecond, ToSeconds(std::chrono::minutes(10))))));
  return plan;
}

std::optional<std::size_t>
RankOfOwner(const std::string& aEndpoint,
            std::uint32_t aSelf,
            const std::vector<std::uint32_t>& aOthers,
            std::size_t aOwners)
{
  const std::uint64_t endpoint = StableHash(aEndpoint);
  const std::uint64_t own = Score(endpoint, aSelf);
  std::size_t rank = 0;
  for (std::uint32_t other : aOthers) {
    rank += Score(endpoint, other) > own ? 1 : 0;
    if (rank >= aOwners) {
      return std::nullopt;
    }
  }
  return rank;
}

void
ColdStartLimits::SetRate(double aPerSecond, const ColdStartOptions& aOptions)
{
  m_perSecond = std::max(0.0, aPerSecond);
  if (IsActive()) {
    m_plan = PlanColdStart(m_perSecond, aOptions);
  } else {
    m_cold.clear();
    m_sent.clear();
  }
}

bool
ColdStartLimits::Extend(const std::string& aEndpoint,
                        TimePoint aUntil,
                        bool aWasWarm,
                        TimePoint aNow)
{
  if (!IsActive() || aUntil <= aNow) {
    return false;
  }
  auto found = m_cold.find(aEndpoint);
  if (found == m_cold.end() || !IsCold(found->second, aNow)) {
    Cold& cold = m_cold[aEndpoint];
    cold.since = aNow;
    cold.until = aUntil;
    cold.was_warm = aWasWarm;
    cold.sent = 0;
    return true;
  }
  const bool changed = aUntil > found->second.until + kSameStatement;
  found->second.until = std::max(found->second.until, aUntil);
  return changed;
}

void
ColdStartLimits::MarkReturned(const std::string& aEndpoint, TimePoint aNow)
{
  if (!IsActive()) {
    return;
  }
  const bool known = IsCold(aEndpoint, aNow);
  Cold& cold = m_cold[aEndpoint];
  cold.since = known ? cold.since : aNow;
  cold.returned_at = aNow;
}

void
ColdStartLimits::Confirm(TimePoint aViewTime)
{
  for (auto& entry : m_cold) {
    Cold& cold = entry.second;
    if (cold.returned_at && aViewTime >= *cold.returned_at + kRewriteTime) {
      cold.returned_at.reset();
    }
  }
}

void
ColdStartLimits::Remove(const std::string& aEndpoint)
{
  m_cold.erase(aEndpoint);
  m_sent.erase(aEndpoint);
}

void
ColdStartLimits::RecordSent(const std::string& aEndpoint, TimePoint aNow)
{
  if (!IsActive()) {
    return;
  }
  std::deque<TimePoint>& sent = m_sent[aEndpoint];
  sent.push_back(aNow);
  while (sent.size() > m_plan.requests) {
    sent.pop_front();
  }
  auto found = m_cold.find(aEndpoint);
  if (found != m_cold.end()) {
    ++found->second.sent;
  }
}

bool
ColdStartLimits::IsCold(const std::string& aEndpoint, TimePoint aNow) const
{
  auto found = m_cold.find(aEndpoint);
  return found != m_cold.end() && IsCold(found->second, aNow);
}

Duration
ColdStartLimits::ColdFor(const std::string& aEndpoint, TimePoint aNow) const
{
  auto found = m_cold.find(aEndpoint);
  if (found == m_cold.end() || !IsCold(found->second, aNow)) {
    return Duration::zero();
  }
  const Cold& cold = found->second;
  const Duration returned =
    cold.returned_at ? *cold.returned_at + kRewriteTime - aNow : Duration(0);
  return std::max({ Duration::zero(), cold.until - aNow, returned });
}

bool
ColdStartLimits::MaySend(const std::string& aEndpoint,
                         std::optional<std::size_t> aRank,
                         TimePoint aNow) const
{
  auto found = m_cold.find(aEndpoint);
  if (found == m_cold.end() || !IsCold(found->second, aNow)) {
    return true;
  }
  if (!aRank) {
    return false;
  }
  // The owners begin one after the other, so that their first requests do not
  // arrive together.
  const auto turn = static_cast<Duration::rep>(*aRank + 1);
  const Duration step =
    m_plan.window / static_cast<Duration::rep>(m_plan.owners);
  const Duration pause =
    found->second.was_warm ? Duration(kWarmPause) : Duration::zero();
  if (aNow < found->second.since + pause + step * turn) {
    return false;
  }
  auto sent = m_sent.find(aEndpoint);
  return sent == m_sent.end() || sent->second.size() < m_plan.requests ||
         aNow - sent->second.front() >= m_plan.window;
}

double
ColdStartLimits::RateOfOwner() const
{
  return static_cast<double>(m_plan.requests) / ToSeconds(m_plan.window);
}

std::size_t
ColdStartLimits::Size(TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(m_cold.begin(), m_cold.end(), [&](const auto& aEntry) {
      return IsCold(aEntry.second, aNow);
    }));
}

std::vector<ColdChange>
ColdStartLimits::TakeChanges(TimePoint aNow)
{
  std::vector<ColdChange> changes;
  for (auto it = m_cold.begin(); it != m_cold.end();) {
    Cold& cold = it->second;
    const bool isCold = IsCold(cold, aNow);
    if (isCold != cold.reported) {
      changes.push_back(
        { it->first, isCold, ColdFor(it->first, aNow), cold.sent });
      cold.reported = isCold;
    }
    it = isCold ? std::next(it) : m_cold.erase(it);
  }
  return changes;
}

} // namespace sapphirelane
