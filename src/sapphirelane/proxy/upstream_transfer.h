#ifndef SAPPHIRELANE_PROXY_UPSTREAM_TRANSFER_H
#define SAPPHIRELANE_PROXY_UPSTREAM_TRANSFER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "sapphirelane/proxy/connection_pool.h"
#include "sapphirelane/proxy/message_parser.h"
#include "sapphirelane/proxy/upstream_io.h"

namespace sapphirelane {

/// @brief State of the upstream client that its transfers share.
struct TransferContext
{
  boost::asio::io_context& io;
  UpstreamIoOptions options;
  ConnectionPool& pool;
  std::function<void(AttemptEvent)> on_event;
  std::function<void(std::uint64_t)> on_done; ///< Deletes the transfer.
  std::uint64_t last_connection = 0;          ///< Number of the newest one.
};

/// @brief Performs one attempt: sends the request and reads its response.
///
/// Runs on the client's thread; other threads only post a wake-up to it.
class UpstreamTransfer : public std::enable_shared_from_this<UpstreamTransfer>
{
public:
  UpstreamTransfer(AttemptOrder aAttempt, TransferContext& aContext);

  /// @brief Acquires a pooled connection or opens a new one.
  void Start(TimePoint aNow);

  /// @brief Starts to forward the response body to the exchange.
  void ForwardResponse();

  /// @brief Aborts the attempt.
  void Cancel();

private:
  bool JoinExchange();
  bool FinishIfAnswered();

  using Error = boost::system::error_code;

  void Connect();
  void OnConnected(const Error& aError);
  void StartTimer(TimePoint aExpiry, const char* aReason);
  void OnTimeout(const char* aReason);

  void SendRequest(TimePoint aNow);
  std::string FormatRequestHead(TimePoint aNow) const;
  void WriteOutput();
  bool AppendRequestBody();
  void OnWritten(const Error& aError, std::size_t aSize);

  void Read();
  void OnRead(const Error& aError, std::size_t aSize);
  void OnReadError(const Error& aError);

  /// Decides whether the end of the stream is that of an answer without a
  /// length. Called only while no write is under way: a write that meets a
  /// reset consumes the socket's error, and a read then sees an end of the
  /// stream in place of the reset.
  void OnStreamEnd();
  void OnBrokenOff(const std::string& aError);

  /// Connects once more to the endpoint, which broke off before it answered, to
  /// learn whether its process has ended; then ends the attempt.
  void CheckEndpoint(const std::string& aError);
  void OnEndpointChecked(const Error& aResult,
                         const UpstreamConnectionPtr& aConnection,
                         const std::string& aError);
  std::optional<boost::asio::ip::tcp::endpoint> Address() const;
  bool ParseInput();
  void OnResponseHead();
  void OnResponseComplete();
  void ReportHead();
  void FlushResponse();
  void OnWake();

  /// Ends the attempt and reports its result; later calls have no effect.
  void Finish(bool aComplete, const std::string& aError);
  /// Compares the body that was sent to what the caller has sent, and logs a
  /// difference.
  SentBody CheckSentBody(const std::string& aError) const;
  void RecordStrayBytes();
  bool ReleaseConnection();
  void NotifyDone();

  AttemptOrder m_attempt;
  TransferContext& m_context;
  std::optional<Exchange::AttemptId> m_exchangeId; ///< Of this attempt.
  boost::asio::steady_timer m_timer;
  UpstreamConnectionPtr m_connection;
  bool m_connecting = false;
  std::string m_output;
  bool m_writing = false;
  bool m_writeFailed = false;
  bool m_requestComplete = false;    ///< All of it is written or in m_output.
  std::uint64_t m_sentBodyBytes = 0; ///< Those in m_output included.
  bool m_sentBodyEnd = false;        ///< So is the end of the body.
  bool m_maybeSent = false;          ///< A byte may have been sent.
  bool m_bodyGone = false;
  std::optional<ResponseParser> m_parser;
  bool m_reading = false;
  bool m_streamEnded = false;   ///< Of what the endpoint sends.
  bool m_checking = false;      ///< See CheckEndpoint.
  bool m_endpointEnded = false; ///< Its process is gone.
  bool m_receivedAny = false;   ///< A byte of a response has arrived.
  bool m_mismatched = false;    ///< The response is to another request.
  bool m_reusable = true;       ///< The connection may be reused.
  int m_interimResponses = 0;
  bool m_headRead = false;
  bool m_headReported = false;
  ResponseHead m_head;
  std::string m_buffered; ///< Body bytes not yet in the exchange.
  std::string m_captured; ///< Copy of the body while it is small.
  bool m_captureComplete = true;
  bool m_forwarding = false;
  bool m_finished = false;
  bool m_complete = false;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_UPSTREAM_TRANSFER_H
