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

  /// @brief Removes and returns the requests whose deadline has passed.
  virtual std::vector<QueuedRequest> TakeLate(TimePoint aNow) = 0;

  /// @brief Removes a request, if it is in the queue.
  virtual void Remove(std::uint64_t aId) = 0;

  virtual std::size_t Size() const = 0;
};

using QueueRegistry = Registry<RequestQueue, std::size_t>;

/// @brief Fair queue: round robin over accounts, one request at a time.
/// @param aMaxWaiting Largest number of waiting requests of one account.
std::unique_ptr<RequestQueue>
MakeFairQueue(std::size_t aMaxWaiting);

/// @brief First in, first out; a baseline.
/// @param aMaxWaiting Largest number of waiting requests of all accounts.
std::unique_ptr<RequestQueue>
MakeFirstComeQueue(std::size_t aMaxWaiting);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_REQUEST_QUEUE_H
