#ifndef SAPPHIRELANE_MEMBERSHIP_NODE_ENV_H
#define SAPPHIRELANE_MEMBERSHIP_NODE_ENV_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirelane/base/time.h"
#include "sapphirelane/store/store.h"
#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief A call to the platform's table or object store, made by another
/// thread.
struct StoreCall
{
  enum class Kind
  {
    ReadHead,
    SwapHead,
    PutObject,
    GetObject,
    ListHosts,
  };

  std::uint64_t id = 0;
  Kind kind = Kind::ReadHead;
  std::string name;          ///< Name of the object.
  std::uint64_t version = 0; ///< Row version that SwapHead expects.
  std::string text;
};

/// @brief Outcome of a StoreCall.
struct StoreResult
{
  enum class Status
  {
    Ok,
    Conflict,
    Missing,
    Unavailable, ///< No answer; a write may still take effect.
  };

  std::uint64_t id = 0;
  Status status = Status::Unavailable;
  std::uint64_t version = 0;
  std::string text;
  std::vector<ListedHost> hosts;
};

/// @brief A request over TCP to a peer, made by another thread.
struct BulkCall
{
  std::uint64_t id = 0;
  std::string address;
  BulkMessage request;
};

/// @brief Interface to network and platform, faked in tests.
class NodeEnv
{
public:
  virtual ~NodeEnv() = default;

  /// @brief Sends a datagram; it may be lost, delayed or duplicated.
  virtual void Send(const std::string& aAddress,
                    const PeerMessage& aMessage) = 0;

  /// @brief Starts a platform call; Node::OnStoreResult receives the result.
  virtual void CallStore(StoreCall aCall) = 0;

  /// @brief Starts a bulk call; Node::OnBulkReply receives the reply, or
  /// nothing if the call failed.
  virtual void CallPeer(BulkCall aCall) = 0;
};

/// @brief Handlers of the calls in progress, by call id.
template<typename Result>
class PendingCalls
{
public:
  using Handler = std::function<void(const Result&, TimePoint)>;

  /// @brief Registers the handler of a new call.
  /// @return Id to send with the call.
  std::uint64_t Add(Handler aHandler)
  {
    m_handlers[++m_lastId] = std::move(aHandler);
    return m_lastId;
  }

  /// @brief Calls and removes the handler; ignores an unknown id.
  void Finish(std::uint64_t aId, const Result& aResult, TimePoint aNow)
  {
    auto found = m_handlers.find(aId);
    if (found == m_handlers.end()) {
      return;
    }
    Handler handler = std::move(found->second);
    m_handlers.erase(found);
    handler(aResult, aNow);
  }

private:
  std::uint64_t m_lastId = 0;
  std::map<std::uint64_t, Handler> m_handlers;
};

/// @brief Makes platform calls and passes each result to its handler.
class StoreClient
{
public:
  explicit StoreClient(NodeEnv& aEnv)
    : m_env(aEnv)
  {
  }

  void Call(StoreCall aCall, PendingCalls<StoreResult>::Handler aHandler)
  {
    aCall.id = m_pending.Add(std::move(aHandler));
    m_env.CallStore(std::move(aCall));
  }

  void OnResult(const StoreResult& aResult, TimePoint aNow)
  {
    m_pending.Finish(aResult.id, aResult, aNow);
  }

private:
  NodeEnv& m_env;
  PendingCalls<StoreResult> m_pending;
};

/// @brief Reply to a bulk call; nothing if the call failed.
using BulkReply = std::optional<BulkMessage>;

/// @brief Makes bulk calls and passes each reply to its handler.
class BulkClient
{
public:
  explicit BulkClient(NodeEnv& aEnv)
    : m_env(aEnv)
  {
  }

  void Call(const std::string& aAddress,
            BulkMessage aRequest,
            PendingCalls<BulkReply>::Handler aHandler)
  {
    BulkCall call;
    call.id = m_pending.Add(std::move(aHandler));
    call.address = aAddress;
    call.request = std::move(aRequest);
    m_env.CallPeer(std::move(call));
  }

  void OnReply(std::uint64_t aId, const BulkReply& aReply, TimePoint aNow)
  {
    m_pending.Finish(aId, aReply, aNow);
  }

private:
  NodeEnv& m_env;
  PendingCalls<BulkReply> m_pending;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_MEMBERSHIP_NODE_ENV_H
