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

/// @brief Work that another thread hands to the deciding thread.
using DispatchTask = std::function<void(TimePoint)>;

/// @brief The thread that decides: it owns the dispatcher and the control.
class DispatchDuty : public Duty
{
public:
  /// @param aRequests Requests that may wait in the ring.
  explicit DispatchDuty(std::size_t aRequests);

  /// @brief Sets what it drives; before Run.
  /// @param aTick Called at each tick before the dispatcher's.
  void Attach(Dispatcher& aDispatcher, DispatchTask aTick);

  std::string Name() const override { return "dispatch"; }
  void Run() override;
  void Stop() override;

  /// @brief Hands a request over; false if the ring is full.
  bool Push(ExchangePtr aExchange);

  /// @brief Hands an attempt's event over.
  void Push(AttemptEvent aEvent);

  /// @brief Hands a task over; false if the ring is full.
  bool Post(DispatchTask aTask);

  /// @brief Hands a task over that must not be lost; waits for room.
  void PostWaiting(DispatchTask aTask);

  /// @brief Runs a function on the deciding thread and waits for its result.
  /// @throws Error if it cannot be run in time.
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
  constexpr std::chrono::seconds kPatience{ 5 };
  auto promise = std::make_shared<std::promise<Result>>();
  auto result = promise->get_future();
  const bool posted =
    Post([promise, function = std::move(aFunction)](TimePoint aNow) {
      promise->set_value(function(aNow));
    });
  if (!posted || result.wait_for(kPatience) != std::future_status::ready) {
    throw Error("the daemon is too busy to answer");
  }
  return result.get();
}

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_DISPATCH_DUTY_H
