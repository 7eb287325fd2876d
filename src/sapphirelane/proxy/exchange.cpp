#include "sapphirelane/proxy/exchange.h"

#include <algorithm>
#include <utility>

namespace sapphirelane {

namespace {

using Lock = std::lock_guard<std::mutex>;

std::size_t
TakeBytes(std::string& aBuffer, char* aBytes, std::size_t aMost)
{
  const std::size_t size = std::min(aMost, aBuffer.size());
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
Exchange::SetPort(std::unique_ptr<CallerPort> aPort)
{
  m_port = std::move(aPort);
}

void
Exchange::SuspendCaller()
{
  m_suspended = true;
  m_port->Suspend();
}

void
Exchange::WakeCaller()
{
  if (m_suspended && !m_callerGone) {
    m_suspended = false;
    m_port->Resume();
  }
}

void
Exchange::WakeUpstream()
{
  if (m_wakeUpstream) {
    m_wakeUpstream();
  }
}

void
Exchange::DiscardRequest()
{
  m_discardRequest = true;
  m_request.clear();
}

std::size_t
Exchange::CallerWrite(const char* aBytes, std::size_t aSize)
{
  Lock lock(m_mutex);
  if (m_discardRequest) {
    return aSize;
  }
  const std::size_t space =
    m_bufferBytes - std::min(m_bufferBytes, m_request.size());
  const std::size_t size = std::min(space, aSize);
  if (size == 0 && aSize > 0) {
    SuspendCaller();
    return 0;
  }
  m_request.append(aBytes, size);
  WakeUpstream();
  return size;
}

void
Exchange::CallerFinish()
{
  Lock lock(m_mutex);
  m_requestWhole = true;
  WakeUpstream();
}

void
Exchange::CallerBreak()
{
  Lock lock(m_mutex);
  m_requestBroken = true;
  WakeUpstream();
}

std::optional<ResponseHead>
Exchange::CallerTakeHead()
{
  Lock lock(m_mutex);
  if (!m_answer) {
    SuspendCaller();
  }
  return m_answer;
}

StreamResult
Exchange::CallerRead(char* aBytes, std::size_t aMost, std::size_t& aRead)
{
  Lock lock(m_mutex);
  aRead = TakeBytes(m_response, aBytes, aMost);
  if (aRead > 0) {
    WakeUpstream();
    return StreamResult::Some;
  }
  if (m_responseBroken) {
    return StreamResult::Broken;
  }
  if (m_responseWhole) {
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
  m_callerGone = true;
  if (!m_requestWhole) {
    m_requestBroken = true;
  }
  m_port.reset();
  WakeUpstream();
  return m_answer.has_value() && m_responseWhole && m_response.empty();
}

StreamResult
Exchange::UpstreamRead(char* aBytes, std::size_t aMost, std::size_t& aRead)
{
  Lock lock(m_mutex);
  aRead = TakeBytes(m_request, aBytes, aMost);
  if (aRead > 0) {
    Keep(aBytes, aRead);
    WakeCaller();
    return StreamResult::Some;
  }
  if (m_requestWhole) {
    return StreamResult::End;
  }
  return m_requestBroken ? StreamResult::Broken : StreamResult::Wait;
}

void
Exchange::Keep(const char* aBytes, std::size_t aSize)
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
  m_request.insert(0, m_replay);
  m_replay.clear();
  return true;
}

bool
Exchange::UpstreamWrite(const char* aBytes, std::size_t aSize)
{
  Lock lock(m_mutex);
  if (m_callerGone) {
    return true;
  }
  if (!m_response.empty() && m_response.size() + aSize > m_bufferBytes) {
    return false;
  }
  m_response.append(aBytes, aSize);
  WakeCaller();
  return true;
}

void
Exchange::UpstreamFinish()
{
  Lock lock(m_mutex);
  m_responseWhole = true;
  DiscardRequest();
  WakeCaller();
}

void
Exchange::UpstreamBreak()
{
  Lock lock(m_mutex);
  m_responseBroken = true;
  DiscardRequest();
  WakeCaller();
}

void
Exchange::SetUpstreamWake(std::function<void()> aWake)
{
  Lock lock(m_mutex);
  m_wakeUpstream = std::move(aWake);
}

bool
Exchange::Answer(ResponseHead aHead)
{
  Lock lock(m_mutex);
  if (m_answer) {
    return false;
  }
  m_answer = std::move(aHead);
  WakeCaller();
  return true;
}

bool
Exchange::AnswerWhole(ResponseHead aHead, const std::string& aBody)
{
  Lock lock(m_mutex);
  if (m_answer) {
    return false;
  }
  aHead.length = aBody.size();
  m_answer = std::move(aHead);
  DiscardRequest();
  m_response = aBody;
  m_responseWhole = true;
  WakeCaller();
  return true;
}

bool
Exchange::IsCallerGone()
{
  Lock lock(m_mutex);
  return m_callerGone || (m_suspended && m_port->IsClosed());
}

} // namespace sapphirelane
