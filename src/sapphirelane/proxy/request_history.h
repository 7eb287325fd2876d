#ifndef SAPPHIRELANE_PROXY_REQUEST_HISTORY_H
#define SAPPHIRELANE_PROXY_REQUEST_HISTORY_H

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace sapphirelane {

/// @brief Keeps the decision log of the latest requests in memory.
class RequestHistory
{
public:
  /// @brief Appends a line about a request.
  void Record(std::uint64_t aRequest, const std::string& aLine)
  {
    auto [found, isNew] = m_lines.try_emplace(aRequest);
    found->second += aLine + "\n";
    if (!isNew) {
      return;
    }
    m_order.push_back(aRequest);
    if (m_order.size() > kMaxRequests) {
      m_lines.erase(m_order.front());
      m_order.pop_front();
    }
  }

  /// @return The lines about a request; empty if it is not kept.
  std::string Lines(std::uint64_t aRequest) const
  {
    auto found = m_lines.find(aRequest);
    return found == m_lines.end() ? std::string() : found->second;
  }

private:
  static constexpr std::size_t kMaxRequests = 2000;

  std::unordered_map<std::uint64_t, std::string> m_lines;
  std::deque<std::uint64_t> m_order;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_REQUEST_HISTORY_H
