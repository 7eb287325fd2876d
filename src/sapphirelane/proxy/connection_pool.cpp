#include "sapphirelane/proxy/connection_pool.h"

#include <algorithm>

namespace sapphirelane {

UpstreamConnectionPtr
ConnectionPool::Take(const std::string& aKey,
                     Duration aUnusedFor,
                     TimePoint aNow)
{
  auto found = m_idle.find(aKey);
  while (found != m_idle.end() && !found->second.empty()) {
    // The last one is the one that was used last.
    UpstreamConnectionPtr connection = found->second.back();
    if (aNow - connection->last_used > aUnusedFor) {
      return nullptr;
    }
    found->second.pop_back();
    boost::system::error_code error;
    connection->socket.cancel(error);
    const bool sound = !error && aNow < connection->unused_at &&
                       connection->socket.available(error) == 0 && !error;
    if (sound) {
      return connection;
    }
  }
  return nullptr;
}

void
ConnectionPool::Put(const UpstreamConnectionPtr& aConnection)
{
  auto& idle = m_idle[aConnection->key];
  if (idle.size() < m_most) {
    idle.push_back(aConnection);
    Watch(aConnection);
  }
}

void
ConnectionPool::Watch(const UpstreamConnectionPtr& aConnection)
{
  aConnection->socket.async_wait(
    boost::asio::ip::tcp::socket::wait_read,
    [this, weak = std::weak_ptr<UpstreamConnection>(aConnection)](
      const boost::system::error_code& aError) {
      auto connection = weak.lock();
      if (aError || connection == nullptr) {
        return; // It is in use again.
      }
      auto& idle = m_idle[connection->key];
      idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
    });
}

void
ConnectionPool::DropOld(TimePoint aNow)
{
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    auto& idle = it->second;
    idle.erase(std::remove_if(idle.begin(),
                              idle.end(),
                              [aNow](const UpstreamConnectionPtr& aOne) {
                                return aNow >= aOne->unused_at;
                              }),
               idle.end());
    it = idle.empty() ? m_idle.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
