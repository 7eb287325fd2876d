#ifndef SAPPHIRELANE_PROXY_CALLER_SESSION_H
#define SAPPHIRELANE_PROXY_CALLER_SESSION_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "sapphirelane/proxy/exchange.h"
#include "sapphirelane/proxy/message_parser.h"
#include "sapphirelane/proxy/read_buffer.h"

namespace sapphirelane {

/// @brief Size and time limits that all sessions of a listener share.
struct SessionLimits
{
  std::size_t head_bytes = 32768;
  std::uint64_t body_bytes = 64ULL << 20U;
  std::size_t buffer_bytes = 256ULL << 10U;    ///< For each direction.
  Duration head_timeout = Milliseconds(10000); ///< From the head's first byte.
  Duration idle_timeout = Milliseconds(30000); ///< Without a pending request.
  /// For the first request of a new connection to arrive, once the listener
  /// stops.
  Duration first_request_timeout{ 0 };
};

/// @brief State of the listener that its sessions share.
struct SessionContext
{
  SessionLimits limits;
  HttpDialect dialect;
  std::uint64_t next_request_id = 1;
  bool close_after_response = false;   ///< Send "Connection: close".
  bool close_idle = false;             ///< Close idle connections.
  std::size_t unfinished_requests = 0; ///< Not yet fully answered.
  std::function<bool(ExchangePtr)> on_request;
};

/// @brief Server side of one caller's HTTP/1.1 connection.
///
/// Pipelined requests are processed concurrently, and their responses are
/// written in request order. All methods run on the listener's thread.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  CallerSession(Socket aSocket, SessionContext& aContext);

  /// @brief Starts reading requests.
  void Start(TimePoint aNow);

  /// @brief Rejects a head that is overdue, and closes an idle connection.
  void CheckTimeouts(TimePoint aNow);

  /// @brief Closes the connection if no request is pending and none can be
  /// under way: a new connection is given some time for its first request.
  void CloseIfIdle(TimePoint aNow);

  /// @brief Whether the next request of an idle connection is under way: the
  /// first one of a new connection, or one whose bytes were not read yet.
  bool AwaitsRequest(TimePoint aNow) const;

  /// @brief Closes the connection, on which no response is pending, and reads
  /// no further request.
  void EndInput();

  /// @brief Closes the connection at once, with any response incomplete.
  void Abort();

  bool IsOpen() const { return m_open; }

private:
  /// A request and the progress of writing its response.
  struct PipelinedRequest
  {
    ExchangePtr exchange;
    bool head_written = false;
    bool chunked = false;
    bool omits_body = false;        ///< The response has no body, as for HEAD.
    bool closes_connection = false; ///< Close after this response.
  };
  using PipelinedRequestPtr = std::shared_ptr<PipelinedRequest>;

  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aSize);

  /// Parses buffered input until it runs out or the pipeline is full.
  void ParseInput();
  bool ParseHead();
  bool ParseBody();

  /// Reads no further request once the listener stops and the response to one
  /// that was passed on can announce the close.
  /// @return True if the input has ended.
  bool EndInputIfStopping();
  void BeginRequest();
  bool ForwardRequestBody();
  void FinishRequestBody();

  /// Answers 400 to the request whose body is malformed and closes the
  /// connection.
  void RejectBody(const std::string& aDetail);

  /// Breaks the body off that is being read, and closes the connection behind
  /// its request's answer, which may have been written already.
  void StopReceiving();

  /// Answers malformed input with an error and closes the connection.
  void RejectInput(int aStatus, const std::string& aDetail);
  PipelinedRequestPtr AddToPipeline(RequestHead aHead);

  /// Writes the available part of the first response in the pipeline.
  void WriteResponses();
  bool AppendResponse(PipelinedRequest& aRequest);
  void AppendResponseHead(PipelinedRequest& aRequest,
                          const ResponseHead& aHead);
  void WriteOutput(bool aResponseComplete);
  void OnWritten(const boost::system::error_code& aError,
                 bool aResponseComplete);
  void FinishResponse();

  /// Closes the sending side and waits for the caller to close its own.
  void ShutdownGracefully();
  void Close();

  Socket m_socket;
  SessionContext& m_context;
  ReadBuffer m_input;
  std::optional<RequestParser> m_parser;
  PipelinedRequestPtr m_receiving; ///< Its body is being read.
  std::string m_undelivered; ///< Decoded, not yet accepted by the exchange.
  std::uint64_t m_receivedBytes = 0;
  std::deque<PipelinedRequestPtr> m_pipeline;
  std::string m_output;
  TimePoint m_startedAt{};
  bool m_hadRequest = false;
  TimePoint m_lastActive{};
  TimePoint m_headStarted{};
  bool m_headIncomplete = false; ///< Part of a head was received.
  bool m_reading = false;
  bool m_writing = false;
  bool m_parsing = false;
  bool m_inputEnded = false; ///< No further request is read.
  bool m_lingering = false;  ///< All is sent; waits for the caller to close.
  bool m_open = true;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_CALLER_SESSION_H
