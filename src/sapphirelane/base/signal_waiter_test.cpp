#include "sapphirelane/base/signal_waiter.h"

#include <catch2/catch.hpp>
#include <pthread.h>

namespace sapphirelane {
namespace {

class SignalWaiterFixture
{
protected:
  SignalWaiterFixture() { pthread_sigmask(SIG_SETMASK, nullptr, &m_before); }
  ~SignalWaiterFixture() { pthread_sigmask(SIG_SETMASK, &m_before, nullptr); }

  sigset_t m_before{};
};

TEST_CASE_METHOD(SignalWaiterFixture,
                 "SignalWaiter, signals before anybody waits, are kept")
{
  SignalWaiter waiter;
  pthread_kill(pthread_self(), SIGHUP);
  pthread_kill(pthread_self(), SIGINT);
  const int first = waiter.Wait();
  const int second = waiter.Wait();
  CHECK(first + second == SIGHUP + SIGINT);
}

} // namespace
} // namespace sapphirelane
