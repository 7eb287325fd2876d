#ifndef SAPPHIRELANE_PROXY_REQUEST_HISTORY_H
#define SAPPHIRELANE_PROXY_REQUEST_HISTORY_H

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace sapphirelane {

/// @brief Remembers how the latest requests were decided.
class RequestHistory
{
public:
  /// @brief Adds a line about a request.
  void Note(std::uint64_t aRequest, const std::string& aLine)
  {
    auto [found, isNew] = m_lines.try_emplace(aRequest);
    found->second += aLine + "\n";
    if (!isNew) {
      return;
    }
    m_order.push_back(aRequest);
    if (m_order.size() > kMostRequests) {
      m_lines.erase(m_order.front());
      m_order.pop_front();
    }
  }

  /// @brief Gives the lines about a request, or an empty text.
  std::string Lines(std::uint64_t aRequest) const
  {
    auto found = m_lines.find(aRequest);
    return found == m_lines.end() ? std::string() : found->second;
  }

private:
  static constexpr std::size_t kMostRequests = 2000;

  std::unordered_map<std::uint64_t, std::string> m_lines;
  std::deque<std::uint64_t> m_order;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_REQUEST_HISTORY_H
