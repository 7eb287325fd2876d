#ifndef SAPPHIRELANE_BASE_BOUNDED_RING_H
#define SAPPHIRELANE_BASE_BOUNDED_RING_H

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief Bounded queue that joins two duties.
///
/// Any number of producers, one consumer. A full ring refuses the item, and
/// the producer answers for that.
template<typename Item>
class BoundedRing
{
public:
  /// @param aCapacity The most items held, at least 1.
  /// @param aWake Called after each push, for consumers that wait elsewhere.
  explicit BoundedRing(std::size_t aCapacity,
                       std::function<void()> aWake = nullptr)
    : m_capacity(aCapacity)
    , m_wake(std::move(aWake))
  {
  }

  /// @brief Adds an item unless the ring is full.
  /// @return False if the ring is full.
  bool TryPush(Item aItem)
  {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_items.size() >= m_capacity) {
        return false;
      }
      m_items.push_back(std::move(aItem));
    }
    m_ready.notify_one();
    if (m_wake) {
      m_wake();
    }
    return true;
  }

  /// @brief Adds an item, waiting while the ring is full.
  ///
  /// For items that must not be lost and whose number is bounded elsewhere.
  void PushWaiting(Item aItem)
  {
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      m_space.wait(lock, [this] { return m_items.size() < m_capacity; });
      m_items.push_back(std::move(aItem));
    }
    m_ready.notify_one();
    if (m_wake) {
      m_wake();
    }
  }

  /// @brief Takes the oldest item, waiting for at most aPatience.
  std::optional<Item> TakeOne(Duration aPatience)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_ready.wait_for(lock, aPatience, [this] { return !m_items.empty(); });
    if (m_items.empty()) {
      return std::nullopt;
    }
    Item item = std::move(m_items.front());
    m_items.erase(m_items.begin());
    m_space.notify_one();
    return item;
  }

  /// @brief Takes everything that is held, waiting for at most aPatience.
  std::vector<Item> TakeAll(Duration aPatience)
  {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (aPatience > Duration::zero()) {
      m_ready.wait_for(lock, aPatience, [this] { return !m_items.empty(); });
    }
    std::vector<Item> taken;
    taken.swap(m_items);
    m_space.notify_all();
    return taken;
  }

private:
  std::size_t m_capacity;
  std::function<void()> m_wake;
  std::mutex m_mutex;
  std::condition_variable m_ready;
  std::condition_variable m_space;
  std::vector<Item> m_items;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_BOUNDED_RING_H
