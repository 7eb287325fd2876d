#ifndef SAPPHIRELANE_PROXY_EXCHANGE_H
#define SAPPHIRELANE_PROXY_EXCHANGE_H

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "sapphirelane/proxy/http.h"

namespace sapphirelane {

/// @brief Lets a caller's connection wait and go on.
class CallerPort
{
public:
  virtual ~CallerPort() = default;

  /// @brief Stops the connection's callbacks; called from within one.
  virtual void Suspend() = 0;

  /// @brief Lets them go on; called from any thread.
  virtual void Resume() = 0;

  /// @brief Tells whether the caller has closed its side while suspended.
  virtual bool IsClosed() const = 0;
};

/// @brief How a piece of streaming ended.
enum class StreamResult
{
  Some,  ///< Bytes were moved.
  Wait,  ///< Nothing now; the side is woken later.
  End,   ///< The stream ended whole.
  Broken ///< The stream ended before its end.
};

/// @brief One request and its answer, shared by the threads that work on it.
///
/// Both bodies stream through buffers of a fixed size. A side that finds its
/// buffer full or empty waits and is woken by the other side.
class Exchange
{
public:
  Exchange(RequestHead aHead, std::size_t aBufferBytes);

  const RequestHead& Head() const { return m_head; }

  // Called by the caller's thread.

  /// @brief Sets the caller's port; before any other call.
  void SetPort(std::unique_ptr<CallerPort> aPort);

  /// @brief Takes in body bytes; suspends the caller if none fits.
  /// @return Bytes taken.
  std::size_t CallerWrite(const char* aBytes, std::size_t aSize);

  /// @brief Notes that the request's body is whole.
  void CallerFinish();

  /// @brief Notes that the request's body will not come whole.
  void CallerBreak();

  /// @brief Gives the answer's head; suspends the caller if there is none.
  std::optional<ResponseHead> CallerTakeHead();

  /// @brief Gives body bytes of the answer; suspends the caller if none.
  StreamResult CallerRead(char* aBytes, std::size_t aMost, std::size_t& aRead);

  /// @brief Notes that the connection is finished with this exchange.
  /// @return True if the answer had been handed over whole.
  bool CallerLeave();

  // Called by the upstream's thread.

  StreamResult UpstreamRead(char* aBytes,
                            std::size_t aMost,
                            std::size_t& aRead);

  /// @brief Makes the body readable from its start once more.
  /// @return False if too much of it was read to be kept.
  bool RewindRequest();

  /// @brief Adds bytes of the answer's body.
  /// @return False if they do not fit now; the upstream is woken later.
  bool UpstreamWrite(const char* aBytes, std::size_t aSize);

  void UpstreamFinish();
  void UpstreamBreak();

  /// @brief Sets what wakes the upstream side; empty to detach.
  void SetUpstreamWake(std::function<void()> aWake);

  // Called by the thread that decides.

  /// @brief Sets the answer's head, once, and wakes the caller.
  /// @return False if there is one already.
  bool Answer(ResponseHead aHead);

  /// @brief Answers with a whole body.
  bool AnswerWhole(ResponseHead aHead, const std::string& aBody);

  /// @brief Tells whether the caller has gone.
  bool IsCallerGone();

private:
  void WakeCaller();
  void WakeUpstream();
  void SuspendCaller();
  void DiscardRequest();
  void Keep(const char* aBytes, std::size_t aSize);

  const RequestHead m_head;
  const std::size_t m_bufferBytes;

  std::mutex m_mutex;
  std::unique_ptr<CallerPort> m_port;
  bool m_suspended = false;
  bool m_callerGone = false;
  std::function<void()> m_wakeUpstream;

  std::string m_request;
  std::string m_replay;     ///< What was read, while it fits the buffer.
  bool m_replayable = true; ///< m_replay is all that was read.
  bool m_requestWhole = false;
  bool m_requestBroken = false;
  bool m_discardRequest = false; ///< Nobody will read the rest.

  std::optional<ResponseHead> m_answer;
  std::string m_response;
  bool m_responseWhole = false;
  bool m_responseBroken = false;
  bool m_responseRead = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_EXCHANGE_H
