#ifndef SAPPHIRELANE_RELAY_RECEIVED_COUNTERS_H
#define SAPPHIRELANE_RELAY_RECEIVED_COUNTERS_H

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Tokens of an account that an origin has spent since its last message;
/// below 0 if it has returned more than it spent.
struct SpentDelta
{
  std::uint32_t account = 0; ///< Hash of its id.
  std::int32_t spent = 0;
};

/// @brief What an origin has counted for a service since its last message.
struct ServiceDelta
{
  std::uint32_t service = 0; ///< Hash of its id.
  std::uint32_t requests = 0;
  std::uint32_t extras = 0;
  std::uint32_t ended = 0;
  std::uint32_t unserved = 0;
};

/// @brief What an origin has counted since its last message.
struct CounterDeltas
{
  std::vector<SpentDelta> accounts;
  std::vector<ServiceDelta> services;
  /// Values that are lower than the latest ones of their origin, or higher than
  /// it can have counted since. They are not used.
  std::uint32_t refused = 0;
};

/// @brief Latest counters of one origin of load reports: one run of a daemon,
/// or one turn of a daemon at adding up the reports of its data centre.
///
/// The only place where two values of a counter are compared. It applies
/// messages of its origin only, so that values of two origins or two lifetimes
/// are never compared.
///
/// Load pattern: messages are lost, repeated and reordered, and a daemon states
/// from which values its counters are to be taken (CounterBase) while newer
/// values have been received. A value that is lower than the latest one, or
/// higher than what can have been counted since, changes nothing. Counters may
/// pass 2^32, which sums of a busy data centre reach within days.
class ReceivedCounters
{
public:
  /// Whether all that the origin has counted is new here.
  enum class Start
  {
    Unknown, ///< Only if one of its first messages is received.
    AtZero,  ///< Whatever message comes first.
  };

  ReceivedCounters(NodeId aOrigin,
                   TimePoint aNow,
                   Start aStart = Start::Unknown);

  /// @brief Records the sequence number of a message.
  /// @return False if the message is of another origin, a duplicate, or older
  /// than the latest one; it must not be applied then.
  bool RecordMessage(const WorkNews& aMessage);

  /// @brief Applies the counters of accounts and services of a message that was
  /// recorded.
  CounterDeltas Advance(const WorkNews& aMessage, TimePoint aNow);

  /// @brief Sets values from which counters are to be taken, as what is below
  /// them has been received by another way.
  /// @return What had been taken for counted before the first message, and was
  /// not.
  CounterDeltas TakeFrom(const CounterBase& aBase, TimePoint aNow);

  /// @brief Stores the attempts begun at an endpoint, of a message that was
  /// recorded.
  /// @return How many have begun since; 1 for the first report on an endpoint,
  /// as each attempt is reported at once.
  std::uint32_t AdvanceBegun(const EndpointWork& aWork, TimePoint aNow);

  /// @brief Forgets the counters of accounts and services, as they have been
  /// received by another way since the latest message.
  void ForgetCounters();

private:
  enum class Kind
  {
    Spent,
    Requests,
    Extras,
    Ended,
    Unserved,
    Begun,
  };

  struct Counter
  {
    std::uint32_t value = 0;
    TimePoint updated_at{};
    /// First value of a counter of which it is not known how much of it is new.
    std::optional<std::uint32_t> first;
  };

  using Key = std::pair<Kind, std::uint32_t>;
  using Field = std::uint32_t ServiceDelta::*;

  std::int64_t MostSince(TimePoint aThen, TimePoint aNow) const;
  std::int32_t Advance(const Key& aKey,
                       std::uint32_t aValue,
                       TimePoint aNow,
                       std::uint32_t& aRefused);
  std::int32_t TakeFrom(const Key& aKey, std::uint32_t aBase, TimePoint aNow);

  NodeId m_origin;
  TimePoint m_createdAt;
  Start m_start;
  std::uint32_t m_sequence = 0; ///< Newest message; 0 before the first.
  /// Its messages were received from its start on, so that everything that it
  /// has counted is new here.
  bool m_sinceStart = false;
  std::map<Key, Counter> m_counters;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_RELAY_RECEIVED_COUNTERS_H
