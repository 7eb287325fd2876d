#include "sapphirelane/relay/received_counters.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

/// Highest sequence number of an origin's first received message at which its
/// counters are taken from 0. Above it, the origin had counted before its
/// messages were received.
constexpr std::uint32_t kMaxFirstSequence = 3;

/// Most that one origin counts a second: twice the requests of the largest
/// fleet (see CONTRIBUTING.md), as each may be retried.
constexpr double kMaxCountsPerSecond = 110'000;

/// Time before the latest value in which an origin may have counted what it
/// reports later: reports may be held back, lost or delayed.
constexpr Milliseconds kMaxReportAge{ 10'000 };

} // namespace

ReceivedCounters::ReceivedCounters(NodeId aOrigin, TimePoint aNow, Start aStart)
  : m_origin(aOrigin)
  , m_createdAt(aNow)
  , m_start(aStart)
{
}

bool
ReceivedCounters::RecordMessage(const WorkNews& aMessage)
{
  if (aMessage.origin != m_origin || aMessage.sequence <= m_sequence) {
    return false;
  }
  if (m_sequence == 0) {
    m_sinceStart =
      m_start == Start::AtZero || aMessage.sequence <= kMaxFirstSequence;
  }
  m_sequence = aMessage.sequence;
  return true;
}

std::int64_t
ReceivedCounters::MostSince(TimePoint aThen, TimePoint aNow) const
{
  return static_cast<std::int64_t>(ToSeconds(aNow - aThen + kMaxReportAge) *
                                   kMaxCountsPerSecond);
}

/// Stores a counter's new value.
/// @return How far it has advanced, below 0 only for tokens.
std::int32_t
ReceivedCounters::Advance(const Key& aKey,
                          std::uint32_t aValue,
                          TimePoint aNow,
                          std::uint32_t& aRefused)
{
  auto [found, isNew] = m_counters.try_emplace(aKey);
  Counter& counter = found->second;
  if (isNew) {
    counter.updated_at = m_createdAt;
    // Each attempt is reported at once.
    const bool begun = aKey.first == Kind::Begun;
    if (begun) {
      counter.value = aValue - std::min(1U, aValue);
    } else if (!m_sinceStart) {
      counter.value = aValue;
      counter.first = aValue;
    }
  }
  const auto delta = static_cast<std::int32_t>(aValue - counter.value);
  const std::int64_t most = MostSince(counter.updated_at, aNow);
  const std::int64_t least = aKey.first == Kind::Spent ? -most : 0;
  if (delta < least || delta > most) {
    ++aRefused;
    return 0;
  }
  counter.value = aValue;
  counter.updated_at = aNow;
  return delta;
}

/// Takes a counter from a base if no value was received. A counter with values
/// goes on from them: who has followed the sums of this daemon throughout lacks
/// what is between them and a higher base.
/// @return What its first value was above the base, if that is not known yet.
std::int32_t
ReceivedCounters::TakeFrom(const Key& aKey, std::uint32_t aBase, TimePoint aNow)
{
  auto [found, isNew] = m_counters.try_emplace(aKey);
  Counter& counter = found->second;
  const auto first = std::exchange(counter.first, std::nullopt);
  if (isNew) {
    counter.value = aBase;
    counter.updated_at = aNow;
    return 0;
  }
  const auto missed =
    first ? static_cast<std::int32_t>(*first - aBase) : std::int32_t{ 0 };
  return missed <= MostSince(m_createdAt, aNow) ? std::max(0, missed) : 0;
}

CounterDeltas
ReceivedCounters::Advance(const WorkNews& aMessage, TimePoint aNow)
{
  CounterDeltas deltas;
  for (const AccountWork& work : aMessage.accounts) {
    deltas.accounts.push_back(
      { work.account,
        Advance(
          { Kind::Spent, work.account }, work.spent, aNow, deltas.refused) });
  }
  for (const ServiceWork& work : aMessage.services) {
    const auto advance = [&](Kind aKind, std::uint32_t aValue) {
      return static_cast<std::uint32_t>(
        Advance({ aKind, work.service }, aValue, aNow, deltas.refused));
    };
    deltas.services.push_back({ work.service,
                                advance(Kind::Requests, work.requests),
                                advance(Kind::Extras, work.extras),
                                advance(Kind::Ended, work.ended),
                                advance(Kind::Unserved, work.unserved) });
  }
  return deltas;
}

CounterDeltas
ReceivedCounters::TakeFrom(const CounterBase& aBase, TimePoint aNow)
{
  CounterDeltas deltas;
  if (aBase.origin != m_origin) {
    return deltas;
  }
  for (const AccountWork& work : aBase.accounts) {
    deltas.accounts.push_back(
      { work.account,
        TakeFrom({ Kind::Spent, work.account }, work.spent, aNow) });
  }
  for (const ServiceWork& work : aBase.services) {
    const auto take = [&](Kind aKind, std::uint32_t aValue) {
      return static_cast<std::uint32_t>(
        TakeFrom({ aKind, work.service }, aValue, aNow));
    };
    deltas.services.push_back({ work.service,
                                take(Kind::Requests, work.requests),
                                take(Kind::Extras, work.extras),
                                take(Kind::Ended, work.ended),
                                take(Kind::Unserved, work.unserved) });
  }
  return deltas;
}

std::uint32_t
ReceivedCounters::AdvanceBegun(const EndpointWork& aWork, TimePoint aNow)
{
  std::uint32_t refused = 0;
  return static_cast<std::uint32_t>(
    Advance({ Kind::Begun, aWork.endpoint }, aWork.begun, aNow, refused));
}

void
ReceivedCounters::ForgetCounters()
{
  m_sinceStart = false;
  m_start = Start::Unknown;
  for (auto it = m_counters.begin(); it != m_counters.end();) {
    const bool kept = it->first.first == Kind::Begun;
    it = kept ? std::next(it) : m_counters.erase(it);
  }
}

} // namespace sapphirelane
