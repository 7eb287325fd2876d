#ifndef SAPPHIRELANE_PROXY_CONNECTION_POOL_H
#define SAPPHIRELANE_PROXY_CONNECTION_POOL_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_set.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "sapphirelane/base/time.h"
#include "sapphirelane/proxy/read_buffer.h"

namespace sapphirelane {

/// @brief A connection to one endpoint and its buffered input.
struct UpstreamConnection
{
  explicit UpstreamConnection(boost::asio::io_context& aIo)
    : socket(aIo)
  {
  }

  std::uint64_t number = 0; ///< In log lines; unique within the daemon.
  boost::asio::ip::tcp::socket socket;
  ReadBuffer input;
  std::string pool_key; ///< Endpoint, address and lifetime.
  TimePoint last_used{};
  TimePoint expires_at{}; ///< Not reused at or after this time.
  bool reused = false;    ///< It has served an earlier attempt.
  /// Hashes of the ids of the requests that were sent on it.
  absl::flat_hash_set<std::uint64_t> sent_requests;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// @brief Pool of idle keep-alive connections to endpoints.
///
/// A connection that becomes readable while it is idle, because the endpoint
/// closed it or sent bytes that belong to no request, is removed. An endpoint
/// that sends such bytes may send them late as well, when a connection is in
/// use again and they break the response that is due there; so none of its
/// connections is reused for a while.
///
/// Responses are told apart by the request id that they repeat. Two attempts of
/// one request have the same id, so they never share a connection: a late copy
/// of the first response would be taken for the second.
class ConnectionPool
{
public:
  explicit ConnectionPool(std::size_t aMaxIdlePerEndpoint)
    : m_maxIdlePerEndpoint(aMaxIdlePerEndpoint)
  {
  }

  /// @brief Removes the most recently used healthy connection from the pool.
  /// @param aRequest Hash of a request's id; connections on which it was sent
  /// are passed over.
  /// @param aMaxIdleTime Longest time since its last use.
  /// @return The connection, or nullptr if there is none.
  UpstreamConnectionPtr Acquire(const std::string& aKey,
                                std::uint64_t aRequest,
                                Duration aMaxIdleTime,
                                TimePoint aNow);

  /// @brief Returns a connection for reuse, unless the pool is full, the
  /// endpoint's connections are not reused, or it has carried many requests.
  /// @return False if it was closed.
  bool Release(const UpstreamConnectionPtr& aConnection);

  /// @brief Closes an endpoint's connections, and does not reuse those that are
  /// returned in the next seconds.
  void ForbidReuse(const std::string& aKey, TimePoint aNow);

  /// @brief Closes connections that are past their expiry time.
  void RemoveExpired(TimePoint aNow);

  void Clear() { m_idle.clear(); }

private:
  /// Removes the idle connection as soon as it becomes readable.
  void RemoveOnInput(const UpstreamConnectionPtr& aConnection);

  std::size_t m_maxIdlePerEndpoint;
  std::map<std::string, std::vector<UpstreamConnectionPtr>> m_idle;
  std::map<std::string, TimePoint> m_noReuseUntil; ///< See ForbidReuse.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_CONNECTION_POOL_H
