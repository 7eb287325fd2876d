#ifndef SAPPHIRELANE_KERNEL_DUTY_H
#define SAPPHIRELANE_KERNEL_DUTY_H

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sapphirelane {

/// @brief Work that has a thread of its own.
class Duty
{
public:
  virtual ~Duty() = default;

  /// @brief Name for logs and the thread.
  virtual std::string Name() const = 0;

  /// @brief Works until Stop is called from another thread.
  virtual void Run() = 0;

  /// @brief Makes Run return soon; may be called before Run.
  virtual void Stop() = 0;
};

/// @brief Starts duties in order and stops them in reverse order.
class Kernel
{
public:
  ~Kernel();

  /// @brief Adds a duty; call before Start.
  void Add(std::unique_ptr<Duty> aDuty);

  /// @brief Starts a thread for each duty.
  void Start();

  /// @brief Stops and joins all threads.
  void Stop();

private:
  std::vector<std::unique_ptr<Duty>> m_duties;
  std::vector<std::thread> m_threads;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_KERNEL_DUTY_H
