#ifndef SAPPHIRELANE_PROXY_LOOPBACK_H
#define SAPPHIRELANE_PROXY_LOOPBACK_H

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "sapphirelane/kernel/socket.h"

namespace sapphirelane {

/// @brief TCP connection over loopback, for tests of the bytes on the wire.
class RawConnection
{
public:
  explicit RawConnection(Socket aSocket)
    : m_socket(std::move(aSocket))
  {
    SetTransferTime(m_socket, Milliseconds(20000));
    // What is written arrives at once, with earlier bytes acknowledged or not.
    const int on = 1;
    setsockopt(m_socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }

  static RawConnection Connect(const std::string& aAddress)
  {
    return RawConnection(
      ConnectSocket(aAddress, Milliseconds(5000), Milliseconds(20000)));
  }

  /// @return False if the connection is closed.
  bool Write(const std::string& aBytes) const
  {
    const ssize_t count =
      send(m_socket.Get(), aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    return count == static_cast<ssize_t>(aBytes.size());
  }

  /// @brief Reads until the text or the end of the stream is received.
  /// @return The bytes up to and including the text, or up to the end.
  std::string ReadUntil(const std::string& aText)
  {
    while (m_received.find(aText) == std::string::npos) {
      char bytes[4096];
      const ssize_t count = recv(m_socket.Get(), bytes, sizeof bytes, 0);
      if (count <= 0) {
        break;
      }
      m_received.append(bytes, static_cast<std::size_t>(count));
    }
    const std::size_t position = m_received.find(aText);
    const std::size_t size = position == std::string::npos
                               ? m_received.size()
                               : position + aText.size();
    std::string result = m_received.substr(0, size);
    m_received.erase(0, size);
    return result;
  }

  /// @brief Ends the stream of bytes to the other side, which may write on.
  void EndSending() const { shutdown(m_socket.Get(), SHUT_WR); }

  /// @brief Resets the connection.
  void Reset()
  {
    const linger discard{ 1, 0 };
    setsockopt(m_socket.Get(), SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    m_socket = Socket();
  }

  /// @return Whether the other side has closed its sending side by now.
  bool IsClosed() const
  {
    char byte = 0;
    return recv(m_socket.Get(), &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
  }

private:
  Socket m_socket;
  std::string m_received;
};

/// @brief TCP listener on a free loopback port.
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
    pollfd descriptor{ m_socket.Get(), POLLIN, 0 };
    poll(&descriptor, 1, -1);
    return RawConnection(Socket(accept(m_socket.Get(), nullptr, nullptr)));
  }

  /// @return Whether somebody has connected within a time.
  bool AwaitsAccept(Milliseconds aTime) const
  {
    pollfd descriptor{ m_socket.Get(), POLLIN, 0 };
    return poll(&descriptor, 1, static_cast<int>(aTime.count())) > 0;
  }

private:
  Socket m_socket;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_LOOPBACK_H
