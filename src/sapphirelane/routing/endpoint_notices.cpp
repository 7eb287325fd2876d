#include "sapphirelane/routing/endpoint_notices.h"

#include <algorithm>
#include <iterator>

namespace sapphirelane {

bool
EndpointNotices::RecordLeaving(const std::string& aEndpoint,
                               std::uint64_t aLifetime,
                               TimePoint aNow)
{
  Notice& notice = m_notices[aEndpoint];
  notice.used_at = aNow;
  if (notice.leaving_lifetime && *notice.leaving_lifetime > aLifetime) {
    return false; // A late report of an earlier process.
  }
  const bool known = notice.leaving_lifetime == aLifetime;
  notice.leaving_lifetime = aLifetime;
  notice.leaving_at = aNow;
  return !known;
}

void
EndpointNotices::RecordRetryAfter(const std::string& aEndpoint,
                                  Duration aTime,
                                  TimePoint aNow)
{
  Notice& notice = m_notices[aEndpoint];
  notice.rests_until = std::max(notice.rests_until, aNow + aTime);
  notice.rest_asked_at = aNow;
  notice.used_at = aNow;
}

void
EndpointNotices::OnListed(const std::string& aEndpoint,
                          bool aRestarted,
                          TimePoint aNow)
{
  auto found = m_notices.find(aEndpoint);
  if (found == m_notices.end()) {
    return;
  }
  Notice& notice = found->second;
  notice.used_at = aNow;
  // An answer shortly before may be from the new process already.
  if (aRestarted && aNow - notice.leaving_at >= m_options.view_delay) {
    notice.leaving_lifetime.reset();
  }
  if (aRestarted && aNow - notice.rest_asked_at >= m_options.view_delay) {
    notice.rests_until = TimePoint{};
  }
}

void
EndpointNotices::RemoveExpired(TimePoint aNow)
{
  for (auto it = m_notices.begin(); it != m_notices.end();) {
    const Notice& notice = it->second;
    const bool expired =
      aNow >= notice.rests_until && aNow - notice.used_at >= m_options.memory;
    it = expired ? m_notices.erase(it) : std::next(it);
  }
}

bool
EndpointNotices::IsLeaving(const std::string& aEndpoint,
                           std::uint64_t aLifetime,
                           TimePoint aNow) const
{
  auto found = m_notices.find(aEndpoint);
  if (found == m_notices.end() || !found->second.leaving_lifetime) {
    return false;
  }
  const Notice& notice = found->second;
  const Duration age = aNow - notice.leaving_at;
  if (*notice.leaving_lifetime != aLifetime) {
    return age < m_options.view_delay;
  }
  return aLifetime != 0 || age < m_options.unknown_lifetime_hold;
}

std::optional<TimePoint>
EndpointNotices::RestsUntil(const std::string& aEndpoint, TimePoint aNow) const
{
  auto found = m_notices.find(aEndpoint);
  if (found == m_notices.end() || aNow >= found->second.rests_until) {
    return std::nullopt;
  }
  return found->second.rests_until;
}

} // namespace sapphirelane
