#include "sapphirelane/store/http_client.h"

#include <catch2/catch.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/base/time.h"

namespace {

/// Sends of a request that are let through before one waits for a reset; 0 for
/// no limit.
std::atomic<int> g_sendsUntilReset{ 0 };
std::atomic<bool> g_awaitsReset{ false };

} // namespace

/// Takes the place of the system's for libcurl, to have a write meet a reset.
extern "C" ssize_t
send(int aSocket, const void* aBytes, std::size_t aSize, int aFlags)
{
  if (g_sendsUntilReset > 0 && --g_sendsUntilReset == 0) {
    g_awaitsReset = true;
    constexpr int kLongestMs = 20000;
    pollfd descriptor{ aSocket, 0, 0 };
    poll(&descriptor, 1, kLongestMs); // Tells errors and hang-ups only.
  }
  return sendto(aSocket, aBytes, aSize, aFlags, nullptr, 0);
}

namespace sapphirelane {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// How a server ends its connection.
enum class Ending
{
  Close,  ///< Both sides of the stream.
  Linger, ///< Its own side; it reads until the client closes the other one.
  Reset,
  ResetInWrite, ///< Once the client waits in a write, see g_awaitsReset.
};

/// Answers one request with fixed bytes.
class ScriptedServer
{
public:
  ScriptedServer(std::string aAnswer, Ending aEnding)
    : m_thread([this, answer = std::move(aAnswer), aEnding] {
      Serve(answer, aEnding);
    })
  {
  }

