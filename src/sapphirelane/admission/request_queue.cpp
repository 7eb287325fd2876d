#include "sapphirelane/admission/request_queue.h"

#include <algorithm>
#include <deque>
#include <map>

namespace sapphirelane {

namespace {

void
MoveLate(std::deque<QueuedRequest>& aLine,
         TimePoint aNow,
         std::vector<QueuedRequest>& aLate)
{
  auto firstLate = std::stable_partition(
    aLine.begin(), aLine.end(), [aNow](const QueuedRequest& aRequest) {
      return aRequest.deadline > aNow;
    });
  aLate.insert(aLate.end(), firstLate, aLine.end());
  aLine.erase(firstLate, aLine.end());
}

void
RemoveFrom(std::deque<QueuedRequest>& aLine, std::uint64_t aId)
{
  aLine.erase(std::remove_if(aLine.begin(),
                             aLine.end(),
                             [aId](const QueuedRequest& aRequest) {
                               return aRequest.id == aId;
                             }),
              aLine.end());
}

/// One line for each account; the accounts take turns. Every request has the
/// same cost, so a turn is one request and no deficit is carried over.
class FairQueue : public RequestQueue
{
public:
  explicit FairQueue(std::size_t aMostWaiting)
    : m_mostWaiting(aMostWaiting)
  {
  }

  bool Push(const QueuedRequest& aRequest) override
  {
    auto& line = m_lines[aRequest.account];
    if (line.size() >= m_mostWaiting) {
      return false;
    }
    if (line.empty()) {
      m_turns.push_back(aRequest.account);
    }
    line.push_back(aRequest);
    return true;
  }

  std::optional<QueuedRequest> Pop(TimePoint /*aNow*/) override
  {
    while (!m_turns.empty()) {
      const std::string account = m_turns.front();
      m_turns.pop_front();
      auto found = m_lines.find(account);
      if (found == m_lines.end()) {
        continue;
      }
      const QueuedRequest request = found->second.front();
      found->second.pop_front();
      if (found->second.empty()) {
        m_lines.erase(found);
      } else {
        m_turns.push_back(account);
      }
      return request;
    }
    return std::nullopt;
  }

  std::vector<QueuedRequest> TakeLate(TimePoint aNow) override
  {
    std::vector<QueuedRequest> late;
    for (auto& entry : m_lines) {
      MoveLate(entry.second, aNow, late);
    }
    DropEmptyLines();
    return late;
  }

  void Remove(std::uint64_t aId) override
  {
    for (auto& entry : m_lines) {
      RemoveFrom(entry.second, aId);
    }
    DropEmptyLines();
  }

  std::size_t Size() const override
  {
    std::size_t size = 0;
    for (const auto& entry : m_lines) {
      size += entry.second.size();
    }
    return size;
  }

private:
  void DropEmptyLines()
  {
    for (auto it = m_lines.begin(); it != m_lines.end();) {
      if (!it->second.empty()) {
        ++it;
        continue;
      }
      m_turns.erase(std::remove(m_turns.begin(), m_turns.end(), it->first),
                    m_turns.end());
      it = m_lines.erase(it);
    }
  }

  std::size_t m_mostWaiting;
  std::map<std::string, std::deque<QueuedRequest>> m_lines;
  std::deque<std::string> m_turns;
};

class FirstComeQueue : public RequestQueue
{
public:
  explicit FirstComeQueue(std::size_t aMostWaiting)
    : m_mostWaiting(aMostWaiting)
  {
  }

  bool Push(const QueuedRequest& aRequest) override
  {
    if (m_line.size() >= m_mostWaiting) {
      return false;
    }
    m_line.push_back(aRequest);
    return true;
  }

  std::optional<QueuedRequest> Pop(TimePoint /*aNow*/) override
  {
    if (m_line.empty()) {
      return std::nullopt;
    }
    const QueuedRequest request = m_line.front();
    m_line.pop_front();
    return request;
  }

  std::vector<QueuedRequest> TakeLate(TimePoint aNow) override
  {
    std::vector<QueuedRequest> late;
    MoveLate(m_line, aNow, late);
    return late;
  }

  void Remove(std::uint64_t aId) override { RemoveFrom(m_line, aId); }

  std::size_t Size() const override { return m_line.size(); }

private:
  std::size_t m_mostWaiting;
  std::deque<QueuedRequest> m_line;
};

const QueueRegistry::Registration kFair("fair", [](std::size_t aMostWaiting) {
  return MakeFairQueue(aMostWaiting);
});
const QueueRegistry::Registration kFirstCome("first-come",
                                             [](std::size_t aMostWaiting) {
                                               return MakeFirstComeQueue(
                                                 aMostWaiting);
                                             });

} // namespace

std::unique_ptr<RequestQueue>
MakeFairQueue(std::size_t aMostWaiting)
{
  return std::make_unique<FairQueue>(aMostWaiting);
}

std::unique_ptr<RequestQueue>
MakeFirstComeQueue(std::size_t aMostWaiting)
{
  return std::make_unique<FirstComeQueue>(aMostWaiting);
}

} // namespace sapphirelane
