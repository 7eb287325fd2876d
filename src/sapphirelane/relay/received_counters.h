#ifndef SAPPHIRELANE_RELAY_RECEIVED_COUNTERS_H
#define SAPPHIRELANE_RELAY_RECEIVED_COUNTERS_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Latest counters that one origin of load reports has sent.
class ReceivedCounters
{
public:
  /// @param aFromZero All that the origin has counted is new here, whatever
  /// message comes first.
  explicit ReceivedCounters(bool aFromZero = false)
    : m_fromZero(aFromZero)
  {
  }

  /// @brief Records the sequence number of a received message.
  /// @return False if it is a duplicate or older than the latest one.
  bool RecordMessage(std::uint32_t aSequence)
  {
    if (aSequence <= m_sequence) {
      return false;
    }
    m_sinceStart = m_sequence == 0
                     ? m_fromZero || aSequence <= kMaxFirstSequence
                     : m_sinceStart;
    m_sequence = aSequence;
    return true;
  }

  /// @brief Stores the new value of an account's counter.
  /// @return How far it has advanced, see Advance.
  std::uint32_t AdvanceSpent(const AccountWork& aWork)
  {
    return Advance(m_spent, aWork.account, aWork.spent);
  }

  /// @brief Stores the new values of a service's counters.
  /// @return How far each has advanced, see Advance.
  ServiceWork AdvanceService(const ServiceWork& aWork)
  {
    const std::uint32_t service = aWork.service;
    ServiceWork advance;
    advance.service = service;
    advance.requests = Advance(m_requests, service, aWork.requests);
    advance.extras = Advance(m_extras, service, aWork.extras);
    advance.ended = Advance(m_ended, service, aWork.ended);
    advance.unserved = Advance(m_unserved, service, aWork.unserved);
    return advance;
  }

  /// @brief Stores the new value of the attempts begun at an endpoint.
  /// @return How far it has advanced; 1 for the first report on an endpoint, as
  /// each attempt is reported at once.
  std::uint32_t AdvanceBegun(const EndpointWork& aWork)
  {
    const std::uint32_t first = std::min(1U, aWork.begun);
    auto found = m_begun.try_emplace(aWork.endpoint, aWork.begun - first).first;
    return aWork.begun - std::exchange(found->second, aWork.begun);
  }

private:
  using Counters = std::map<std::uint32_t, std::uint32_t>;

  /// Highest sequence number of an origin's first received message at which its
  /// counters are taken from 0. Above it, the origin had counted before its
  /// messages were received.
  static constexpr std::uint32_t kMaxFirstSequence = 3;

  /// @return How far a counter has advanced; 0 for the first value from an
  /// origin that had counted before its first message was received.
  std::uint32_t Advance(Counters& aCounters,
                        std::uint32_t aKey,
                        std::uint32_t aValue) const
  {
    auto found = aCounters.try_emplace(aKey, m_sinceStart ? 0 : aValue).first;
    return aValue - std::exchange(found->second, aValue);
  }

  bool m_fromZero;
  std::uint32_t m_sequence = 0; ///< Newest message; 0 before the first.
  /// Its messages were received from its start on, so that everything that it
  /// has counted is new here.
  bool m_sinceStart = false;
  Counters m_begun;
  Counters m_spent;
  Counters m_requests;
  Counters m_extras;
  Counters m_ended;
  Counters m_unserved;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_RECEIVED_COUNTERS_H
