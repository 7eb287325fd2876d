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

/// @brief A request that waits for a slot of its service.
struct QueuedRequest
{
  std::uint64_t id = 0;
  std::string account;
  TimePoint deadline{};
};

/// @brief Order in which the waiting requests of one service are served.
class RequestQueue
{
public:
  static constexpr const char* kKind = "queue";

  virtual ~RequestQueue() = default;

  /// @brief Adds a request.
  /// @return False if the account has too many waiting already.
  virtual bool Push(const QueuedRequest& aRequest) = 0;

  /// @brief Takes the next request, if any waits.
  virtual std::optional<QueuedRequest> Pop(TimePoint aNow) = 0;

  /// @brief Removes the requests whose deadline has passed.
  virtual std::vector<QueuedRequest> TakeLate(TimePoint aNow) = 0;

  /// @brief Removes one request, if it waits.
  virtual void Remove(std::uint64_t aId) = 0;

  virtual std::size_t Size() const = 0;
};

using QueueRegistry = Registry<RequestQueue, std::size_t>;

/// @brief Deficit round robin over accounts, one request a turn.
/// @param aMostWaiting Requests of one account that may wait.
std::unique_ptr<RequestQueue>
MakeFairQueue(std::size_t aMostWaiting);

/// @brief First come, first served; a baseline.
/// @param aMostWaiting Requests of all accounts that may wait.
std::unique_ptr<RequestQueue>
MakeFirstComeQueue(std::size_t aMostWaiting);

} // namespace sapphirelane

#endif // SAPPHIRELANE_ADMISSION_REQUEST_QUEUE_H
