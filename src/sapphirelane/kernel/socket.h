#ifndef SAPPHIRELANE_KERNEL_SOCKET_H
#define SAPPHIRELANE_KERNEL_SOCKET_H

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "sapphirelane/base/time.h"

namespace sapphirelane {

/// @brief A socket that is closed with its owner.
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aDescriptor);
  Socket(Socket&& aOther) noexcept;
  Socket& operator=(Socket&& aOther) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  int Get() const { return m_descriptor; }
  bool IsOpen() const { return m_descriptor >= 0; }

private:
  int m_descriptor = -1;
};

/// @brief Parses "ip:port".
/// @throws Error if it is not one.
sockaddr_in
ParseAddress(const std::string& aText);

/// @brief Writes "ip:port".
std::string
FormatAddress(const sockaddr_in& aAddress);

/// @brief Binds a socket of a type; a TCP socket listens.
/// @throws Error if the port is taken.
Socket
BindSocket(int aType, const std::string& aIp, std::uint16_t aPort);

/// @brief Connects within a time; reads and writes then time out as well.
/// @throws Error if it fails.
Socket
ConnectSocket(const std::string& aAddress,
              Milliseconds aConnectTime,
              Milliseconds aTransferTime);

/// @brief Sets the time after which a read or write fails.
void
SetTransferTime(const Socket& aSocket, Milliseconds aTime);

/// @brief Writes a length and bytes.
/// @throws Error if the peer does not take them.
void
WriteFrame(const Socket& aSocket, const std::string& aBytes);

/// @brief Reads what WriteFrame wrote.
/// @throws Error if it is cut off or longer than aMost.
std::string
ReadFrame(const Socket& aSocket, std::size_t aMost);

} // namespace sapphirelane

#endif // SAPPHIRELANE_KERNEL_SOCKET_H
