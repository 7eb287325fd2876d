#ifndef SAPPHIRELANE_PROXY_LOOPBACK_H
#define SAPPHIRELANE_PROXY_LOOPBACK_H

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "sapphirelane/kernel/socket.h"

namespace sapphirelane {

/// @brief Raw connections over loopback, for tests of what goes on the wire.
class RawConnection
{
public:
  explicit RawConnection(Socket aSocket)
    : m_socket(std::move(aSocket))
  {
    SetTransferTime(m_socket, Milliseconds(20000));
  }

  static RawConnection To(const std::string& aAddress)
  {
    return RawConnection(
      ConnectSocket(aAddress, Milliseconds(5000), Milliseconds(20000)));
  }

  void Write(const std::string& aBytes) const
  {
    (void)send(m_socket.Get(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  /// @brief Reads until the text stands in what was read, or the end.
  std::string ReadUntil(const std::string& aText)
  {
    while (m_read.find(aText) == std::string::npos) {
      char bytes[4096];
      const ssize_t got = recv(m_socket.Get(), bytes, sizeof bytes, 0);
      if (got <= 0) {
        break;
      }
      m_read.append(bytes, static_cast<std::size_t>(got));
    }
    const std::size_t at = m_read.find(aText);
    const std::size_t size =
      at == std::string::npos ? m_read.size() : at + aText.size();
    std::string taken = m_read.substr(0, size);
    m_read.erase(0, size);
    return taken;
  }

private:
  Socket m_socket;
  std::string m_read;
};

/// @brief Listens on a free port of loopback.
class RawListener
{
public:
  RawListener()
    : m_socket(BindSocket(SOCK_STREAM, "127.0.0.1", 0))
  {
  }

  std::string Address() const
  {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(m_socket.Get(), reinterpret_cast<sockaddr*>(&address), &size);
    return FormatAddress(address);
  }

  RawConnection Accept() const
  {
    pollfd ready{ m_socket.Get(), POLLIN, 0 };
    poll(&ready, 1, -1);
    return RawConnection(Socket(accept(m_socket.Get(), nullptr, nullptr)));
  }

private:
  Socket m_socket;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_LOOPBACK_H
