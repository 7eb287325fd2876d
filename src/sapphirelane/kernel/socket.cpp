#include "sapphirelane/kernel/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "sapphirelane/base/error.h"

namespace sapphirelane {

namespace {

constexpr int kBacklog = 128;

Error
SystemError(const std::string& aWhat)
{
  return Error(aWhat + ": " + std::strerror(errno));
}

void
WriteAll(const Socket& aSocket, const char* aBytes, std::size_t aSize)
{
  while (aSize > 0) {
    const ssize_t sent = send(aSocket.Get(), aBytes, aSize, MSG_NOSIGNAL);
    if (sent <= 0) {
      throw SystemError("peer write");
    }
    aBytes += sent;
    aSize -= static_cast<std::size_t>(sent);
  }
}

void
ReadAll(const Socket& aSocket, char* aBytes, std::size_t aSize)
{
  while (aSize > 0) {
    const ssize_t got = recv(aSocket.Get(), aBytes, aSize, 0);
    if (got <= 0) {
      throw got == 0 ? Error("peer read: closed") : SystemError("peer read");
    }
    aBytes += got;
    aSize -= static_cast<std::size_t>(got);
  }
}

} // namespace

Socket::Socket(int aDescriptor)
  : m_descriptor(aDescriptor)
{
}

Socket::Socket(Socket&& aOther) noexcept
  : m_descriptor(std::exchange(aOther.m_descriptor, -1))
{
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  std::swap(m_descriptor, aOther.m_descriptor);
  return *this;
}

Socket::~Socket()
{
  if (m_descriptor >= 0) {
    close(m_descriptor);
  }
}

sockaddr_in
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::string ip = aText.substr(0, colon);
  const bool valid = colon != std::string::npos &&
                     inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1;
  if (!valid) {
    throw Error("address \"" + aText + "\": expected ip:port");
  }
  const int port = std::atoi(aText.c_str() + colon + 1);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

std::string
FormatAddress(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &aAddress.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ":" +
         std::to_string(ntohs(aAddress.sin_port));
}

Socket
BindSocket(int aType, const std::string& aIp, std::uint16_t aPort)
{
  // Several threads may wait for the same connection and one gets it, so a
  // listener must not block the others.
  const int listens = aType == SOCK_STREAM ? SOCK_NONBLOCK : 0;
  Socket socket(::socket(AF_INET, aType | SOCK_CLOEXEC | listens, 0));
  const int yes = 1;
  if (aType == SOCK_STREAM) {
    setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  }
  const sockaddr_in address = ParseAddress(aIp + ":" + std::to_string(aPort));
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  const bool bound =
    bind(socket.Get(), raw, sizeof address) == 0 &&
    (aType != SOCK_STREAM || listen(socket.Get(), kBacklog) == 0);
  if (!bound) {
    throw SystemError("peers: cannot listen on " + FormatAddress(address));
  }
  return socket;
}

Socket
ConnectSocket(const std::string& aAddress,
              Milliseconds aConnectTime,
              Milliseconds aTransferTime)
{
  Socket socket(
    ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const sockaddr_in address = ParseAddress(aAddress);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (connect(socket.Get(), raw, sizeof address) != 0) {
    if (errno != EINPROGRESS) {
      throw SystemError("connect to " + aAddress);
    }
    pollfd ready{ socket.Get(), POLLOUT, 0 };
    const int got = poll(&ready, 1, static_cast<int>(aConnectTime.count()));
    int failure = 0;
    socklen_t size = sizeof failure;
    getsockopt(socket.Get(), SOL_SOCKET, SO_ERROR, &failure, &size);
    if (got != 1 || failure != 0) {
      errno = got != 1 ? ETIMEDOUT : failure;
      throw SystemError("connect to " + aAddress);
    }
  }
  const int flags = fcntl(socket.Get(), F_GETFL);
  fcntl(socket.Get(), F_SETFL, flags & ~O_NONBLOCK);
  SetTransferTime(socket, aTransferTime);
  return socket;
}

void
SetTransferTime(const Socket& aSocket, Milliseconds aTime)
{
  constexpr int kMsPerSecond = 1000;
  constexpr int kUsPerMs = 1000;
  timeval time{};
  time.tv_sec = aTime.count() / kMsPerSecond;
  time.tv_usec = (aTime.count() % kMsPerSecond) * kUsPerMs;
  setsockopt(aSocket.Get(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  setsockopt(aSocket.Get(), SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

void
WriteFrame(const Socket& aSocket, const std::string& aBytes)
{
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(aBytes.size()));
  WriteAll(aSocket, reinterpret_cast<const char*>(&size), sizeof size);
  WriteAll(aSocket, aBytes.data(), aBytes.size());
}

std::string
ReadFrame(const Socket& aSocket, std::size_t aMost)
{
  std::uint32_t size = 0;
  ReadAll(aSocket, reinterpret_cast<char*>(&size), sizeof size);
  size = ntohl(size);
  if (size > aMost) {
    throw Error("peer frame of " + std::to_string(size) + " bytes, at most " +
                std::to_string(aMost));
  }
  std::string bytes(size, '\0');
  ReadAll(aSocket, bytes.data(), bytes.size());
  return bytes;
}

} // namespace sapphirelane
