#include "sapphirelane/kernel/duty.h"

#include <pthread.h>

#include <utility>

#include "sapphirelane/base/log.h"

namespace sapphirelane {

namespace {

constexpr std::size_t kMostThreadName = 15;

} // namespace

Kernel::~Kernel()
{
  Stop();
}

void
Kernel::Add(std::unique_ptr<Duty> aDuty)
{
  m_duties.push_back(std::move(aDuty));
}

void
Kernel::Start()
{
  for (const auto& duty : m_duties) {
    LogLine("kernel", "Starting duty " + duty->Name() + ".");
    m_threads.emplace_back([&duty] { duty->Run(); });
    const std::string name = duty->Name().substr(0, kMostThreadName);
    pthread_setname_np(m_threads.back().native_handle(), name.c_str());
  }
}

void
Kernel::Stop()
{
  while (!m_threads.empty()) {
    m_duties[m_threads.size() - 1]->Stop();
    m_threads.back().join();
    m_threads.pop_back();
  }
}

} // namespace sapphirelane
