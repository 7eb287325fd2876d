#ifndef SAPPHIRELANE_BASE_SIGNAL_WAITER_H
#define SAPPHIRELANE_BASE_SIGNAL_WAITER_H

#include <csignal>

namespace sapphirelane {

/// @brief Holds SIGTERM, SIGINT and SIGHUP back until the program asks for
/// them, and ignores SIGPIPE.
///
/// Made first in main, before any thread and before the settings are read: a
/// signal that comes while the program starts would end it.
class SignalWaiter
{
public:
  SignalWaiter();

  /// @brief Waits for the next of the signals.
  /// @return Its number.
  int Wait();

private:
  sigset_t m_signals{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_SIGNAL_WAITER_H
