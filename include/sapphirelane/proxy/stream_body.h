#ifndef SAPPHIRELANE_PROXY_STREAM_BODY_H
#define SAPPHIRELANE_PROXY_STREAM_BODY_H

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace sapphirelane {

/// @brief Body type for Boost.Beast's parser that collects the decoded bytes.
///
/// The session or transfer moves the bytes out after each call of the parser,
/// so that memory does not grow with the size of the body. Boost.Beast requires
/// the names of the nested class and of its methods.
struct StreamBody
{
  using value_type = std::string;

  class reader // NOLINT(readability-identifier-naming)
  {
  public:
    template<bool isRequest, typename Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*aHeader*/,
           value_type& aBody)
      : m_body(aBody)
    {
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void init(const boost::optional<std::uint64_t>& /*aLength*/,
              boost::beast::error_code& aError)
    {
      aError = {};
    }

    template<typename Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming)
    std::size_t put(const Buffers& aBuffers, boost::beast::error_code& aError)
    {
      aError = {};
      const std::size_t size = boost::asio::buffer_size(aBuffers);
      const std::size_t before = m_body.size();
      m_body.resize(before + size);
      boost::asio::buffer_copy(
        boost::asio::buffer(m_body.data() + before, size), aBuffers);
      return size;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void finish(boost::beast::error_code& aError) { aError = {}; }

  private:
    value_type& m_body;
  };
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_STREAM_BODY_H
