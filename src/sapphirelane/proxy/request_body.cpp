#include "sapphirelane/proxy/request_body.h"

#include <algorithm>

namespace sapphirelane {

std::size_t
RequestBody::Write(const char* aBytes, std::size_t aSize)
{
  if (m_withdrawn) {
    m_received += aSize;
    return aSize;
  }
  const std::size_t unread = m_received - FastestPosition();
  const std::size_t size =
    std::min(aSize, m_bufferBytes - std::min(m_bufferBytes, unread));
  m_bytes.append(aBytes, size);
  m_received += size;
  return size;
}

void
RequestBody::Finish()
{
  if (m_end == End::Open) {
    m_end = End::Complete;
  }
}

void
RequestBody::Break()
{
  if (m_end == End::Open) {
    m_end = End::Broken;
  }
}

void
RequestBody::Withdraw()
{
  m_withdrawn = true;
  m_bytes.clear();
}

std::optional<RequestBody::ReaderId>
RequestBody::Open()
{
  if (!CanOpen()) {
    return std::nullopt;
  }
  m_positions[++m_lastReader] = 0;
  return m_lastReader;
}

StreamResult
RequestBody::Read(ReaderId aReader,
                  char* aBytes,
                  std::size_t aMaxBytes,
                  std::size_t& aRead)
{
  aRead = 0;
  const auto reader = m_positions.find(aReader);
  if (m_withdrawn || reader == m_positions.end() ||
      reader->second < m_firstHeld) {
    return StreamResult::Broken;
  }
  std::uint64_t& position = reader->second;
  if (position < m_received) {
    const std::size_t offset = position - m_firstHeld;
    aRead = std::min(aMaxBytes, m_bytes.size() - offset);
    std::copy_n(m_bytes.data() + offset, aRead, aBytes);
    position += aRead;
    m_furthestRead = std::max(m_furthestRead, position);
    DropBytes();
    return StreamResult::Some;
  }
  switch (m_end) {
    case End::Complete:
      return StreamResult::End;
    case End::Broken:
      return StreamResult::Broken;
    case End::Open:
      break;
  }
  return StreamResult::Wait;
}

void
RequestBody::Close(ReaderId aReader)
{
  m_positions.erase(aReader);
}

/// Position of the fastest open reader; that of the first byte held if there is
/// none.
std::uint64_t
RequestBody::FastestPosition() const
{
  std::uint64_t fastest = m_firstHeld;
  for (const auto& [reader, position] : m_positions) {
    fastest = std::max(fastest, position);
  }
  return fastest;
}

/// Drops the bytes that every reader has read, and those that are further
/// behind the fastest one than the buffer size. The start stays as long as a
/// further reader may begin there.
void
RequestBody::DropBytes()
{
  if (m_furthestRead <= m_bufferBytes) {
    return;
  }
  std::uint64_t slowest = m_furthestRead;
  for (const auto& [reader, position] : m_positions) {
    slowest = std::min(slowest, position);
  }
  const std::uint64_t needed =
    std::max(slowest, m_furthestRead - m_bufferBytes);
  if (needed > m_firstHeld) {
    m_bytes.erase(0, needed - m_firstHeld);
    m_firstHeld = needed;
  }
}

} // namespace sapphirelane