  ~ScriptedServer() { m_thread.join(); }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

private:
  void Serve(const std::string& aAnswer, Ending aEnding)
  {
    boost::system::error_code ignored;
    tcp::socket socket = m_acceptor.accept();
    std::string request;
    asio::read_until(
      socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
    asio::write(socket, asio::buffer(aAnswer), ignored);
    if (aEnding == Ending::Linger) {
      socket.shutdown(tcp::socket::shutdown_send, ignored);
      std::string rest(65536, '\0');
      while (socket.read_some(asio::buffer(rest), ignored) > 0) {
      }
    } else if (aEnding == Ending::Reset || aEnding == Ending::ResetInWrite) {
      const TimePoint end = Clock::now() + std::chrono::seconds(20);
      while (aEnding == Ending::ResetInWrite && !g_awaitsReset &&
             Clock::now() < end) {
        std::this_thread::yield();
      }
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor{ m_io,
                            tcp::endpoint(asio::ip::address_v4::loopback(),
                                          0) };
  std::thread m_thread;
};

class HttpClientFixture
{
protected:
  /// @return The reply to a request; nothing if it is not accepted.
  static std::optional<HttpReply> Call(const std::string& aAnswer,
                                       Ending aEnding = Ending::Linger,
                                       const std::string& aBody = "")
  {
    const ScriptedServer server(aAnswer, aEnding);
    auto client = MakeHttpClient(server.Address(), Milliseconds(5000));
    try {
      return client->Call(aBody.empty() ? "GET" : "PUT", "/x", aBody, {});
    } catch (const PlatformUnavailable&) {
      return std::nullopt;
    }
  }

  /// @return An answer with one more header line.
  static std::string WithLine(const std::string& aLine)
  {
    return "HTTP/1.1 200 OK\r\n" + aLine + "\r\nContent-Length: 4\r\n\r\nbody";
  }
};

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, status is invalid, is no answer",
                 "[status]")
{
  for (const std::string status :
       { "000", "001", "099", "600", "999", "20", "2000", "2x0", "-20", "" }) {
    INFO("status \"" << status << "\"");
    CHECK_FALSE(
      Call("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 4\r\n\r\nbody"));
  }
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, version is not HTTP/1, is no answer",
                 "[status]")
{
  for (const std::string version : { "HTTP/0.9", "HTTP/2.0", "HTTP/1.1x" }) {
    INFO(version);
    CHECK_FALSE(Call(version + " 200 OK\r\nContent-Length: 4\r\n\r\nbody"));
  }
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, header name is not a token, is no answer",
                 "[field]")
{
  using namespace std::string_literals;
  for (const std::string& line : { "X Trouble: 1"s,
                                   "X-Trouble : 1"s,
                                   "X-Trouble\t: 1"s,
                                   "X-Tro\tuble: 1"s,
                                   "X-Tro\0uble: 1"s,
                                   "X-Tro\x01uble: 1"s,
                                   "X-Tro\x7fuble: 1"s,
                                   "X-Tro\xe9uble: 1"s,
                                   "X-Tro\ruble: 1"s,
                                   "X-Tro\nuble: 1"s,
                                   "X-First: 1\r\n X-Folded: 1"s,
                                   " X-Trouble: 1"s,
                                   ": 1"s,
                                   "X-Trouble"s,
                                   "X-Trouble: a\0b"s,
                                   "X-Trouble: a\x01b"s,
                                   "X-Trouble: a\nX-More: b"s }) {
    INFO(line);
    CHECK_FALSE(Call(WithLine(line)));
  }
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, framing stands in a malformed line, is no answer",
                 "[field]")
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
  for (const std::string& answer :
       { status + "Content-Length : 4\r\n\r\nbody and more",
         status + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
         status + "Transfer-Encoding\x01: chunked\r\n\r\n" + chunks }) {
    INFO(answer);
    CHECK_FALSE(Call(answer));
  }
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, trailer is malformed, is no answer",
                 "[field]")
{
  CHECK_FALSE(Call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nbody\r\n0\r\nX Trouble: 1\r\n\r\n"));
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, lengths contradict each other, is no answer",
                 "[framing]")
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
  for (const std::string& answer :
       { status + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
         status + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nbody!",
         status + "Content-Length: 4, 5\r\n\r\nbody!",
         status + "Content-Length: 4x\r\n\r\nbody",
         status + "Content-Length: -4\r\n\r\nbody",
         status + "Content-Length:\r\n\r\nbody",
         status + "Content-Length: 4\r\n" + chunked + "\r\n" + chunks,
         status + chunked + "Content-Length: 4\r\n\r\n" + chunks }) {
    INFO(answer);
    CHECK_FALSE(Call(answer));
  }
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, transfer coding is not chunked, is no answer",
                 "[framing]")
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
  for (const std::string& answer :
       { status + "Transfer-Encoding: gzip\r\n\r\nbody",
         status + "Transfer-Encoding: unknown\r\n\r\nbody",
         status + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
         status + "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunks }) {
    INFO(answer);
    CHECK_FALSE(Call(answer));
  }
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, answer without a length is reset, is no answer",
                 "[early]")
{
  const std::string part = "HTTP/1.1 200 OK\r\n\r\na part";
  CHECK_FALSE(Call(part, Ending::Reset));
  // Each meets the reset at another point of the request's body.
  const std::string body(4U << 20U, 'x');
  for (int i = 0; i < 50; ++i) {
    CHECK_FALSE(Call(part, Ending::Reset, body));
  }
}

/// Guards against a part of an answer that is taken for a whole one: the write
/// that meets the reset consumes it, and a read sees an end of the stream.
TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, write meets the reset of an answer without a "
                 "length, is no answer",
                 "[early]")
{
  const std::string body(4U << 20U, 'x');
  for (const std::string part : { "a part", "" }) {
    INFO("part \"" << part << "\"");
    g_awaitsReset = false;
    g_sendsUntilReset = 2;
    CHECK_FALSE(
      Call("HTTP/1.1 200 OK\r\n\r\n" + part, Ending::ResetInWrite, body));
    CHECK(g_awaitsReset);
  }
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, answer is cut off, is no answer",
                 "[early]")
{
  CHECK_FALSE(Call("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
  CHECK_FALSE(Call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nhalf\r\n"));
  CHECK_FALSE(Call("HTTP/1.1 200 OK\r\nContent-Le"));
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, answer is unusual but sound, is given whole",
                 "[sound]")
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  for (const std::string& answer :
       { status + "Content-Length: 4\r\n\r\nbody",
         status + "\r\nbody",
         std::string("HTTP/1.0 200 OK\r\n\r\nbody"),
         std::string("HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody"),
         std::string(
           "HTTP/1.1 200 O:K\t\xe9!\r\nContent-Length: 4\r\n\r\nbody"),
         status + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
         status + "transfer-encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                  "X-Trailer: 1\r\n\r\n",
         status + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
         status + "!#$%&'*+-.^_`|~9: 1\r\n7:\r\nX:\t \xe9:\tc \t\r\n"
                  "Content-Length: 4\r\n\r\nbody",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "Link: x\r\n\r\n" +
           status + "Content-Length: 4\r\n\r\nbody" }) {
    INFO(answer);
    const auto reply = Call(answer);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(reply->body == "body");
  }
  const auto reply =
    Call("HTTP/1.1 299 Odd\r\nX-Name:  a value \r\nContent-Length: 0\r\n\r\n");
  REQUIRE(reply);
  CHECK(reply->status == 299);
  CHECK(reply->headers.at("x-name") == "a value");
}

/// Guards against a field that a daemon believes to be the final answer's.
TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, interim answers and trailers have fields, does "
                 "not give them as the answer's",
                 "[field]")
{
  const auto reply =
    Call("HTTP/1.1 103 Early Hints\r\nX-Name: early\r\nX-Early: 1\r\n\r\n"
         "HTTP/1.1 200 O:K\r\nX-Name: own\r\n"
         "Transfer-Encoding: chunked\r\n\r\n"
         "4\r\nbody\r\n0\r\nX-Name: late\r\nX-Late: 1\r\n\r\n");
  REQUIRE(reply);
  CHECK(reply->headers ==
        std::map<std::string, std::string>{ { "transfer-encoding", "chunked" },
                                            { "x-name", "own" } });
}

TEST_CASE_METHOD(HttpClientFixture,
                 "HttpClient, whole answer comes before the request is read, "
                 "is given whole",
                 "[sound]")
{
  const std::string body(4U << 20U, 'x');
  for (const char* framing : { "Content-Length: 4\r\n", "" }) {
    const auto reply =
      Call(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\nbody",
           Ending::Linger,
           body);
    REQUIRE(reply);
    CHECK(reply->body == "body");
  }
}

} // namespace
} // namespace sapphirelane
