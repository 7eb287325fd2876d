#ifndef SAPPHIRELANE_PROXY_EXCHANGE_H
#define SAPPHIRELANE_PROXY_EXCHANGE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "sapphirelane/proxy/http.h"

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

/// @brief Result of reading from a body stream.
enum class StreamResult
{
  Some,  ///< Bytes were read.
  Wait,  ///< No bytes yet; the reader is woken later.
  End,   ///< The body is complete.
  Broken ///< The body ended early.
};

/// @brief How much of a request body has arrived from the caller.
struct BodyProgress
{
  std::uint64_t bytes = 0;
  bool complete = false; ///< All of it has arrived.
};

/// @brief One request and its response, shared by the threads that handle it.
///
/// Both bodies stream through bounded buffers with backpressure: a side that
/// finds its buffer full or empty waits until the other side wakes it.
class Exchange
{
public:
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

  /// @brief Reads bytes of the request body.
  StreamResult UpstreamRead(char* aBytes,
                            std::size_t aMaxBytes,
                            std::size_t& aRead);

  /// @brief How much of the request body the caller has sent, read or not.
  BodyProgress RequestProgress();

  /// @brief Makes the request body readable from its start again.
  /// @return False if more of it was read than the buffer keeps.
  bool RewindRequest();

  /// @brief Buffers bytes of the response body.
  /// @return False if they do not fit yet; the upstream side is woken later.
  bool UpstreamWrite(const char* aBytes, std::size_t aSize);

  /// @brief Marks the response body as complete.
  void UpstreamFinish();

  /// @brief Marks the response body as aborted.
  void UpstreamBreak();

  /// @brief Sets the callback that wakes the upstream side; empty to detach.
  void SetUpstreamWake(std::function<void()> aWakeup);

  // Called by the dispatch thread.

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
  void DiscardRequestBody();
  void KeepForReplay(const char* aBytes, std::size_t aSize);

  const RequestHead m_head;
  const std::size_t m_bufferBytes;

  std::mutex m_mutex;
  std::unique_ptr<CallerPort> m_connection;
  bool m_callerSuspended = false;
  bool m_callerDisconnected = false;
  std::function<void()> m_upstreamWakeup;

  std::string m_requestBody;
  std::uint64_t m_receivedBytes = 0; ///< Of the request body.
  std::string m_replay; ///< Body bytes read so far, while they fit the buffer.
  bool m_replayable = true; ///< m_replay holds all bytes read.
  bool m_requestComplete = false;
  bool m_requestAborted = false;
  bool m_discardRequestBody = false; ///< Discard further body bytes.

  std::optional<ResponseHead> m_responseHead;
  std::string m_responseBody;
  bool m_responseComplete = false;
  bool m_responseAborted = false;
  bool m_responseRead = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_EXCHANGE_H
