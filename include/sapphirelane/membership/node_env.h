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

/// @brief A call to the platform, made by another thread.
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
  std::string name;          ///< Of an object.
  std::uint64_t version = 0; ///< Row version that a swap expects.
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
    Unavailable, ///< No answer; a write may take effect now or later.
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

/// @brief What a node needs of the world; a fake stands in for it in tests.
class NodeEnv
{
public:
  virtual ~NodeEnv() = default;

  /// @brief Sends a datagram; it may be lost, late or doubled.
  virtual void Send(const std::string& aAddress,
                    const PeerMessage& aMessage) = 0;

  /// @brief Starts a platform call; its result follows.
  virtual void CallStore(StoreCall aCall) = 0;

  /// @brief Starts a bulk call; its reply or its failure follows.
  virtual void CallPeer(BulkCall aCall) = 0;
};

/// @brief Keeps what to do with the results of calls that are under way.
template<typename Result>
class PendingCalls
{
public:
  using Handler = std::function<void(const Result&, TimePoint)>;

  /// @return Id to send with the call.
  std::uint64_t Add(Handler aHandler)
  {
    m_handlers[++m_last] = std::move(aHandler);
    return m_last;
  }

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
  std::uint64_t m_last = 0;
  std::map<std::uint64_t, Handler> m_handlers;
};

/// @brief Platform calls with handlers.
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

/// @brief A bulk reply, or nothing if the call failed.
using BulkReply = std::optional<BulkMessage>;

/// @brief Bulk calls with handlers.
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
