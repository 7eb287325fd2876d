#ifndef SAPPHIRELANE_PROXY_CONNECTION_POOL_H
#define SAPPHIRELANE_PROXY_CONNECTION_POOL_H

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief A connection to one endpoint, with the bytes read ahead from it.
struct UpstreamConnection
{
  explicit UpstreamConnection(boost::asio::io_context& aIo)
    : socket(aIo)
  {
  }

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer input;
  std::string key; ///< Endpoint and address.
  TimePoint last_used{};
  TimePoint unused_at{}; ///< It is not used again from this moment on.
  bool used = false;     ///< It served an attempt before.
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// @brief Idle connections to endpoints.
///
/// A connection on which anything comes in while it is idle, an end or bytes
/// that belong to no request, is dropped.
class ConnectionPool
{
public:
  explicit ConnectionPool(std::size_t aMostOfEndpoint)
    : m_most(aMostOfEndpoint)
  {
  }

  /// @brief Takes the connection that was used last, if there is a sound one.
  /// @param aUnusedFor Longest time since its last use.
  UpstreamConnectionPtr Take(const std::string& aKey,
                             Duration aUnusedFor,
                             TimePoint aNow);

  /// @brief Keeps a connection for later use.
  void Put(const UpstreamConnectionPtr& aConnection);

  /// @brief Drops connections that may not be used any more.
  void DropOld(TimePoint aNow);

  void Clear() { m_idle.clear(); }

private:
  void Watch(const UpstreamConnectionPtr& aConnection);

  std::size_t m_most;
  std::map<std::string, std::vector<UpstreamConnectionPtr>> m_idle;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_CONNECTION_POOL_H
