#ifndef SAPPHIRELANE_PROXY_READ_BUFFER_H
#define SAPPHIRELANE_PROXY_READ_BUFFER_H

#include <cstddef>
#include <string_view>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace sapphirelane {

/// @brief Input of a connection: a block that the next read fills, and the
/// bytes that wait for the parser.
///
/// The two are apart, so that bytes may be consumed while a read is under way.
class ReadBuffer
{
public:
  /// @brief Memory for one read, which stays valid until Commit().
  boost::asio::mutable_buffer Prepare(std::size_t aSize)
  {
    m_block.resize(aSize);
    return boost::asio::buffer(m_block);
  }

  /// @brief Adds the bytes that were read to those that wait.
  void Commit(std::size_t aSize)
  {
    const auto target = m_waiting.prepare(aSize);
    m_waiting.commit(
      boost::asio::buffer_copy(target, boost::asio::buffer(m_block, aSize)));
  }

  std::size_t Size() const { return m_waiting.size(); }

  boost::asio::const_buffer Data() const { return m_waiting.cdata(); }

  std::string_view Text() const
  {
    return { static_cast<const char*>(Data().data()), Size() };
  }

  void Consume(std::size_t aSize) { m_waiting.consume(aSize); }

  void Clear() { m_waiting.clear(); }

private:
  std::vector<char> m_block;
  boost::beast::flat_buffer m_waiting;
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_READ_BUFFER_H
