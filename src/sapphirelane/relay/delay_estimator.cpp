#include "sapphirelane/relay/delay_estimator.h"

#include <algorithm>
#include <iterator>

namespace sapphirelane {

namespace {

/// Clocks that differ by 100 ppm drift 12 ms apart in two windows.
constexpr std::chrono::seconds kWindow{ 60 };

constexpr std::chrono::seconds kForgetAfter{ 120 };
constexpr std::chrono::seconds kCleanupInterval{ 10 };

} // namespace

Duration
DelayEstimator::Record(NodeId aSender, Milliseconds aUptime, TimePoint aNow)
{
  // The local time at which the sender would have started if the message had
  // taken no time.
  const TimePoint started = aNow - aUptime;
  auto [found, isNew] = m_senders.try_emplace(aSender);
  Sender& sender = found->second;
  if (isNew) {
    sender = { aNow, aNow, started, started };
  }
  sender.last_seen = aNow;
  if (aNow - sender.window_start > kWindow) {
    sender.previous_started = sender.started;
    sender.started = started;
    sender.window_start = aNow;
  }
  sender.started = std::min(sender.started, started);
  return started - std::min(sender.started, sender.previous_started);
}

void
DelayEstimator::Tick(TimePoint aNow)
{
  if (aNow < m_nextCleanup) {
    return;
  }
  m_nextCleanup = aNow + kCleanupInterval;
  for (auto it = m_senders.begin(); it != m_senders.end();) {
    const bool silent = aNow - it->second.last_seen > kForgetAfter;
    it = silent ? m_senders.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
