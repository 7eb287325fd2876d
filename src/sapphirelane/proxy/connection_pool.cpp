#include "sapphirelane/proxy/connection_pool.h"

#include <algorithm>

namespace sapphirelane {

namespace {

/// Time for which the connections of an endpoint that has sent bytes beyond its
/// responses are not reused; it spans the usual episode of such a fault.
constexpr std::chrono::seconds kNoReuseTime{ 10 };

/// Bounds the memory for the ids of a connection's requests.
constexpr std::size_t kMaxRequestsPerConnection = 1024;

} // namespace

UpstreamConnectionPtr
ConnectionPool::Acquire(const std::string& aKey,
                        std::uint64_t aRequest,
                        Duration aMaxIdleTime,
                        TimePoint aNow)
{
  auto found = m_idle.find(aKey);
  if (found == m_idle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  // Last in, first out: the back is the most recently used one.
  for (std::size_t i = idle.size(); i-- > 0;) {
    UpstreamConnectionPtr connection = idle[i];
    if (aNow - connection->last_used > aMaxIdleTime) {
      return nullptr;
    }
    if (connection->sent_requests.contains(aRequest)) {
      continue;
    }
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    boost::system::error_code error;
    connection->socket.cancel(error);
    const bool strayBytes = connection->socket.available(error) > 0;
    if (strayBytes) {
      ForbidReuse(aKey, aNow);
      return nullptr;
    }
    if (!error && aNow < connection->expires_at) {
      return connection;
    }
  }
  return nullptr;
}

bool
ConnectionPool::Release(const UpstreamConnectionPtr& aConnection)
{
  auto forbidden = m_noReuseUntil.find(aConnection->pool_key);
  auto& idle = m_idle[aConnection->pool_key];
  const bool forbids = forbidden != m_noReuseUntil.end() &&
                       aConnection->last_used < forbidden->second;
  const bool reuses =
    !forbids && aConnection->sent_requests.size() < kMaxRequestsPerConnection;
  if (!reuses || idle.size() >= m_maxIdlePerEndpoint) {
    boost::system::error_code ignored;
    aConnection->socket.close(ignored);
    return false;
  }
  idle.push_back(aConnection);
  RemoveOnInput(aConnection);
  return true;
}

void
ConnectionPool::ForbidReuse(const std::string& aKey, TimePoint aNow)
{
  m_noReuseUntil[aKey] = aNow + kNoReuseTime;
  m_idle.erase(aKey);
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
      boost::system::error_code error;
      if (connection->socket.available(error) > 0) {
        ForbidReuse(connection->pool_key, Clock::now());
        return;
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
  for (auto it = m_noReuseUntil.begin(); it != m_noReuseUntil.end();) {
    it = aNow >= it->second ? m_noReuseUntil.erase(it) : std::next(it);
  }
}

} // namespace sapphirelane
