#include "sapphirelane/proxy/exchange.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

using Lock = std::lock_guard<std::mutex>;

std::size_t
PopBytes(std::string& aBuffer, char* aBytes, std::size_t aMaxBytes)
{
  const std::size_t size = std::min(aMaxBytes, aBuffer.size());
  std::copy_n(aBuffer.data(), size, aBytes);
  aBuffer.erase(0, size);
  return size;
}

} // namespace

Exchange::Exchange(RequestHead aHead, std::size_t aBufferBytes)
  : m_head(std::move(aHead))
  , m_bufferBytes(aBufferBytes)
{
}

void
Exchange::SetPort(std::unique_ptr<CallerPort> aConnection)
{
  m_connection = std::move(aConnection);
}

void
Exchange::SuspendCaller()
{
  m_callerSuspended = true;
  m_connection->Suspend();
}

void
Exchange::WakeCaller()
{
  if (m_callerSuspended && !m_callerDisconnected) {
    m_callerSuspended = false;
    m_connection->Resume();
  }
}

void
Exchange::WakeUpstream()
{
  if (m_upstreamWakeup) {
    m_upstreamWakeup();
  }
}

void
Exchange::DiscardRequestBody()
{
  m_discardRequestBody = true;
  m_requestBody.clear();
}

std::size_t
Exchange::CallerWrite(const char* aBytes, std::size_t aSize)
{
  Lock lock(m_mutex);
  if (m_discardRequestBody) {
    m_receivedBytes += aSize;
    return aSize;
  }
  const std::size_t freeBytes =
    m_bufferBytes - std::min(m_bufferBytes, m_requestBody.size());
  const std::size_t size = std::min(freeBytes, aSize);
  if (size == 0 && aSize > 0) {
    SuspendCaller();
    return 0;
  }
  m_requestBody.append(aBytes, size);
  m_receivedBytes += size;
  WakeUpstream();
  return size;
}

void
Exchange::CallerFinish()
{
  Lock lock(m_mutex);
  m_requestComplete = true;
  WakeUpstream();
}

void
Exchange::CallerBreak()
{
  Lock lock(m_mutex);
  m_requestAborted = true;
  WakeUpstream();
}

std::optional<ResponseHead>
Exchange::CallerTakeHead()
{
  Lock lock(m_mutex);
  if (!m_responseHead) {
    SuspendCaller();
  }
  return m_responseHead;
}

StreamResult
Exchange::CallerRead(char* aBytes, std::size_t aMaxBytes, std::size_t& aRead)
{
  Lock lock(m_mutex);
  aRead = PopBytes(m_responseBody, aBytes, aMaxBytes);
  if (aRead > 0) {
    WakeUpstream();
    return StreamResult::Some;
  }
  if (m_responseAborted) {
    return StreamResult::Broken;
  }
  if (m_responseComplete) {
    m_responseRead = true;
    return StreamResult::End;
  }
  SuspendCaller();
  return StreamResult::Wait;
}

bool
Exchange::CallerLeave()
{
  Lock lock(m_mutex);
  m_callerDisconnected = true;
  if (!m_requestComplete) {
    m_requestAborted = true;
  }
  m_connection.reset();
  WakeUpstream();
  return m_responseHead.has_value() && m_responseComplete &&
         m_responseBody.empty();
}

StreamResult
Exchange::UpstreamRead(char* aBytes, std::size_t aMaxBytes, std::size_t& aRead)
{
  Lock lock(m_mutex);
  aRead = PopBytes(m_requestBody, aBytes, aMaxBytes);
  if (aRead > 0) {
    KeepForReplay(aBytes, aRead);
    WakeCaller();
    return StreamResult::Some;
  }
  if (m_requestComplete) {
    return StreamResult::End;
  }
  return m_requestAborted ? StreamResult::Broken : StreamResult::Wait;
}

BodyProgress
Exchange::RequestProgress()
{
  Lock lock(m_mutex);
  return { m_receivedBytes, m_requestComplete };
}

void
Exchange::KeepForReplay(const char* aBytes, std::size_t aSize)
{
  m_replayable = m_replayable && m_replay.size() + aSize <= m_bufferBytes;
  if (m_replayable) {
    m_replay.append(aBytes, aSize);
  } else {
    m_replay.clear();
  }
}

bool
Exchange::RewindRequest()
{
  Lock lock(m_mutex);
  if (!m_replayable) {
    return false;
  }
  m_requestBody.insert(0, m_replay);
  m_replay.clear();
  return true;
}

bool
Exchange::UpstreamWrite(const char* aBytes, std::size_t aSize)
{
  Lock lock(m_mutex);
  if (m_callerDisconnected) {
    return true;
  }
  if (!m_responseBody.empty() &&
      m_responseBody.size() + aSize > m_bufferBytes) {
    return false;
  }
  m_responseBody.append(aBytes, aSize);
  WakeCaller();
  return true;
}

void
Exchange::UpstreamFinish()
{
  Lock lock(m_mutex);
  m_responseComplete = true;
  DiscardRequestBody();
  WakeCaller();
}

void
Exchange::UpstreamBreak()
{
  Lock lock(m_mutex);
  m_responseAborted = true;
  DiscardRequestBody();
  WakeCaller();
}

void
Exchange::SetUpstreamWake(std::function<void()> aWakeup)
{
  Lock lock(m_mutex);
  m_upstreamWakeup = std::move(aWakeup);
}

bool
Exchange::Answer(ResponseHead aHead)
{
  Lock lock(m_mutex);
  if (m_responseHead) {
    return false;
  }
  m_responseHead = std::move(aHead);
  WakeCaller();
  return true;
}

bool
Exchange::AnswerWhole(ResponseHead aHead, const std::string& aBody)
{
  Lock lock(m_mutex);
  if (m_responseHead) {
    return false;
  }
  aHead.length = aBody.size();
  m_responseHead = std::move(aHead);
  DiscardRequestBody();
  m_responseBody = aBody;
  m_responseComplete = true;
  WakeCaller();
  return true;
}

bool
Exchange::IsCallerGone()
{
  Lock lock(m_mutex);
  return m_callerDisconnected ||
         (m_callerSuspended && m_connection->IsClosed());
}

} // namespace sapphirelane
