#include "sapphirelane/base/signal_waiter.h"

namespace sapphirelane {

SignalWaiter::SignalWaiter()
{
  sigemptyset(&m_signals);
  sigaddset(&m_signals, SIGTERM);
  sigaddset(&m_signals, SIGINT);
  sigaddset(&m_signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int
SignalWaiter::Wait()
{
  int signal = 0;
  sigwait(&m_signals, &signal);
  return signal;
}

} // namespace sapphirelane
