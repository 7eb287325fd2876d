#include "sapphirelane/routing/endpoint_limits.h"

#include <algorithm>
#include <iterator>

namespace sapphirelane {

bool
EndpointLimits::Record(const std::string& aEndpoint,
                       const LimitStatement& aStatement,
                       TimePoint aNow)
{
  auto found = m_limits.find(aEndpoint);
  auto ended = m_ended.find(aEndpoint);
  const LimitStatement* known =
    found != m_limits.end()
      ? &found->second.statement
      : (ended != m_ended.end() ? &ended->second : nullptr);
  const bool isLate =
    known != nullptr && (aStatement.lifetime < known->lifetime ||
                         (aStatement.lifetime == known->lifetime &&
                          aStatement.said_at <= known->said_at));
  if (isLate) {
    return false;
  }
  if (!aStatement.limit) {
    const bool wasLimited = found != m_limits.end();
    if (wasLimited) {
      m_limits.erase(found);
      m_ended[aEndpoint] = aStatement;
    }
    return wasLimited;
  }
  m_ended.erase(aEndpoint);
  const bool isNew = found == m_limits.end();
  Limit& limit = m_limits[aEndpoint];
  // The tokens so far were saved up at the limit that held so far.
  limit.tokens = isNew ? 0 : TokensAt(limit, aNow);
  limit.refilled_at = aNow;
  limit.statement = aStatement;
  if (isNew) {
    limit.yield = DrawYield();
  }
  return isNew;
}

void
EndpointLimits::RecordTold(const std::string& aEndpoint, TimePoint aNow)
{
  auto found = m_limits.find(aEndpoint);
  if (found != m_limits.end()) {
    found->second.told_at = aNow;
    found->second.told_limit = found->second.statement.limit.value_or(0);
  }
}

bool
EndpointLimits::IsRenewalDue(const std::string& aEndpoint, TimePoint aNow) const
{
  auto found = m_limits.find(aEndpoint);
  if (found == m_limits.end()) {
    return false;
  }
  const Limit& limit = found->second;
  const bool changed = limit.statement.limit != limit.told_limit;
  return aNow - limit.told_at >=
         (changed ? m_options.change_interval : m_options.renewal);
}

void
EndpointLimits::RecordSent(const std::string& aEndpoint,
                           std::uint32_t aCount,
                           TimePoint aNow)
{
  auto found = m_limits.find(aEndpoint);
  if (found == m_limits.end() || aCount == 0) {
    return;
  }
  Limit& limit = found->second;
  const double maxDebt = 1 + RateOf(limit) * ToSeconds(m_options.max_debt);
  limit.tokens = std::max(-maxDebt, TokensAt(limit, aNow) - aCount);
  limit.refilled_at = aNow;
  limit.yield = DrawYield();
}

void
EndpointLimits::RemoveExpired(TimePoint aNow)
{
  for (auto it = m_limits.begin(); it != m_limits.end();) {
    const Duration age = aNow - it->second.statement.said_at;
    it = age > m_options.memory ? m_limits.erase(it) : std::next(it);
  }
  for (auto it = m_ended.begin(); it != m_ended.end();) {
    const Duration age = aNow - it->second.said_at;
    it = age > m_options.memory ? m_ended.erase(it) : std::next(it);
  }
}

std::optional<double>
EndpointLimits::LimitOf(const std::string& aEndpoint) const
{
  auto found = m_limits.find(aEndpoint);
  return found == m_limits.end() ? std::nullopt : found->second.statement.limit;
}

bool
EndpointLimits::MaySend(const std::string& aEndpoint, TimePoint aNow) const
{
  auto found = m_limits.find(aEndpoint);
  return found == m_limits.end() ||
         TokensAt(found->second, aNow) >= Needed(found->second);
}

Duration
EndpointLimits::WaitFor(const std::string& aEndpoint, TimePoint aNow) const
{
  auto found = m_limits.find(aEndpoint);
  if (found == m_limits.end()) {
    return Duration::zero();
  }
  const Limit& limit = found->second;
  const double missing = Needed(limit) - TokensAt(limit, aNow);
  const double rate = RateOf(limit);
  if (missing <= 0) {
    return Duration::zero();
  }
  // A limit of 0 may change by the time at which it is forgotten.
  const Seconds longest(ToSeconds(m_options.memory));
  const Seconds wait = rate > 0 ? Seconds(missing / rate) : longest;
  return std::chrono::duration_cast<Duration>(std::min(wait, longest));
}

double
EndpointLimits::RateOf(const Limit& aLimit) const
{
  return aLimit.statement.limit.value_or(0) * m_share;
}

double
EndpointLimits::TokensAt(const Limit& aLimit, TimePoint aNow) const
{
  const double rate = RateOf(aLimit);
  const double capacity = 1 + rate * ToSeconds(m_options.max_yield);
  return std::min(capacity,
                  aLimit.tokens + rate * ToSeconds(aNow - aLimit.refilled_at));
}

/// Tokens from which on this host may send: one, and those that come while it
/// lets others go first.
double
EndpointLimits::Needed(const Limit& aLimit) const
{
  return 1 + RateOf(aLimit) * ToSeconds(aLimit.yield);
}

Duration
EndpointLimits::DrawYield()
{
  std::uniform_int_distribution<Duration::rep> draw(
    0, m_options.max_yield.count());
  return Duration(draw(m_random));
}

} // namespace sapphirelane
