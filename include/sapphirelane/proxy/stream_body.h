#ifndef SAPPHIRELANE_PROXY_STREAM_BODY_H
#define SAPPHIRELANE_PROXY_STREAM_BODY_H

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace sapphirelane {

/// @brief Body of the HTTP library's parser that collects what was decoded.
///
/// The bytes are taken out after each step of the parser, so that a body of any
/// size needs no more memory than one step. The library looks for the names of
/// the class and its methods.
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
