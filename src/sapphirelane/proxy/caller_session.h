#ifndef SAPPHIRELANE_PROXY_CALLER_SESSION_H
#define SAPPHIRELANE_PROXY_CALLER_SESSION_H

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "sapphirelane/proxy/exchange.h"
#include "sapphirelane/proxy/stream_body.h"

namespace sapphirelane {

/// @brief Bounds that the sessions of one front share.
struct SessionLimits
{
  std::size_t head_bytes = 32768;
  std::uint64_t body_bytes = 64ULL << 20U;
  std::size_t buffer_bytes = 256ULL << 10U; ///< Held for each direction.
  Duration head_time = Milliseconds(10000); ///< From a head's first byte on.
  Duration idle = Milliseconds(30000);      ///< Without a request.
};

/// @brief What a session needs of its front.
struct SessionContext
{
  SessionLimits limits;
  HttpDialect dialect;
  std::uint64_t next_request = 1;
  bool closing = false; ///< Each answer ends its connection.
  std::size_t open = 0; ///< Requests whose answer is not handed over whole.
  std::function<bool(ExchangePtr)> on_request;
};

/// @brief One caller's connection: reads requests ahead, answers in order.
///
/// Requests that follow one another without waiting are worked on at the same
/// time. All methods run on the front's thread.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  CallerSession(Socket aSocket, SessionContext& aContext);

  /// @brief Begins to read.
  void Start(TimePoint aNow);

  /// @brief Ends the connection if it has been silent for too long.
  void CheckTime(TimePoint aNow);

  /// @brief Ends the connection if no request is under way.
  void CloseIfIdle();

  /// @brief Breaks the connection off.
  void Abort();

  bool IsOpen() const { return m_open; }

private:
  using Parser = boost::beast::http::request_parser<StreamBody>;

  /// One request and the way of its answer to the caller.
  struct Turn
  {
    ExchangePtr exchange;
    bool head_written = false;
    bool chunked = false;
    bool bodyless = false; ///< The answer's body is not written (HEAD).
    bool closes = false;   ///< The connection ends with this answer.
  };
  using TurnPtr = std::shared_ptr<Turn>;

  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aSize);

  /// Takes as many requests out of the buffer as may be taken now.
  void Parse();
  bool ParseHead();
  bool ParseBody();
  void BeginRequest();
  bool GiveBody();
  void EndRequest();

  /// Answers bytes that are no request, and ends the connection.
  void RefuseBytes(int aStatus, const std::string& aDetail);
  TurnPtr AddTurn(RequestHead aHead);

  /// Writes what the first turns have ready.
  void Pump();
  bool FillOutput(Turn& aTurn);
  void WriteHead(Turn& aTurn, const ResponseHead& aHead);
  void Write(bool aTurnDone);
  void OnWritten(const boost::system::error_code& aError, bool aTurnDone);
  void EndTurn();

  /// Tells the caller that no more will come and waits for its end.
  void CloseGently();
  void Close();

  Socket m_socket;
  SessionContext& m_context;
  boost::beast::flat_buffer m_input;
  std::optional<Parser> m_parser;
  TurnPtr m_incoming; ///< Whose request's body is being read.
  std::string m_body; ///< Decoded, not taken by the exchange yet.
  std::uint64_t m_bodyBytes = 0;
  std::deque<TurnPtr> m_turns;
  std::string m_output;
  TimePoint m_lastActive{};
  TimePoint m_headBegun{};
  bool m_headPending = false; ///< Part of a head has come.
  bool m_reading = false;
  bool m_writing = false;
  bool m_parsing = false;
  bool m_endsInput = false; ///< No further request is read.
  bool m_lingers = false;   ///< Everything is written; waits for the end.
  bool m_open = true;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_CALLER_SESSION_H
