#ifndef SAPPHIRELANE_PROXY_DISPATCH_DUTY_H
#define SAPPHIRELANE_PROXY_DISPATCH_DUTY_H

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/base/error.h"
#include "sapphirelane/base/signal.h"
#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/proxy/dispatcher.h"

namespace sapphirelane {

/// @brief Task that another thread runs on the dispatch thread.
using DispatchTask = std::function<void(TimePoint)>;

/// @brief Event loop of the dispatch thread.
///
/// Makes all calls to the dispatcher and the fleet control, so neither needs
/// locks. Other threads pass it requests, attempt events and tasks in bounded
/// rings.
class DispatchDuty : public Duty
{
public:
  /// @param aRequests Capacity of the ring of requests.
  explicit DispatchDuty(std::size_t aRequests);

  /// @brief Sets the dispatcher and the tick callback; before Run.
  /// @param aTick Called at each tick, before the dispatcher's OnTick.
  void Attach(Dispatcher& aDispatcher, DispatchTask aTick);

  std::string Name() const override { return "dispatch"; }
  void Run() override;
  void Stop() override;

  /// @brief Queues a request; false if the ring is full.
  bool Push(ExchangePtr aExchange);

  /// @brief Queues an event of an attempt; waits while the ring is full.
  void Push(AttemptEvent aEvent);

  /// @brief Queues a task; false if the ring is full.
  bool Post(DispatchTask aTask);

  /// @brief Queues a task that must not be lost; waits while the ring is full.
  void PostWaiting(DispatchTask aTask);

  /// @brief Runs a function on the dispatch thread and waits for its result.
  /// @throws Error if it does not return in time.
  template<typename Result>
  Result Call(std::function<Result(TimePoint)> aFunction);

private:
  Signal m_signal;
  BoundedRing<ExchangePtr> m_requests;
  BoundedRing<AttemptEvent> m_attempts;
  BoundedRing<DispatchTask> m_tasks;
  Dispatcher* m_dispatcher = nullptr;
  DispatchTask m_tick;
  std::atomic<bool> m_stop{ false };
};

template<typename Result>
Result
DispatchDuty::Call(std::function<Result(TimePoint)> aFunction)
{
  constexpr std::chrono::seconds kCallTimeout{ 5 };
  auto promise = std::make_shared<std::promise<Result>>();
  auto result = promise->get_future();
  const bool posted =
    Post([promise, function = std::move(aFunction)](TimePoint aNow) {
      promise->set_value(function(aNow));
    });
  if (!posted || result.wait_for(kCallTimeout) != std::future_status::ready) {
    throw Error("the daemon is too busy to answer");
  }
  return result.get();
}

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_DISPATCH_DUTY_H
