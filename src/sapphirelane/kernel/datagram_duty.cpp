#include <sys/socket.h>

#include <atomic>
#include <mutex>
#include <utility>

#include "sapphirelane/base/error.h"
#include "sapphirelane/kernel/peer_link.h"
#include "sapphirelane/kernel/socket.h"
#include "sapphirelane/wire/codec.h"
#include "sapphirelane/wire/seal.h"

namespace sapphirelane {

namespace {

constexpr Milliseconds kStopCheck{ 100 };

/// Room for the envelope around a message.
constexpr std::size_t kMostEnvelope = kMostDatagram + 128;

class UdpDuty : public DatagramDuty
{
public:
  UdpDuty(const PeerLinkOptions& aOptions,
          Metrics& aMetrics,
          OnDatagram aOnMessage)
    : m_metrics(aMetrics)
    , m_onMessage(std::move(aOnMessage))
    , m_socket(BindSocket(SOCK_DGRAM, aOptions.address, aOptions.port))
    , m_sender(aOptions.secret + "/udp", aOptions.self)
    , m_receiver(aOptions.secret + "/udp", aOptions.self)
  {
    SetTransferTime(m_socket, kStopCheck);
  }

  std::string Name() const override { return "peer-udp"; }

  void Run() override
  {
    std::string buffer(kMostEnvelope + 1, '\0');
    while (!m_stop) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t got = recvfrom(m_socket.Get(),
                                   buffer.data(),
                                   buffer.size(),
                                   0,
                                   reinterpret_cast<sockaddr*>(&from),
                                   &size);
      if (got > 0) {
        Take(std::string_view(buffer.data(), static_cast<std::size_t>(got)),
             FormatAddress(from));
      }
    }
  }

  void Stop() override { m_stop = true; }

  void Send(const std::string& aAddress, const PeerMessage& aMessage) override
  {
    SendAll({ aAddress }, aMessage);
  }

  void SendAll(const std::vector<std::string>& aAddresses,
               const PeerMessage& aMessage) override
  {
    if (aAddresses.empty()) {
      return;
    }
    const std::string bytes = EncodeMessage(aMessage);
    if (bytes.size() > kMostDatagram) {
      m_metrics.Count("peer_dropped_total", { { "reason", "too large" } });
      return;
    }
    std::string envelope;
    {
      std::lock_guard<std::mutex> lock(m_sendMutex);
      envelope = m_sender.Seal(bytes, std::chrono::system_clock::now());
    }
    for (const std::string& one : aAddresses) {
      const sockaddr_in address = ParseAddress(one);
      sendto(m_socket.Get(),
             envelope.data(),
             envelope.size(),
             MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address);
    }
    m_metrics.Count("peer_sent_bytes_total",
                    { { "link", "udp" } },
                    static_cast<double>(envelope.size() * aAddresses.size()));
  }

private:
  void Take(std::string_view aEnvelope, std::string aAddress)
  {
    m_metrics.Count("peer_received_bytes_total",
                    { { "link", "udp" } },
                    static_cast<double>(aEnvelope.size()));
    try {
      if (aEnvelope.size() > kMostEnvelope) {
        throw WireError("datagram is too large");
      }
      Opened opened =
        m_receiver.Open(aEnvelope, std::chrono::system_clock::now());
      m_onMessage(
        opened.sender, std::move(aAddress), DecodeMessage(opened.payload));
    } catch (const WireError& error) {
      m_metrics.Count("peer_dropped_total", { { "reason", "not accepted" } });
    }
  }

  Metrics& m_metrics;
  OnDatagram m_onMessage;
  Socket m_socket;
  std::mutex m_sendMutex;
  Sealer m_sender;
  Sealer m_receiver;
  std::atomic<bool> m_stop{ false };
};

} // namespace

std::unique_ptr<DatagramDuty>
MakeDatagramDuty(const PeerLinkOptions& aOptions,
                 Metrics& aMetrics,
                 OnDatagram aOnMessage)
{
  return std::make_unique<UdpDuty>(aOptions, aMetrics, std::move(aOnMessage));
}

} // namespace sapphirelane
