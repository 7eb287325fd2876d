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
  , m_requestBody(aBufferBytes)
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
  for (const auto& [attempt, wake] : m_upstreamWakeups) {
    wake();
  }
}

void
Exchange::WithdrawRequest()
{
  m_requestBody.Withdraw();
  WakeCaller();
  WakeUpstream();
}

std::size_t
Exchange::CallerWrite(const char* aBytes, std::size_t aSize)
{
  Lock lock(m_mutex);
  const std::size_t size = m_requestBody.Write(aBytes, aSize);
  if (size == 0 && aSize > 0) {
    SuspendCaller();
    return 0;
  }
  WakeUpstream();
  return size;
}

void
Exchange::CallerFinish()
{
  Lock lock(m_mutex);
  m_requestBody.Finish();
  WakeUpstream();
}

void
Exchange::CallerBreak()
{
  Lock lock(m_mutex);
  m_requestBody.Break();
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
  m_requestBody.Break();
  m_connection.reset();
  WakeUpstream();
  return m_responseHead.has_value() && m_responseComplete &&
         m_responseBody.empty();
}

std::optional<Exchange::AttemptId>
Exchange::AddAttempt(std::function<void()> aWake)
{
  Lock lock(m_mutex);
  const auto attempt = m_requestBody.Open();
  if (attempt) {
    m_upstreamWakeups[*attempt] = std::move(aWake);
  }
  return attempt;
}

bool
Exchange::CanAddAttempt()
{
  Lock lock(m_mutex);
  return m_requestBody.CanOpen();
}

void
Exchange::RemoveAttempt(AttemptId aAttempt)
{
  CloseRequestBody(aAttempt);
  Lock lock(m_mutex);
  m_upstreamWakeups.erase(aAttempt);
}

void
Exchange::CloseRequestBody(AttemptId aAttempt)
{
  Lock lock(m_mutex);
  m_requestBody.Close(aAttempt);
  WakeCaller(); // The next attempt reads on from another position.
}

StreamResult
Exchange::UpstreamRead(AttemptId aAttempt,
                       char* aBytes,
                       std::size_t aMaxBytes,
                       std::size_t& aRead)
{
  Lock lock(m_mutex);
  const StreamResult result =
    m_requestBody.Read(aAttempt, aBytes, aMaxBytes, aRead);
  if (result == StreamResult::Some) {
    WakeCaller();
  }
  return result;
}

BodyProgress
Exchange::RequestProgress()
{
  Lock lock(m_mutex);
  return m_requestBody.Progress();
}

bool
Exchange::IsAnswered()
{
  Lock lock(m_mutex);
  return m_requestBody.IsWithdrawn();
}

bool
Exchange::UpstreamWrite(const char* aBytes, std::size_t aSize)
{
  Lock lock(m_mutex);
  if (m_callerDisconnected || m_answeredWhole) {
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
  if (!m_responseComplete && !m_responseAborted) {
    m_responseComplete = true;
    WithdrawRequest();
  }
}

void
Exchange::UpstreamBreak()
{
  Lock lock(m_mutex);
  if (m_responseComplete || m_responseAborted) {
    return;
  }
  m_responseAborted = true;
  WithdrawRequest();
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
  m_responseBody = aBody;
  m_answeredWhole = true;
  m_responseComplete = true;
  WithdrawRequest();
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
