#include "sapphirelane/proxy/connection_pool.h"

#include <algorithm>

namespace sapphirelane {

UpstreamConnectionPtr
ConnectionPool::Acquire(const std::string& aKey,
                        Duration aMaxIdleTime,
                        TimePoint aNow)
{
  auto found = m_idle.find(aKey);
  while (found != m_idle.end() && !found->second.empty()) {
    // Last in, first out: the back is the most recently used one.
    UpstreamConnectionPtr connection = found->second.back();
    if (aNow - connection->last_used > aMaxIdleTime) {
      return nullptr;
    }
    found->second.pop_back();
    boost::system::error_code error;
    connection->socket.cancel(error);
    const bool healthy = !error && aNow < connection->expires_at &&
                         connection->socket.available(error) == 0 && !error;
    if (healthy) {
      return connection;
    }
  }
  return nullptr;
}

void
ConnectionPool::Release(const UpstreamConnectionPtr& aConnection)
{
  auto& idle = m_idle[aConnection->pool_key];
  if (idle.size() < m_maxIdlePerEndpoint) {
    idle.push_back(aConnection);
    RemoveOnInput(aConnection);
  }
}

void
ConnectionPool::RemoveOnInput(const UpstreamConnectionPtr& aConnection)
{
  aConnection->socket.async_wait(
    boost::asio::ip::tcp::socket::wait_read,
    [this, weak = std::weak_ptr<UpstreamConnection>(aConnection)](
      const boost::system::error_code& aError) {
      auto connection = weak.lock();
      if (aError || connection == nullptr) {
        return; // It was acquired or removed.
      }
      auto& idle = m_idle[connection->pool_key];
      idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
    });
}

void
ConnectionPool::RemoveExpired(TimePoint aNow)
{
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    auto& idle = it->second;
    idle.erase(std::remove_if(idle.begin(),
                              idle.end(),
                              [aNow](const UpstreamConnectionPtr& aConnection) {
                                return aNow >= aConnection->expires_at;
                              }),
               idle.end());
    it = idle.empty() ? m_idle.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
