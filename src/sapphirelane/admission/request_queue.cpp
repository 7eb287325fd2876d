#include "sapphirelane/admission/request_queue.h"

#include <algorithm>
#include <deque>
#include <map>

namespace sapphirelane {

namespace {

void
MoveExpired(std::deque<QueuedRequest>& aQueue,
            TimePoint aNow,
            std::vector<QueuedRequest>& aExpired)
{
  auto firstExpired = std::stable_partition(
    aQueue.begin(), aQueue.end(), [aNow](const QueuedRequest& aRequest) {
      return std::min(aRequest.deadline, aRequest.start_for_deadline) > aNow;
    });
  aExpired.insert(aExpired.end(), firstExpired, aQueue.end());
  aQueue.erase(firstExpired, aQueue.end());
}

void
RemoveFrom(std::deque<QueuedRequest>& aQueue, std::uint64_t aId)
{
  aQueue.erase(std::remove_if(aQueue.begin(),
                              aQueue.end(),
                              [aId](const QueuedRequest& aRequest) {
                                return aRequest.id == aId;
                              }),
               aQueue.end());
}

/// Deficit round robin with one queue per account. Every request has the same
/// cost, so a turn is one request and no deficit is carried over.
class FairQueue : public RequestQueue
{
public:
  explicit FairQueue(std::size_t aMaxWaiting)
    : m_maxWaiting(aMaxWaiting)
  {
  }

  bool Push(const QueuedRequest& aRequest) override
  {
    auto& queue = m_queues[aRequest.account];
    if (queue.size() >= m_maxWaiting) {
      return false;
    }
    if (queue.empty()) {
      m_accountOrder.push_back(aRequest.account);
    }
    queue.push_back(aRequest);
    return true;
  }

  std::optional<QueuedRequest> Pop(TimePoint /*aNow*/) override
  {
    while (!m_accountOrder.empty()) {
      const std::string account = m_accountOrder.front();
      m_accountOrder.pop_front();
      auto found = m_queues.find(account);
      if (found == m_queues.end()) {
        continue;
      }
      const QueuedRequest request = found->second.front();
      found->second.pop_front();
      if (found->second.empty()) {
        m_queues.erase(found);
      } else {
        m_accountOrder.push_back(account);
      }
      return request;
    }
    return std::nullopt;
  }

  std::vector<QueuedRequest> TakeLate(TimePoint aNow) override
  {
    std::vector<QueuedRequest> expired;
    for (auto& entry : m_queues) {
      MoveExpired(entry.second, aNow, expired);
    }
    RemoveEmptyQueues();
    return expired;
  }

  void Remove(std::uint64_t aId) override
  {
    for (auto& entry : m_queues) {
      RemoveFrom(entry.second, aId);
    }
    RemoveEmptyQueues();
  }

  std::size_t Size() const override
  {
    std::size_t size = 0;
    for (const auto& entry : m_queues) {
      size += entry.second.size();
    }
    return size;
  }

private:
  void RemoveEmptyQueues()
  {
    for (auto it = m_queues.begin(); it != m_queues.end();) {
      if (!it->second.empty()) {
        ++it;
        continue;
      }
      m_accountOrder.erase(
        std::remove(m_accountOrder.begin(), m_accountOrder.end(), it->first),
        m_accountOrder.end());
      it = m_queues.erase(it);
    }
  }

  std::size_t m_maxWaiting;
  std::map<std::string, std::deque<QueuedRequest>> m_queues;
  std::deque<std::string> m_accountOrder;
};

class FifoQueue : public RequestQueue
{
public:
  explicit FifoQueue(std::size_t aMaxWaiting)
    : m_maxWaiting(aMaxWaiting)
  {
  }

  bool Push(const QueuedRequest& aRequest) override
  {
    if (m_queue.size() >= m_maxWaiting) {
      return false;
    }
    m_queue.push_back(aRequest);
    return true;
  }

  std::optional<QueuedRequest> Pop(TimePoint /*aNow*/) override
  {
    if (m_queue.empty()) {
      return std::nullopt;
    }
    const QueuedRequest request = m_queue.front();
    m_queue.pop_front();
    return request;
  }

  std::vector<QueuedRequest> TakeLate(TimePoint aNow) override
  {
    std::vector<QueuedRequest> expired;
    MoveExpired(m_queue, aNow, expired);
    return expired;
  }

  void Remove(std::uint64_t aId) override { RemoveFrom(m_queue, aId); }

  std::size_t Size() const override { return m_queue.size(); }

private:
  std::size_t m_maxWaiting;
  std::deque<QueuedRequest> m_queue;
};

const QueueRegistry::Registration kFair("fair", [](std::size_t aMaxWaiting) {
  return MakeFairQueue(aMaxWaiting);
});
const QueueRegistry::Registration kPriority("priority",
                                            [](std::size_t aMaxWaiting) {
                                              PriorityQueueOptions options;
                                              options.max_waiting = aMaxWaiting;
                                              return MakePriorityQueue(options);
                                            });
const QueueRegistry::Registration kFirstCome("first-come",
                                             [](std::size_t aMaxWaiting) {
                                               return MakeFirstComeQueue(
                                                 aMaxWaiting);
                                             });

} // namespace

std::unique_ptr<RequestQueue>
MakeFairQueue(std::size_t aMaxWaiting)
{
  return std::make_unique<FairQueue>(aMaxWaiting);
}

std::unique_ptr<RequestQueue>
MakeFirstComeQueue(std::size_t aMaxWaiting)
{
  return std::make_unique<FifoQueue>(aMaxWaiting);
}

} // namespace sapphirelane
