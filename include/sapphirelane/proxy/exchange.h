#ifndef SAPPHIRELANE_PROXY_EXCHANGE_H
#define SAPPHIRELANE_PROXY_EXCHANGE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "sapphirelane/proxy/http.h"
#include "sapphirelane/proxy/request_body.h"

namespace sapphirelane {

/// @brief Flow control of a caller's connection.
class CallerPort
{
public:
  virtual ~CallerPort() = default;

  /// @brief Suspends the connection's callbacks; called from within one.
  virtual void Suspend() = 0;

  /// @brief Resumes the callbacks; called from any thread.
  virtual void Resume() = 0;

  /// @brief Tells whether the caller has closed the connection while suspended.
  virtual bool IsClosed() const = 0;
};

/// @brief One request and its response, shared by the threads that handle it.
///
/// Both bodies stream through bounded buffers with backpressure: a side that
/// finds its buffer full or empty waits until the other side wakes it.
class Exchange
{
public:
  using AttemptId = RequestBody::ReaderId;

  Exchange(RequestHead aHead, std::size_t aBufferBytes);

  const RequestHead& Head() const { return m_head; }

  // Called by the caller's thread.

  /// @brief Sets the caller's connection; before any other call.
  void SetPort(std::unique_ptr<CallerPort> aConnection);

  /// @brief Buffers bytes of the request body; suspends the caller if none fit.
  /// @return Number of bytes buffered or discarded.
  std::size_t CallerWrite(const char* aBytes, std::size_t aSize);

  /// @brief Marks the request body as complete.
  void CallerFinish();

  /// @brief Marks the request body as aborted.
  void CallerBreak();

  /// @brief Returns the response head; suspends the caller if there is none
  /// yet.
  std::optional<ResponseHead> CallerTakeHead();

  /// @brief Reads bytes of the response body; suspends the caller if there are
  /// none yet.
  StreamResult CallerRead(char* aBytes,
                          std::size_t aMaxBytes,
                          std::size_t& aRead);

  /// @brief Detaches the caller's connection from this exchange.
  /// @return True if the caller has read the complete response.
  bool CallerLeave();

  // Called by the upstream's thread.

  /// @brief Adds an attempt, which reads the request body from its start.
  /// @param aWake Called when the attempt may go on.
  /// @return Empty if the start of the body is no longer held, or if the
  /// request is answered.
  std::optional<AttemptId> AddAttempt(std::function<void()> aWake);

  /// @brief Removes an attempt; its callback is not called any more.
  void RemoveAttempt(AttemptId aAttempt);

  /// @brief Reads bytes of the request body. Once the request is answered, the
  /// body is broken off for all attempts.
  StreamResult UpstreamRead(AttemptId aAttempt,
                            char* aBytes,
                            std::size_t aMaxBytes,
                            std::size_t& aRead);

  /// @brief Ends the reading of the request body, but not the attempt.
  void CloseRequestBody(AttemptId aAttempt);

  /// @brief How much of the request body the caller has sent, read or not.
  BodyProgress RequestProgress();

  /// @brief Whether the response is complete or broken off, so that no attempt
  /// is needed any more.
  bool IsAnswered();

  /// @brief Buffers bytes of the response body. They are dropped if the caller
  /// is gone, or if AnswerWhole gave another response.
  /// @return False if they do not fit yet; the upstream side is woken later.
  bool UpstreamWrite(const char* aBytes, std::size_t aSize);

  /// @brief Marks the response body as complete.
  void UpstreamFinish();

  /// @brief Marks the response body as aborted, unless it is complete.
  void UpstreamBreak();

  // Called by the dispatch thread.

  /// @brief Whether AddAttempt would succeed now.
  bool CanAddAttempt();

  /// @brief Sets the response head and wakes the caller.
  /// @return False if a head was set before.
  bool Answer(ResponseHead aHead);

  /// @brief Sets a complete response and wakes the caller.
  /// @return False if a head was set before.
  bool AnswerWhole(ResponseHead aHead, const std::string& aBody);

  /// @brief Tells whether the caller has disconnected.
  bool IsCallerGone();

private:
  void WakeCaller();
  void WakeUpstream();
  void SuspendCaller();

  /// Ends the request for all attempts, as its response has ended.
  void WithdrawRequest();

  const RequestHead m_head;
  const std::size_t m_bufferBytes;

  std::mutex m_mutex;
  std::unique_ptr<CallerPort> m_connection;
  bool m_callerSuspended = false;
  bool m_callerDisconnected = false;
  std::map<AttemptId, std::function<void()>> m_upstreamWakeups;

  RequestBody m_requestBody;

  std::optional<ResponseHead> m_responseHead;
  std::string m_responseBody;
  bool m_responseComplete = false;
  bool m_responseAborted = false;
  bool m_answeredWhole = false; ///< By AnswerWhole; no attempt writes to it.
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_EXCHANGE_H
