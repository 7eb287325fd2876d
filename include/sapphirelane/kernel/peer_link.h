#ifndef SAPPHIRELANE_KERNEL_PEER_LINK_H
#define SAPPHIRELANE_KERNEL_PEER_LINK_H

#include <functional>
#include <memory>
#include <string>

#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/membership/node_env.h"

namespace sapphirelane {

/// @brief Options of the links to other daemons.
struct PeerLinkOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 8083; ///< UDP and TCP.
  std::string secret;        ///< The fleet's.
  NodeId self = 0;
  Milliseconds connect_time{ 300 };   ///< Longest wait for a connection.
  Milliseconds transfer_time{ 1000 }; ///< Longest wait for bytes, over TCP.
};

/// @brief Duty that receives datagrams; any thread may send.
class DatagramDuty : public Duty
{
public:
  /// @brief Sends one message to several addresses, sealed once.
  virtual void SendAll(const std::vector<std::string>& aAddresses,
                       const PeerMessage& aMessage) = 0;

  virtual void Send(const std::string& aAddress,
                    const PeerMessage& aMessage) = 0;
};

/// @brief Receives a message from an authentic peer.
using OnDatagram =
  std::function<void(NodeId aFrom, std::string aAddress, PeerMessage aMessage)>;

/// @throws Error if the port cannot be bound.
std::unique_ptr<DatagramDuty>
MakeDatagramDuty(const PeerLinkOptions& aOptions,
                 Metrics& aMetrics,
                 OnDatagram aOnMessage);

/// @brief Answers a bulk request; throws Error if it cannot.
using OnBulk = std::function<BulkMessage(NodeId, const BulkMessage&)>;

/// @brief Makes a duty that serves bulk requests over TCP.
/// @throws Error if the port cannot be listened on.
std::unique_ptr<Duty>
MakeBulkServer(const PeerLinkOptions& aOptions,
               Metrics& aMetrics,
               OnBulk aOnRequest);

/// @brief Duty that makes bulk calls over TCP.
class BulkCallerDuty : public Duty
{
public:
  /// @return False if too many calls wait.
  virtual bool Call(BulkCall aCall) = 0;
};

/// @brief Receives the reply to a call, or nothing if it failed.
using OnBulkReplied = std::function<void(std::uint64_t aCall, BulkReply)>;

std::unique_ptr<BulkCallerDuty>
MakeBulkCaller(const PeerLinkOptions& aOptions,
               Metrics& aMetrics,
               OnBulkReplied aOnReply);

/// @brief Duty that makes platform calls, one after the other.
class StoreDuty : public Duty
{
public:
  /// @return False if too many calls wait.
  virtual bool Call(StoreCall aCall) = 0;

  /// @brief Tells the host list about this host.
  virtual void Announce(const ListedHost& aHost) = 0;
};

std::unique_ptr<StoreDuty>
MakeStoreDuty(std::unique_ptr<Platform> aPlatform,
              Metrics& aMetrics,
              std::function<void(StoreResult)> aOnResult);

} // namespace sapphirelane

#endif // SAPPHIRELANE_KERNEL_PEER_LINK_H
