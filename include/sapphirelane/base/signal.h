#ifndef SAPPHIRELANE_BASE_SIGNAL_H
#define SAPPHIRELANE_BASE_SIGNAL_H

#include <condition_variable>
#include <mutex>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Wakes one thread that waits for work on several rings.
class Signal
{
public:
  /// @brief Wakes the waiting thread, now or at its next wait.
  void Raise()
  {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_raised = true;
    }
    m_condition.notify_one();
  }

  /// @brief Waits until the signal is raised or the patience is over.
  void Wait(Duration aPatience)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_condition.wait_for(lock, aPatience, [this] { return m_raised; });
    m_raised = false;
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_condition;
  bool m_raised = false;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_SIGNAL_H
