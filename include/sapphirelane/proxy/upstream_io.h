#ifndef SAPPHIRELANE_PROXY_UPSTREAM_IO_H
#define SAPPHIRELANE_PROXY_UPSTREAM_IO_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief One attempt to have a request served by one endpoint.
struct AttemptOrder
{
  std::uint64_t id = 0;
  ExchangePtr exchange;
  std::string endpoint; ///< Id; its connections serve no other endpoint.
  std::string address;  ///< "ip:port".
  std::string method;
  std::string target;
  Headers headers;
  bool has_body = false;
  std::optional<std::uint64_t> length; ///< Of the body; none if chunked.
  bool rewind = false;         ///< Send the body once more from its start.
  bool new_connection = false; ///< Use no connection from the pool.
  Duration unused_for = Duration::max(); ///< Longest, of one from the pool.
  bool hold = false; ///< Report the head only when the answer is whole.
  std::string deadline_header; ///< Told the time left; empty for none.
  std::string echo_header;     ///< The answer repeats echo in it, or empty.
  std::string echo;
  TimePoint send_before{}; ///< Refuse to send at or after this moment.
  TimePoint deadline{};    ///< Told to the upstream.
  TimePoint give_up{};     ///< The attempt is broken off then.
};

/// @brief What happened to an attempt.
struct AttemptEvent
{
  enum class Kind
  {
    Head, ///< The answer's head is there; the body waits for Accept.
    End,  ///< The attempt is over.
  };

  std::uint64_t id = 0;
  Kind kind = Kind::End;
  ResponseHead head;         ///< With Head.
  bool whole = false;        ///< With End: the answer came whole.
  bool sent = true;          ///< With End: a byte may have left.
  bool caller_fault = false; ///< With End: the caller broke its body off.
  bool kept = false;      ///< With End: its connection waits for another use.
  bool stale = false;     ///< With End: a kept connection proved to be dead.
  std::string error;      ///< With End, if not whole.
  std::string kept_body;  ///< With End: the body, if small enough.
  bool body_kept = false; ///< With End: kept_body is the whole body.
};

/// @brief Makes attempts; used by the thread that decides.
class UpstreamIo
{
public:
  virtual ~UpstreamIo() = default;

  /// @brief Starts an attempt; its events follow.
  virtual void Start(AttemptOrder aOrder) = 0;

  /// @brief Lets the answer's body flow into the exchange.
  virtual void Accept(std::uint64_t aAttempt) = 0;

  /// @brief Breaks an attempt off; an End event follows.
  virtual void Cancel(std::uint64_t aAttempt) = 0;
};

/// @brief Options of the client that speaks HTTP to upstreams.
struct UpstreamIoOptions
{
  std::size_t ring = 8192;              ///< Orders that may wait.
  std::size_t pool_per_endpoint = 8;    ///< Idle connections to one endpoint.
  Milliseconds connect_timeout{ 1000 }; ///< For a new connection.
  Milliseconds proven_for{ 8000 };      ///< Idle time after which to reconnect.
};

/// @brief Duty that makes attempts over HTTP/1.1.
class UpstreamIoDuty
  : public Duty
  , public UpstreamIo
{};

/// @param aOnEvent Receives the events, on the duty's thread.
std::unique_ptr<UpstreamIoDuty>
MakeUpstreamIo(UpstreamIoOptions aOptions,
               std::function<void(AttemptEvent)> aOnEvent);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_UPSTREAM_IO_H
