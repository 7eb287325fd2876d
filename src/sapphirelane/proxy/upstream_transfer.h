#ifndef SAPPHIRELANE_PROXY_UPSTREAM_TRANSFER_H
#define SAPPHIRELANE_PROXY_UPSTREAM_TRANSFER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include "sapphirelane/proxy/connection_pool.h"
#include "sapphirelane/proxy/stream_body.h"
#include "sapphirelane/proxy/upstream_io.h"

namespace sapphirelane {

/// @brief What a transfer needs of the duty that runs it.
struct TransferContext
{
  boost::asio::io_context& io;
  UpstreamIoOptions options;
  ConnectionPool& pool;
  std::function<void(AttemptEvent)> on_event;
  std::function<void(std::uint64_t)> on_done; ///< Forgets the transfer.
};

/// @brief One attempt: sends a request and reads its answer.
///
/// Runs on the duty's thread; callers' threads only post a wake-up.
class UpstreamTransfer : public std::enable_shared_from_this<UpstreamTransfer>
{
public:
  UpstreamTransfer(AttemptOrder aOrder, TransferContext& aContext);

  /// @brief Takes a kept connection or makes a new one.
  void Start(TimePoint aNow);

  /// @brief Lets the answer's body flow into the exchange.
  void Accept();

  /// @brief Breaks the attempt off.
  void Cancel();

private:
  void TakeWakes();

  using Parser = boost::beast::http::response_parser<StreamBody>;
  using Error = boost::system::error_code;

  void Connect();
  void OnConnected(const Error& aError);
  void StartTimer(TimePoint aWhen, const char* aWhat);
  void OnTimer(const char* aWhat);

  void Send(TimePoint aNow);
  std::string HeadText(TimePoint aNow) const;
  void SendMore();
  bool TakeRequestBody();
  void OnSent(const Error& aError);

  void Read();
  void OnRead(const Error& aError, std::size_t aSize);
  void OnInputEnd(const Error& aError);
  bool Parse();
  void OnAnswerHead();
  void OnAnswerWhole();
  void ReportHead();
  void Flush();
  void OnWake();

  /// Ends the attempt, once.
  void Finish(bool aWhole, const std::string& aError);
  bool ReleaseConnection();
  void Forget();

  AttemptOrder m_order;
  TransferContext& m_context;
  boost::asio::steady_timer m_timer;
  UpstreamConnectionPtr m_connection;
  bool m_connecting = false;
  std::string m_output;
  bool m_writing = false;
  bool m_requestWhole = false; ///< All of it was given to the socket.
  bool m_sent = false;         ///< A byte may have left.
  bool m_callerBroke = false;
  std::optional<Parser> m_parser;
  bool m_reading = false;
  bool m_anyAnswer = false; ///< A byte of an answer has come.
  bool m_foreign = false;   ///< The answer that comes in is another request's.
  bool m_mayKeep = true;    ///< The connection may serve another attempt.
  bool m_headRead = false;
  bool m_headReported = false;
  ResponseHead m_head;
  std::string m_held; ///< Of the body; not given to the exchange yet.
  std::string m_kept; ///< The body from its start, while it is small.
  bool m_keptWhole = true;
  bool m_accepted = false;
  bool m_ended = false;
  bool m_whole = false;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_UPSTREAM_TRANSFER_H
