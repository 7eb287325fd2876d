#ifndef SAPPHIRELANE_PROXY_MESSAGE_PARSER_H
#define SAPPHIRELANE_PROXY_MESSAGE_PARSER_H

#include <cstdint>
#include <string>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include "sapphirelane/proxy/exchange.h"

namespace sapphirelane {

/// @brief Start line and header fields of an HTTP message.
struct MessageHead
{
  int version = 0;    ///< 11 for HTTP/1.1.
  std::string method; ///< Of a request.
  std::string target; ///< Of a request.
  int status = 0;     ///< Of a response.
  Headers headers;
};

/// @brief Incremental parser of an HTTP/1.1 message.
///
/// Boost.Beast's own parser stores every field, trailers included, in a
/// container that throws if a field has 65,534 bytes or more. This one reports
/// malformed or oversized input as an error code and never throws because of
/// it. Trailers and chunk extensions are read, bounded and dropped.
template<bool isRequest>
class MessageParser : public boost::beast::http::basic_parser<isRequest>
{
public:
  /// @param aMaxFramingBytes Largest total size of the trailers, and largest
  /// size of one chunk's extensions; http::error::header_limit if exceeded.
  explicit MessageParser(std::size_t aMaxFramingBytes)
    : m_maxFramingBytes(aMaxFramingBytes)
  {
  }

  /// @brief The head; complete once is_header_done() is true.
  const MessageHead& Head() const { return m_head; }

  /// @brief Removes and returns the body bytes that were decoded since the last
  /// call.
  std::string TakeBody() { return std::exchange(m_body, std::string()); }

private:
  using Error = boost::beast::error_code;
  using View = boost::beast::string_view;

  static std::string ToString(View aText)
  {
    return { aText.data(), aText.size() };
  }

  std::size_t AppendBody(View aBytes)
  {
    m_body.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  // The names of the overridden functions are Boost.Beast's.
  // NOLINTBEGIN(readability-identifier-naming)

  void on_request_impl(boost::beast::http::verb /*aVerb*/,
                       View aMethod,
                       View aTarget,
                       int aVersion,
                       Error& /*aError*/) override
  {
    m_head.method = ToString(aMethod);
    m_head.target = ToString(aTarget);
    m_head.version = aVersion;
  }

  void on_response_impl(int aStatus,
                        View /*aReason*/,
                        int aVersion,
                        Error& /*aError*/) override
  {
    m_head.status = aStatus;
    m_head.version = aVersion;
  }

  void on_field_impl(boost::beast::http::field /*aField*/,
                     View aName,
                     View aValue,
                     Error& aError) override
  {
    if (!this->is_header_done()) {
      m_head.headers.emplace_back(ToString(aName), ToString(aValue));
      return;
    }
    m_trailerBytes += aName.size() + aValue.size();
    CheckFramingSize(m_trailerBytes, aError);
  }

  void on_header_impl(Error& /*aError*/) override {}

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         Error& /*aError*/) override
  {
  }

  std::size_t on_body_impl(View aBytes, Error& /*aError*/) override
  {
    return AppendBody(aBytes);
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            View aExtensions,
                            Error& aError) override
  {
    CheckFramingSize(aExtensions.size(), aError);
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                 View aBytes,
                                 Error& /*aError*/) override
  {
    return AppendBody(aBytes);
  }

  void on_finish_impl(Error& /*aError*/) override {}

  // NOLINTEND(readability-identifier-naming)

  void CheckFramingSize(std::size_t aSize, Error& aError) const
  {
    if (aSize > m_maxFramingBytes) {
      aError = boost::beast::http::error::header_limit;
    }
  }

  std::size_t m_maxFramingBytes;
  MessageHead m_head;
  std::string m_body;
  std::size_t m_trailerBytes = 0;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_MESSAGE_PARSER_H
