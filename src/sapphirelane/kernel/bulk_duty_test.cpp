#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <cstdint>
#include <future>
#include <string>
#include <thread>

#include "sapphirelane/base/secret.h"
#include "sapphirelane/kernel/peer_link.h"
#include "sapphirelane/kernel/socket.h"

namespace sapphirelane {
namespace {

/// A port of loopback that is free now.
std::uint16_t
FreePort()
{
  const Socket socket = BindSocket(SOCK_STREAM, "127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(socket.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

class BulkFixture
{
protected:
  BulkFixture()
  {
    StartSecrets();
    m_options.port = FreePort();
    m_options.secret = "a secret of the fleet";
    m_options.self = 1;
    // On a machine that is busy a call may take long: the verdict must not
    // hang on that.
    m_options.connect_time = Milliseconds(300000);
    m_options.transfer_time = Milliseconds(300000);
  }

  PeerLinkOptions m_options;
  std::unique_ptr<Metrics> m_metrics = MakeMetrics();
};

TEST_CASE_METHOD(BulkFixture,
                 "Bulk duties, many calls at once, answer all and stop")
{
  // A listener that blocks leaves a thread behind that never stops: of all
  // threads that wait for a connection only one gets it.
  auto server =
    MakeBulkServer(m_options, *m_metrics, [](NodeId, const BulkMessage&) {
      return HandOverReply{ true };
    });
  std::atomic<int> answered{ 0 };
  std::atomic<int> ended{ 0 };
  std::promise<void> all;
  constexpr int kCalls = 200;
  auto caller = MakeBulkCaller(
    m_options, *m_metrics, [&](std::uint64_t, const BulkReply& aReply) {
      answered += aReply ? 1 : 0;
      if (++ended == kCalls) {
        all.set_value();
      }
    });
  std::thread serving([&] { server->Run(); });
  std::thread calling([&] { caller->Run(); });
  BulkCall call;
  call.address = "127.0.0.1:" + std::to_string(m_options.port);
  call.request = FetchState{};
  for (int i = 0; i < kCalls; ++i) {
    REQUIRE(caller->Call(call));
  }
  all.get_future().wait();
  caller->Stop();
  server->Stop();
  calling.join();
  serving.join();
  CHECK(answered == kCalls);
}

TEST_CASE_METHOD(BulkFixture,
                 "Bulk call, another fleet's secret, gets no reply")
{
  std::atomic<int> served{ 0 };
  auto server =
    MakeBulkServer(m_options, *m_metrics, [&](NodeId, const BulkMessage&) {
      ++served;
      return HandOverReply{ true };
    });
  PeerLinkOptions other = m_options;
  other.secret = "a secret of others";
  std::promise<bool> replied;
  auto caller = MakeBulkCaller(
    other, *m_metrics, [&](std::uint64_t, const BulkReply& aReply) {
      replied.set_value(aReply.has_value());
    });
  std::thread serving([&] { server->Run(); });
  std::thread calling([&] { caller->Run(); });
  BulkCall call;
  call.address = "127.0.0.1:" + std::to_string(m_options.port);
  call.request = FetchState{};
  caller->Call(call);
  CHECK_FALSE(replied.get_future().get());
  CHECK(served == 0);
  caller->Stop();
  server->Stop();
  calling.join();
  serving.join();
}

/// Guards against a part of a daemon's reply that is taken for a whole one.
TEST_CASE_METHOD(BulkFixture,
                 "Bulk call, reply ends within its frame, gets no reply",
                 "[reset]")
{
  const Socket listener = BindSocket(SOCK_STREAM, "127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  std::promise<bool> replied;
  auto caller =
    MakeBulkCaller(m_options, *m_metrics, [&](auto, const BulkReply& aReply) {
      replied.set_value(aReply.has_value());
    });
  std::thread calling([&] { caller->Run(); });
  constexpr std::size_t kLargestRequest = 65536;
  const std::uint32_t announced = htonl(100);
  const std::string length(reinterpret_cast<const char*>(&announced),
                           sizeof announced);
  for (const bool isReset : { false, true }) {
    for (const std::string& part : { length + std::string(99, 'x'),
                                     length,
                                     length.substr(0, 2),
                                     std::string() }) {
      INFO(part.size() << " bytes, reset " << isReset);
      replied = std::promise<bool>();
      BulkCall call;
      call.address = FormatAddress(address);
      call.request = FetchState{};
      REQUIRE(caller->Call(call));
      pollfd incoming{ listener.Get(), POLLIN, 0 };
      poll(&incoming, 1, -1);
      {
        const Socket peer(accept(listener.Get(), nullptr, nullptr));
        ReadFrame(peer, kLargestRequest);
        send(peer.Get(), part.data(), part.size(), MSG_NOSIGNAL);
        const linger reset{ isReset ? 1 : 0, 0 };
        setsockopt(peer.Get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      }
      CHECK_FALSE(replied.get_future().get());
    }
  }
  caller->Stop();
  calling.join();
}

} // namespace
} // namespace sapphirelane
