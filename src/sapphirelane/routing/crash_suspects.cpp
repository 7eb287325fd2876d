#include "sapphirelane/routing/crash_suspects.h"

#include <algorithm>
#include <cmath>

#include "sapphirelane/base/hash.h"

namespace sapphirelane {

std::uint64_t
HashOfProcess(const std::string& aEndpoint, std::uint64_t aLifetime)
{
  return StableHash(aEndpoint, aLifetime);
}

bool
CrashSuspects::RecordCrash(const Crash& aCrash, TimePoint aNow)
{
  if (aNow - aCrash.ended > m_options.memory) {
    return false;
  }
  const bool isNew = !m_suspects.contains(aCrash.request);
  if (isNew && m_suspects.size() >= m_options.max_suspects) {
    RemoveOld(aNow);
  }
  Suspect& suspect = m_suspects[aCrash.request];
  auto& crashes = suspect.crashes;
  const bool known =
    std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aItem) {
      return aItem.process == aCrash.process;
    });
  if (known) {
    return false;
  }
  const auto later =
    std::upper_bound(crashes.begin(),
                     crashes.end(),
                     aCrash,
                     [](const Crash& aLeft, const Crash& aRight) {
                       return std::make_pair(aLeft.ended, aLeft.process) <
                              std::make_pair(aRight.ended, aRight.process);
                     });
  crashes.insert(later, aCrash);
  if (crashes.size() > m_options.max_crashes) {
    crashes.erase(crashes.begin());
  }
  return true;
}

bool
CrashSuspects::RecordServed(std::uint64_t aRequest, TimePoint aNow)
{
  auto found = m_suspects.find(aRequest);
  if (found == m_suspects.end()) {
    return false;
  }
  Suspect& suspect = found->second;
  const bool suspected = CountCrashes(suspect) > 0;
  suspect.served_at = std::max(suspect.served_at, aNow);
  return suspected;
}

std::size_t
CrashSuspects::CountCrashes(std::uint64_t aRequest) const
{
  auto found = m_suspects.find(aRequest);
  return found == m_suspects.end() ? 0 : CountCrashes(found->second);
}

Duration
CrashSuspects::HeldBackFor(std::uint64_t aRequest, TimePoint aNow) const
{
  auto found = m_suspects.find(aRequest);
  if (found == m_suspects.end()) {
    return Duration::zero();
  }
  const std::size_t crashes = CountCrashes(found->second);
  if (crashes < m_options.min_crashes) {
    return Duration::zero();
  }
  const auto further = static_cast<double>(crashes - m_options.min_crashes);
  const double hold = std::min(ToSeconds(m_options.max_hold),
                               ToSeconds(m_options.first_hold) *
                                 std::pow(m_options.hold_growth, further));
  const TimePoint end = found->second.crashes.back().ended +
                        std::chrono::duration_cast<Duration>(Seconds(hold));
  return std::max(Duration::zero(), end - aNow);
}

/// The longest series of crashes of which each began after the one before.
std::size_t
CrashSuspects::CountCrashes(const Suspect& aSuspect) const
{
  std::size_t count = 0;
  TimePoint last = TimePoint::min();
  for (const Crash& crash : aSuspect.crashes) {
    const bool counts =
      crash.ended > aSuspect.served_at &&
      (count == 0 || crash.started >= last - m_options.tolerance);
    if (counts) {
      ++count;
      last = crash.ended;
    }
  }
  return count;
}

/// Forgets what is too old, and the oldest if that is not enough.
void
CrashSuspects::RemoveOld(TimePoint aNow)
{
  for (auto it = m_suspects.begin(); it != m_suspects.end();) {
    if (aNow - it->second.crashes.back().ended > m_options.memory) {
      m_suspects.erase(it++);
    } else {
      ++it;
    }
  }
  if (m_suspects.size() < m_options.max_suspects) {
    return;
  }
  const auto oldest =
    std::min_element(m_suspects.begin(),
                     m_suspects.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.crashes.back().ended <
                              aRight.second.crashes.back().ended;
                     });
  m_suspects.erase(oldest);
}

} // namespace sapphirelane
