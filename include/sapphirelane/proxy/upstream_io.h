#ifndef SAPPHIRELANE_PROXY_UPSTREAM_IO_H
#define SAPPHIRELANE_PROXY_UPSTREAM_IO_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "sapphirelane/kernel/duty.h"
#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief Parameters of one attempt to have a request served by an endpoint.
struct AttemptOrder
{
  std::uint64_t id = 0;
  ExchangePtr exchange;
  std::string endpoint; ///< Id; see lifetime.
  std::string address;  ///< "ip:port".
  /// Of the endpoint. Connections are pooled by id, address and lifetime, as
  /// one to an earlier process is dead.
  std::uint64_t lifetime = 0;
  std::string method;
  std::string target;
  Headers headers;
  bool has_body = false;
  std::optional<std::uint64_t> length;   ///< Of the body; chunked if unset.
  bool new_connection = false;           ///< Do not use a pooled connection.
  Duration unused_for = Duration::max(); ///< Limit for a pooled connection.
  bool hold = false; ///< Report the head only with the complete response.
  std::string deadline_header; ///< Carries the time left; empty for none.
  /// Response header with the request id. A connection is reused only if the
  /// response has it; one with another value is skipped.
  std::string echo_header;
  std::string echo;        ///< Expected value of that header.
  TimePoint send_before{}; ///< Fail instead of sending at or after this time.
  TimePoint deadline{};    ///< Sent to the upstream as time left.
  TimePoint give_up{};     ///< The attempt is aborted at this time.
};

/// @brief How much of a request body an attempt has sent.
enum class SentBody
{
  Whole,   ///< All of it, or the request has none, or nothing was sent.
  Partial, ///< A part, without the end.
  Changed  ///< An end, but not after all bytes that the caller sent.
};

/// @brief Progress or end of an attempt.
struct AttemptEvent
{
  enum class Kind
  {
    Head, ///< The head has arrived; the body waits for ForwardResponse.
    End,  ///< The attempt is over.
  };

  std::uint64_t id = 0;
  Kind kind = Kind::End;
  std::uint64_t connection = 0; ///< Number of its connection; 0 for none.
  ResponseHead head;            ///< With Head.
  bool whole = false;           ///< With End: the response is complete.
  bool sent = true;             ///< With End: a byte may have been sent.
  /// With End: the attempt could not read the request's body any more, as the
  /// caller broke it off, the request was answered, or the bytes are not held.
  bool body_gone = false;
  SentBody sent_body = SentBody::Whole; ///< With End.
  bool kept = false; ///< With End: its connection went back to the pool.
  /// With End: the endpoint's process has ended while it had the request.
  bool endpoint_ended = false;
  bool stale = false;     ///< With End: the reused connection was dead.
  std::string error;      ///< With End, if not complete.
  std::string kept_body;  ///< With End: the body, if small enough.
  bool body_kept = false; ///< With End: captured_body is all of the body.
};

/// @brief Client that sends requests to upstreams, for the dispatcher.
///
/// Its methods are called on the dispatcher's thread.
class UpstreamIo
{
public:
  virtual ~UpstreamIo() = default;

  /// @brief Starts an attempt, which reports its events.
  virtual void Start(AttemptOrder aParams) = 0;

  /// @brief Starts to forward the response body to the exchange.
  virtual void Accept(std::uint64_t aAttemptId) = 0;

  /// @brief Aborts an attempt; an End event follows.
  virtual void Cancel(std::uint64_t aAttemptId) = 0;
};

/// @brief Options of the HTTP client for upstreams.
struct UpstreamIoOptions
{
  std::size_t ring = 8192;              ///< Capacity of the command queue.
  std::size_t pool_per_endpoint = 8;    ///< Idle connections per endpoint.
  Milliseconds connect_timeout{ 1000 }; ///< For a new connection.
  /// Longest reuse of an idle connection; Keep-Alive headers may shorten it.
  Milliseconds proven_for{ 8000 };
};

/// @brief Upstream client over HTTP/1.1, with a thread of its own.
class UpstreamIoDuty
  : public Duty
  , public UpstreamIo
{};

/// @param aOnEvent Receives the events, on the client's thread.
std::unique_ptr<UpstreamIoDuty>
MakeUpstreamIo(UpstreamIoOptions aOptions,
               std::function<void(AttemptEvent)> aOnEvent);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_UPSTREAM_IO_H
