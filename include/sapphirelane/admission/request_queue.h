#ifndef SAPPHIRELANE_ADMISSION_REQUEST_QUEUE_H
#define SAPPHIRELANE_ADMISSION_REQUEST_QUEUE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirelane/base/registry.h"
#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief A request that waits for a free slot of its service.
struct QueuedRequest
{
  std::uint64_t id = 0;
  std::string account;
  TimePoint deadline{};
  std::uint32_t priority = 0; ///< 0 is the highest.
  /// Latest start from which it is likely to meet its latency target.
  TimePoint start_for_target = TimePoint::max();
  /// Latest start from which it may be answered before its deadline.
  TimePoint start_for_deadline = TimePoint::max();
};

/// @brief Admission queue of one service; its type sets the order of requests.
class RequestQueue
{
public:
  static constexpr const char* kKind = "queue";

  virtual ~RequestQueue() = default;

  /// @brief Adds a request.
  /// @return False if the queue is full, for this account or as a whole.
  virtual bool Push(const QueuedRequest& aRequest) = 0;

  /// @brief Removes and returns the next request, if there is one.
  virtual std::optional<QueuedRequest> Pop(TimePoint aNow) = 0;

  /// @brief Removes and returns the requests that cannot be answered any more.
  virtual std::vector<QueuedRequest> TakeLate(TimePoint aNow) = 0;

  /// @brief Removes a request, if it is in the queue.
  virtual void Remove(std::uint64_t aId) = 0;

  virtual std::size_t Size() const = 0;

  /// @brief Number of waiting requests that would be served before a new one.
  virtual std::size_t SizeAhead(const QueuedRequest& /*aRequest*/) const
  {
    return Size();
  }
};

using QueueRegistry = Registry<RequestQueue, std::size_t>;

/// @brief Fair queue: round robin over accounts, one request at a time.
/// @param aMaxWaiting Largest number of waiting requests of one account.
std::unique_ptr<RequestQueue>
MakeFairQueue(std::size_t aMaxWaiting);

/// @brief Options of the priority queue.
struct PriorityQueueOptions
{
  std::size_t max_waiting = 64; ///< Waiting requests of one account.
  /// A priority that is served less than this share as often as all requests
  /// are goes before the higher ones.
  double min_relative_service = 0.5;
  Duration memory = Milliseconds(5000); ///< Decay time of the counts for that.
};

/// @brief Queue by priority, then by what is still to be gained.
///
/// Load pattern: more requests arrive than a service has slots for, as in a
/// burst, or when one account sends many times its usual. A higher priority is
/// served first, unless a lower one would starve. Within a priority, accounts
/// take turns. Of an account, requests that can still meet their latency target
/// go first, in order of arrival, so that a queue that has grown too long does
/// not make every request late.
std::unique_ptr<RequestQueue>
MakePriorityQueue(PriorityQueueOptions aOptions);

/// @brief First in, first out; a baseline.
/// @param aMaxWaiting Largest number of waiting requests of all accounts.
std::unique_ptr<RequestQueue>
MakeFirstComeQueue(std::size_t aMaxWaiting);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_REQUEST_QUEUE_H
