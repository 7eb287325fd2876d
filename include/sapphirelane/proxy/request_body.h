#ifndef SAPPHIRELANE_PROXY_REQUEST_BODY_H
#define SAPPHIRELANE_PROXY_REQUEST_BODY_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sapphirelane {

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

/// @brief Body of one request, written by its caller and read by its attempts.
///
/// Each reader gets the bytes in order from the first one on, and End only
/// after the last byte. After Withdraw() no reader gets anything but Broken, so
/// that a part is never taken for the whole.
///
/// Holds at most twice the buffer size: bytes that the fastest reader has not
/// read, and as many behind it. A reader that falls further behind gets Broken,
/// so that one that stands still does not hold up the others. Not thread-safe.
class RequestBody
{
public:
  using ReaderId = std::uint32_t;

  explicit RequestBody(std::size_t aBufferBytes)
    : m_bufferBytes(aBufferBytes)
  {
  }

  // For the writer.

  /// @brief Appends bytes as far as the fastest reader leaves room.
  /// @return Number of bytes taken; after Withdraw() all, which are dropped.
  std::size_t Write(const char* aBytes, std::size_t aSize);

  /// @brief Marks the body as complete, unless it was broken off.
  void Finish();

  /// @brief Marks the body as broken off, unless it is complete.
  void Break();

  /// @brief Ends the body for all readers: the request needs no attempt more.
  void Withdraw();

  bool IsWithdrawn() const { return m_withdrawn; }

  BodyProgress Progress() const
  {
    return { m_received, m_end == End::Complete };
  }

  // For the readers.

  /// @brief Whether the first byte is still held and the body not withdrawn.
  bool CanOpen() const { return !m_withdrawn && m_firstHeld == 0; }

  /// @brief Adds a reader that begins with the first byte.
  /// @return Empty if CanOpen() is false.
  std::optional<ReaderId> Open();

  /// @brief Reads the next bytes; aRead is their number, above 0 with Some.
  StreamResult Read(ReaderId aReader,
                    char* aBytes,
                    std::size_t aMaxBytes,
                    std::size_t& aRead);

  /// @brief Removes a reader.
  void Close(ReaderId aReader);

private:
  enum class End
  {
    Open,
    Complete,
    Broken
  };

  std::uint64_t FastestPosition() const;
  void DropBytes();

  const std::size_t m_bufferBytes;
  std::string m_bytes;           ///< Those held, from m_firstHeld on.
  std::uint64_t m_firstHeld = 0; ///< Position in the body.
  std::uint64_t m_received = 0;
  std::uint64_t m_furthestRead = 0; ///< By any reader, closed ones included.
  End m_end = End::Open;
  bool m_withdrawn = false;
  ReaderId m_lastReader = 0;
  std::map<ReaderId, std::uint64_t> m_positions; ///< Of the open readers.
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_REQUEST_BODY_H
