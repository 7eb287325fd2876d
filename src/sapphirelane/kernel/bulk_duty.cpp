#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include "sapphirelane/base/bounded_ring.h"
#include "sapphirelane/base/error.h"
#include "sapphirelane/kernel/peer_link.h"
#include "sapphirelane/kernel/socket.h"
#include "sapphirelane/wire/codec.h"
#include "sapphirelane/wire/seal.h"

namespace sapphirelane {

namespace {

constexpr Milliseconds kStopCheck{ 100 };
constexpr std::size_t kThreads = 4;
constexpr std::size_t kWaitingCalls = 1024;
constexpr std::size_t kMostFrame = kMostBulk + 128;
constexpr std::size_t kNonceBytes = 8;

WallTime
WallNow()
{
  return std::chrono::system_clock::now();
}

/// One sealer shared by several threads.
class SharedSealer
{
public:
  SharedSealer(const std::string& aSecret, NodeId aSelf)
    : m_sealer(aSecret, aSelf)
  {
  }

  std::string Seal(const std::string& aPayload)
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_sealer.Seal(aPayload, WallNow());
  }

  Opened Open(const std::string& aEnvelope)
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_sealer.Open(aEnvelope, WallNow());
  }

private:
  std::mutex m_mutex;
  Sealer m_sealer;
};

class BulkServer : public Duty
{
public:
  BulkServer(const PeerLinkOptions& aOptions,
             Metrics& aMetrics,
             OnBulk aOnRequest)
    : m_metrics(aMetrics)
    , m_onRequest(std::move(aOnRequest))
    , m_transferTime(aOptions.transfer_time)
    , m_listener(BindSocket(SOCK_STREAM, aOptions.address, aOptions.port))
    , m_requests(aOptions.secret + "/tcp", aOptions.self)
    , m_replies(aOptions.secret + "/tcp-reply", aOptions.self)
  {
  }

  std::string Name() const override { return "peer-tcp"; }

  void Run() override
  {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([this] { Serve(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  void Stop() override { m_stop = true; }

private:
  void Serve()
  {
    while (!m_stop) {
      pollfd ready{ m_listener.Get(), POLLIN, 0 };
      if (poll(&ready, 1, static_cast<int>(kStopCheck.count())) != 1) {
        continue;
      }
      Socket socket(accept4(m_listener.Get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (socket.IsOpen()) {
        ServeOne(socket);
      }
    }
  }

  void ServeOne(const Socket& aSocket)
  {
    try {
      SetTransferTime(aSocket, m_transferTime);
      const Opened opened = m_requests.Open(ReadFrame(aSocket, kMostFrame));
      if (opened.payload.size() < kNonceBytes) {
        throw WireError("bulk request without a nonce");
      }
      const std::string nonce = opened.payload.substr(0, kNonceBytes);
      const BulkMessage request =
        DecodeBulk(std::string_view(opened.payload).substr(kNonceBytes));
      const BulkMessage reply = m_onRequest(opened.sender, request);
      const std::string sealed = m_replies.Seal(nonce + EncodeBulk(reply));
      WriteFrame(aSocket, sealed);
      m_metrics.Count("peer_sent_bytes_total",
                      { { "link", "tcp" } },
                      static_cast<double>(sealed.size()));
    } catch (const Error& error) {
      m_metrics.Count("peer_dropped_total", { { "reason", "bulk" } });
    }
  }

  Metrics& m_metrics;
  OnBulk m_onRequest;
  Milliseconds m_transferTime;
  Socket m_listener;
  SharedSealer m_requests;
  SharedSealer m_replies;
  std::atomic<bool> m_stop{ false };
};

class BulkCaller : public BulkCallerDuty
{
public:
  BulkCaller(const PeerLinkOptions& aOptions,
             Metrics& aMetrics,
             OnBulkReplied aOnReply)
    : m_metrics(aMetrics)
    , m_onReply(std::move(aOnReply))
    , m_connectTime(aOptions.connect_time)
    , m_transferTime(aOptions.transfer_time)
    , m_calls(kWaitingCalls)
    , m_requests(aOptions.secret + "/tcp", aOptions.self)
    , m_replies(aOptions.secret + "/tcp-reply", aOptions.self)
    , m_nextNonce(aOptions.self)
  {
  }

  std::string Name() const override { return "peer-calls"; }

  void Run() override
  {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kThreads; ++i) {
      threads.emplace_back([this] { MakeCalls(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  void Stop() override { m_stop = true; }

  bool Call(BulkCall aCall) override
  {
    return m_calls.TryPush(std::move(aCall));
  }

private:
  void MakeCalls()
  {
    while (!m_stop) {
      auto call = m_calls.TakeOne(kStopCheck);
      if (!call) {
        continue;
      }
      BulkReply reply;
      try {
        reply = CallOne(*call);
      } catch (const Error& error) {
        m_metrics.Count("peer_calls_failed_total", {});
      }
      m_onReply(call->id, std::move(reply));
    }
  }

  BulkMessage CallOne(const BulkCall& aCall)
  {
    const std::uint64_t number = m_nextNonce++;
    const std::string nonce(reinterpret_cast<const char*>(&number),
                            sizeof number);
    const Socket socket =
      ConnectSocket(aCall.address, m_connectTime, m_transferTime);
    WriteFrame(socket, m_requests.Seal(nonce + EncodeBulk(aCall.request)));
    const Opened opened = m_replies.Open(ReadFrame(socket, kMostFrame));
    if (opened.payload.compare(0, kNonceBytes, nonce) != 0) {
      throw WireError("bulk reply to another request");
    }
    return DecodeBulk(std::string_view(opened.payload).substr(kNonceBytes));
  }

  Metrics& m_metrics;
  OnBulkReplied m_onReply;
  Milliseconds m_connectTime;
  Milliseconds m_transferTime;
  BoundedRing<BulkCall> m_calls;
  SharedSealer m_requests;
  SharedSealer m_replies;
  std::atomic<std::uint64_t> m_nextNonce;
  std::atomic<bool> m_stop{ false };
};

} // namespace

std::unique_ptr<Duty>
MakeBulkServer(const PeerLinkOptions& aOptions,
               Metrics& aMetrics,
               OnBulk aOnRequest)
{
  return std::make_unique<BulkServer>(
    aOptions, aMetrics, std::move(aOnRequest));
}

std::unique_ptr<BulkCallerDuty>
MakeBulkCaller(const PeerLinkOptions& aOptions,
               Metrics& aMetrics,
               OnBulkReplied aOnReply)
{
  return std::make_unique<BulkCaller>(aOptions, aMetrics, std::move(aOnReply));
}

} // namespace sapphirelane
