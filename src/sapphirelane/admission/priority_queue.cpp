#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

#include "sapphirelane/admission/request_queue.h"

namespace sapphirelane {

namespace {

/// Requests counted with an exponential decay.
class DecayingCount
{
public:
  void Add(double aCount, Duration aMemory, TimePoint aNow)
  {
    m_value = Value(aMemory, aNow) + aCount;
    m_time = aNow;
  }

  double Value(Duration aMemory, TimePoint aNow) const
  {
    const double age = ToSeconds(aNow - m_time) / ToSeconds(aMemory);
    return m_value * std::exp(-std::max(0.0, age));
  }

private:
  double m_value = 0;
  TimePoint m_time{};
};

/// Waiting requests of one priority: accounts take turns.
class PriorityLevel
{
public:
  void Push(const QueuedRequest& aRequest)
  {
    auto& waiting = m_waiting[aRequest.account];
    if (waiting.empty()) {
      m_turns.push_back(aRequest.account);
    }
    waiting.push_back(aRequest);
    ++m_size;
  }

  /// Removes the next request of the account whose turn it is.
  QueuedRequest Pop(TimePoint aNow)
  {
    const std::string account = m_turns.front();
    m_turns.pop_front();
    auto& waiting = m_waiting.at(account);
    auto next = std::find_if(
      waiting.begin(), waiting.end(), [aNow](const QueuedRequest& aRequest) {
        return aNow <= aRequest.start_for_target;
      });
    next = next == waiting.end() ? waiting.begin() : next;
    QueuedRequest request = *next;
    waiting.erase(next);
    --m_size;
    if (waiting.empty()) {
      m_waiting.erase(account);
    } else {
      m_turns.push_back(account);
    }
    return request;
  }

  /// Removes the requests for which a predicate holds.
  template<typename Predicate>
  std::vector<QueuedRequest> RemoveIf(Predicate aMatches)
  {
    std::vector<QueuedRequest> removed;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
      auto& waiting = it->second;
      auto first = std::stable_partition(
        waiting.begin(), waiting.end(), [&](const QueuedRequest& aRequest) {
          return !aMatches(aRequest);
        });
      removed.insert(removed.end(), first, waiting.end());
      waiting.erase(first, waiting.end());
      if (waiting.empty()) {
        m_turns.erase(std::remove(m_turns.begin(), m_turns.end(), it->first),
                      m_turns.end());
        it = m_waiting.erase(it);
      } else {
        ++it;
      }
    }
    m_size -= removed.size();
    return removed;
  }

  std::size_t Size() const { return m_size; }

  DecayingCount arrived;
  DecayingCount served;

private:
  std::map<std::string, std::deque<QueuedRequest>> m_waiting; ///< By account.
  std::deque<std::string> m_turns; ///< Accounts with waiting requests.
  std::size_t m_size = 0;
};

class PriorityQueue : public RequestQueue
{
public:
  explicit PriorityQueue(PriorityQueueOptions aOptions)
    : m_options(aOptions)
  {
  }

  bool Push(const QueuedRequest& aRequest) override
  {
    auto& count = m_countByAccount[aRequest.account];
    if (count >= m_options.max_waiting) {
      return false;
    }
    ++count;
    m_levels[aRequest.priority].Push(aRequest);
    ++m_unrecorded[aRequest.priority];
    return true;
  }

  std::optional<QueuedRequest> Pop(TimePoint aNow) override
  {
    RecordArrivals(aNow);
    const auto level = ChooseLevel(aNow);
    if (level == m_levels.end()) {
      return std::nullopt;
    }
    const QueuedRequest request = level->second.Pop(aNow);
    level->second.served.Add(1, m_options.memory, aNow);
    CountOut(request);
    return request;
  }

  std::vector<QueuedRequest> TakeLate(TimePoint aNow) override
  {
    return RemoveIf([aNow](const QueuedRequest& aRequest) {
      return std::min(aRequest.deadline, aRequest.start_for_deadline) <= aNow;
    });
  }

  void Remove(std::uint64_t aId) override
  {
    RemoveIf(
      [aId](const QueuedRequest& aRequest) { return aRequest.id == aId; });
  }

  std::size_t Size() const override
  {
    std::size_t size = 0;
    for (const auto& entry : m_levels) {
      size += entry.second.Size();
    }
    return size;
  }

  std::size_t SizeAhead(const QueuedRequest& aRequest) const override
  {
    std::size_t size = 0;
    for (const auto& [priority, level] : m_levels) {
      size += priority <= aRequest.priority ? level.Size() : 0;
    }
    return size;
  }

private:
  using Levels = std::map<std::uint32_t, PriorityLevel>;

  /// Adds the requests that were pushed since the last call to the counts.
  void RecordArrivals(TimePoint aNow)
  {
    for (const auto& [priority, count] : m_unrecorded) {
      m_levels[priority].arrived.Add(count, m_options.memory, aNow);
    }
    m_unrecorded.clear();
  }

  /// The highest priority with waiting requests, or a lower one that starves.
  Levels::iterator ChooseLevel(TimePoint aNow)
  {
    double arrived = 0;
    double served = 0;
    for (const auto& entry : m_levels) {
      arrived += entry.second.arrived.Value(m_options.memory, aNow);
      served += entry.second.served.Value(m_options.memory, aNow);
    }
    auto chosen = m_levels.end();
    double leastShare =
      arrived > 0 ? served / arrived * m_options.min_relative_service : 0;
    for (auto it = m_levels.begin(); it != m_levels.end(); ++it) {
      const PriorityLevel& level = it->second;
      if (level.Size() == 0) {
        continue;
      }
      chosen = chosen == m_levels.end() ? it : chosen;
      const double share =
        level.served.Value(m_options.memory, aNow) /
        std::max(1.0, level.arrived.Value(m_options.memory, aNow));
      if (share < leastShare) {
        leastShare = share;
        chosen = it;
      }
    }
    return chosen;
  }

  template<typename Predicate>
  std::vector<QueuedRequest> RemoveIf(Predicate aMatches)
  {
    std::vector<QueuedRequest> all;
    for (auto& entry : m_levels) {
      const auto removed = entry.second.RemoveIf(aMatches);
      all.insert(all.end(), removed.begin(), removed.end());
    }
    for (const QueuedRequest& request : all) {
      CountOut(request);
    }
    return all;
  }

  void CountOut(const QueuedRequest& aRequest)
  {
    auto found = m_countByAccount.find(aRequest.account);
    if (--found->second == 0) {
      m_countByAccount.erase(found);
    }
  }

  PriorityQueueOptions m_options;
  Levels m_levels;
  std::map<std::string, std::size_t> m_countByAccount;
  std::map<std::uint32_t, std::uint32_t> m_unrecorded; ///< By priority.
};

} // namespace

std::unique_ptr<RequestQueue>
MakePriorityQueue(PriorityQueueOptions aOptions)
{
  return std::make_unique<PriorityQueue>(aOptions);
}

} // namespace sapphirelane
