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
  const std::size_t unread = m_received - SlowestPosition();
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
  if (m_withdrawn || reader == m_positions.end()) {
    return StreamResult::Broken;
  }
  std::uint64_t& position = reader->second;
  if (position < m_received) {
    const std::size_t offset = position - m_firstHeld;
    aRead = std::min(aMaxBytes, m_bytes.size() - offset);
    std::copy_n(m_bytes.data() + offset, aRead, aBytes);
    position += aRead;
    m_furthestRead = std::max(m_furthestRead, position);
    DropBytesNobodyNeeds();
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
  DropBytesNobodyNeeds();
}

/// Position up to which no open reader needs the bytes; the first one that is
/// held if there is no reader.
std::uint64_t
RequestBody::SlowestPosition() const
{
  std::uint64_t slowest = m_positions.empty() ? m_firstHeld : m_received;
  for (const auto& [reader, position] : m_positions) {
    slowest = std::min(slowest, position);
  }
  return slowest;
}

void
RequestBody::DropBytesNobodyNeeds()
{
  const bool keepsStart = m_furthestRead <= m_bufferBytes;
  if (keepsStart || m_withdrawn) {
    return;
  }
  // Without a reader, none can be added any more.
  const std::uint64_t needed =
    m_positions.empty() ? m_received : SlowestPosition();
  m_bytes.erase(0, needed - m_firstHeld);
  m_firstHeld = needed;
}

} // namespace sapphirelane
