#ifndef SAPPHIRELANE_ROUTING_ENDPOINT_NOTICES_H
#define SAPPHIRELANE_ROUTING_ENDPOINT_NOTICES_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Options of EndpointNotices.
struct EndpointNoticesOptions
{
  /// Time within which the view shows a restart. An endpoint of the same id
  /// that answers in this time before its new lifetime is seen may be the new
  /// process already.
  Duration view_delay = Milliseconds(2000);
  /// How long an endpoint without a known lifetime counts as leaving after it
  /// last said so, as its restart cannot be seen.
  Duration unknown_lifetime_hold = Milliseconds(30000);
  /// How long a notice is kept of an endpoint that is not in the view. Entries
  /// that expired in an outage of the store come back with the same lifetime.
  Duration memory = Milliseconds(120000);
};

/// @brief Requests that endpoints make of this host: to send nothing more, as
/// they leave, or nothing for a time, as they are overloaded.
///
/// Load pattern: endpoints are replaced or shed load faster than the view of
/// the store shows. An endpoint that leaves is known to after its first answer;
/// it stays so for this lifetime, whatever the view says. A time to stay away
/// holds for this host alone: each host spreads its requests over the others,
/// and a service in which every endpoint sheds some work would lose all its
/// capacity if each host kept to what any other was told.
class EndpointNotices
{
public:
  explicit EndpointNotices(EndpointNoticesOptions aOptions = {})
    : m_options(aOptions)
  {
  }

  /// @brief Records that an endpoint says that it leaves.
  /// @param aLifetime Of the endpoint in the current view; 0 if unknown.
  /// @return False if that was known.
  bool RecordLeaving(const std::string& aEndpoint,
                     std::uint64_t aLifetime,
                     TimePoint aNow);

  /// @brief Records that an endpoint wants no requests for a time. A shorter
  /// time than is left of an earlier one changes nothing.
  void RecordRetryAfter(const std::string& aEndpoint,
                        Duration aTime,
                        TimePoint aNow);

  /// @brief Records that the view lists an endpoint.
  /// @param aRestarted It shows another lifetime than before, so that what the
  /// earlier process asked for no longer holds.
  void OnListed(const std::string& aEndpoint, bool aRestarted, TimePoint aNow);

  /// @brief Deletes notices of endpoints that the view has not listed lately.
  void RemoveExpired(TimePoint aNow);

  /// @param aLifetime Of the endpoint in the current view.
  bool IsLeaving(const std::string& aEndpoint,
                 std::uint64_t aLifetime,
                 TimePoint aNow) const;

  /// @return Until when the endpoint wants no requests; nothing if it takes
  /// them now.
  std::optional<TimePoint> RestsUntil(const std::string& aEndpoint,
                                      TimePoint aNow) const;

  std::size_t Size() const { return m_notices.size(); }

private:
  struct Notice
  {
    std::optional<std::uint64_t> leaving_lifetime;
    TimePoint leaving_at{}; ///< When it last said so.
    TimePoint rests_until{};
    TimePoint rest_asked_at{};
    TimePoint used_at{}; ///< Last change, or last time that the view had it.
  };

  EndpointNoticesOptions m_options;
  std::map<std::string, Notice> m_notices;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_ROUTING_ENDPOINT_NOTICES_H
