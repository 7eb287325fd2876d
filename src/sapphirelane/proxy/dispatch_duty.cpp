#include "sapphirelane/proxy/dispatch_duty.h"

#include <utility>

namespace sapphirelane {

namespace {

constexpr Milliseconds kTickInterval{ 10 };
constexpr std::size_t kTaskRingCapacity = 4096;

/// Maximum queued events of one request: heads and ends of its attempts.
constexpr std::size_t kMaxEventsPerRequest = 8;

} // namespace

DispatchDuty::DispatchDuty(std::size_t aRequests)
  : m_requests(aRequests, [this] { m_signal.Raise(); })
  , m_attempts(aRequests * kMaxEventsPerRequest, [this] { m_signal.Raise(); })
  , m_tasks(kTaskRingCapacity, [this] { m_signal.Raise(); })
{
}

void
DispatchDuty::Attach(Dispatcher& aDispatcher, DispatchTask aTick)
{
  m_dispatcher = &aDispatcher;
  m_tick = std::move(aTick);
}

void
DispatchDuty::Run()
{
  TimePoint nextTick = Clock::now();
  while (!m_stop) {
    m_signal.Wait(std::max(Duration::zero(), nextTick - Clock::now()));
    for (const DispatchTask& task : m_tasks.TakeAll(Duration::zero())) {
      task(Clock::now());
    }
    for (const AttemptEvent& event : m_attempts.TakeAll(Duration::zero())) {
      m_dispatcher->OnAttempt(event, Clock::now());
    }
    for (ExchangePtr& exchange : m_requests.TakeAll(Duration::zero())) {
      m_dispatcher->OnRequest(std::move(exchange), Clock::now());
    }
    const TimePoint now = Clock::now();
    m_dispatcher->OnEvents(now);
    if (now >= nextTick) {
      m_tick(now);
      m_dispatcher->OnTick(now);
      nextTick = now + kTickInterval;
    }
  }
}

void
DispatchDuty::Stop()
{
  m_stop = true;
  m_signal.Raise();
}

bool
DispatchDuty::Push(ExchangePtr aExchange)
{
  return m_requests.TryPush(std::move(aExchange));
}

void
DispatchDuty::Push(AttemptEvent aEvent)
{
  m_attempts.PushWaiting(std::move(aEvent));
}

void
DispatchDuty::PostWaiting(DispatchTask aTask)
{
  m_tasks.PushWaiting(std::move(aTask));
}

bool
DispatchDuty::Post(DispatchTask aTask)
{
  return m_tasks.TryPush(std::move(aTask));
}

} // namespace sapphirelane
