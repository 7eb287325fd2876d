#include "sapphirelane/base/log_queue.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

LogQueue::LogQueue(LogQueueOptions aOptions)
  : m_options(aOptions)
{
}

bool
LogQueue::Push(const std::string& aPart, std::string aLine, TimePoint aNow)
{
  auto [found, isNew] = m_parts.try_emplace(aPart);
  Part& part = found->second;
  const double gained =
    isNew ? m_options.burst : ToSeconds(aNow - part.time) * m_options.rate;
  part.tokens = std::min(m_options.burst, part.tokens + gained);
  part.time = aNow;
  if (part.tokens < 1 || m_bytes + aLine.size() > m_options.bytes) {
    ++part.left_out;
    return false;
  }
  part.tokens -= 1;
  m_bytes += aLine.size();
  m_lines.push_back(std::move(aLine));
  return true;
}

std::vector<std::string>
LogQueue::Take()
{
  m_bytes = 0;
  return std::exchange(m_lines, {});
}

std::map<std::string, std::uint64_t>
LogQueue::TakeLeftOut()
{
  std::map<std::string, std::uint64_t> counts;
  for (auto& [name, part] : m_parts) {
    if (part.left_out > 0) {
      counts[name] = std::exchange(part.left_out, 0);
    }
  }
  return counts;
}

} // namespace sapphirelane
