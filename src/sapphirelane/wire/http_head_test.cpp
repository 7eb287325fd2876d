#include "sapphirelane/wire/http_head.h"

#include <catch2/catch.hpp>

#include <vector>

namespace sapphirelane {
namespace {

using namespace std::string_literals;

const std::vector<std::string> kMalformedLines = {
  "Content-Length : 4"s,
  "X-Name\t: a"s,
  " folded: a"s,
  "\tfolded: a"s,
  "no colon"s,
  ": no name"s,
  "na me: a"s,
  "na\tme: a"s,
  "na\0me: a"s,
  "na\x01me: a"s,
  "na\x1fme: a"s,
  "na\x7fme: a"s,
  "na\xe9me: a"s,
  "na\rme: a"s,
  "na\nme: a"s,
  "na(me: a"s,
  "na/me: a"s,
  "a: b\nContent-Length: 4"s,
  "a: b\0c"s,
  "a: b\x01"
  "c"s,
  "a: b\rc"s,
  "a: b\x7f"s,
  "a: b\r\n folded"s,
};

const std::vector<std::string> kValidLines = {
  "Host: a"s,
  "X:"s,
  "X: \t "s,
  "7: digits"s,
  "!#$%&'*+-.^_`|~9: punctuation"s,
  "x_y.z: a:b:c"s,
  "X:\t a\tb \xe9\xff \t"s,
};

TEST_CASE("ScanHead, incomplete head, has size zero")
{
  CHECK(ScanHead("GET / HTTP/1.1\r\nHost: a\r\n", HttpMessage::Request).size ==
        0);
  CHECK(ScanHead("HTTP/1.1 200 OK\r\nX: a\r\n", HttpMessage::Response).size ==
        0);
}

TEST_CASE("ScanHead, valid head, returns its size and no error")
{
  for (const std::string& line : kValidLines) {
    INFO(line);
    const std::string request = "GET / HTTP/1.1\r\n" + line + "\r\n\r\n";
    CHECK(ScanHead(request + "body", HttpMessage::Request).size ==
          request.size());
    CHECK(ScanHead(request, HttpMessage::Request).error.empty());
    const std::string response = "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n";
    CHECK(ScanHead(response + "body", HttpMessage::Response).size ==
          response.size());
    CHECK(ScanHead(response, HttpMessage::Response).error.empty());
  }
}

TEST_CASE("ScanHead, line that parsers read differently, is an error")
{
  for (const std::string& line : kMalformedLines) {
    INFO(line);
    CHECK_FALSE(ScanHead("POST / HTTP/1.1\r\nHost: a\r\n" + line + "\r\n\r\n",
                         HttpMessage::Request)
                  .error.empty());
    CHECK_FALSE(ScanHead("HTTP/1.1 200 OK\r\nX: a\r\n" + line + "\r\n\r\n",
                         HttpMessage::Response)
                  .error.empty());
  }
}

/// @return Whether a head is accepted.
bool
Accepts(const std::string& aHead)
{
  return ScanHead(aHead + "\r\n", HttpMessage::Response).error.empty();
}

TEST_CASE("ScanHead, status line of a response, is accepted only if it is "
          "HTTP/1 with a status that exists")
{
  for (const char* line : { "HTTP/1.1 200 OK",
                            "HTTP/1.0 200 OK",
                            "HTTP/1.1 200 ",
                            "HTTP/1.1 200 O:K\t\xe9!",
                            "HTTP/1.1 100 Continue",
                            "HTTP/1.1 103 Early Hints",
                            "HTTP/1.1 299 Odd",
                            "HTTP/1.1 418 I'm a teapot",
                            "HTTP/1.1 599 Odd" }) {
    INFO(line);
    CHECK(Accepts(line + "\r\n"s));
  }
  for (const std::string& line : { "HTTP/1.1 000 OK"s,
                                   "HTTP/1.1 001 OK"s,
                                   "HTTP/1.1 099 OK"s,
                                   "HTTP/1.1 600 OK"s,
                                   "HTTP/1.1 999 OK"s,
                                   "HTTP/1.1 20 OK"s,
                                   "HTTP/1.1 2000 OK"s,
                                   "HTTP/1.1 2x0 OK"s,
                                   "HTTP/1.1 -20 OK"s,
                                   "HTTP/1.1 +20 OK"s,
                                   "HTTP/1.1  200 OK"s,
                                   "HTTP/1.1 200OK"s,
                                   "HTTP/1.1 200\tOK"s,
                                   "HTTP/1.1"s,
                                   "HTTP/1.1 "s,
                                   "HTTP/1. 200 OK"s,
                                   "HTTP/1.x 200 OK"s,
                                   "HTTP/1.1x 200 OK"s,
                                   "HTTP/0.9 200 OK"s,
                                   "HTTP/2.0 200 OK"s,
                                   "http/1.1 200 OK"s,
                                   " HTTP/1.1 200 OK"s,
                                   "HELLO"s,
                                   ""s,
                                   "HTTP/1.1 200 O\0K"s,
                                   "HTTP/1.1 200 O\nK"s,
                                   "HTTP/1.1 200 O\x01K"s,
                                   "HTTP/1.1 101 Switching Protocols"s }) {
    INFO(line);
    CHECK_FALSE(Accepts(line + "\r\n"));
  }
}

TEST_CASE("ScanHead, framing of a response, is accepted only if it is one that "
          "is decoded")
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  for (const char* lines : { "",
                             "Content-Length: 4\r\n",
                             "content-length:4 \r\n",
                             "Content-Length: 4, 04\r\nContent-Length: 4\r\n",
                             "Transfer-Encoding: chunked\r\n",
                             "transfer-encoding: Chunked \r\n",
                             "Transfer-Encoding: chunked,\r\n",
                             "Transfer-Encoding: , chunked , \r\n",
                             "Transfer-Encoding:\r\nContent-Length: 4\r\n",
                             "Transfer-Encoding: identity\r\n" }) {
    INFO(lines);
    CHECK(Accepts(status + lines));
  }
  for (const char* lines :
       { "Content-Length:\r\n",
         "Content-Length: 4x\r\n",
         "Content-Length: 18446744073709551616\r\n",
         "Content-Length: -4\r\n",
         "Content-Length: 4,\r\n",
         "Content-Length: 4, 5\r\n",
         "Content-Length: 4\r\nContent-Length: 5\r\n",
         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
         "Transfer-Encoding: gzip\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding: chunked, gzip\r\n",
         "Transfer-Encoding: chunked, identity\r\n",
         "Transfer-Encoding: chunked, chunked\r\n",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" }) {
    INFO(lines);
    CHECK_FALSE(Accepts(status + lines));
  }
}

class ResponseHeadCheckFixture
{
protected:
  void Add(const std::vector<std::string>& aLines)
  {
    for (const std::string& line : aLines) {
      m_check.AddLine(line + "\r\n");
    }
  }

  ResponseHeadCheck m_check;
};

TEST_CASE_METHOD(ResponseHeadCheckFixture,
                 "ResponseHeadCheck, interim responses, are followed by the "
                 "final head")
{
  Add({ "HTTP/1.1 100 Continue", "", "HTTP/1.1 103 Early Hints", "Link: x" });
  Add({ "" });
  CHECK_FALSE(m_check.IsComplete());
  Add({ "HTTP/1.1 200 OK", "Content-Length: 4" });
  CHECK_FALSE(m_check.IsComplete());
  Add({ "" });
  CHECK(m_check.IsComplete());
  CHECK(m_check.Error().empty());
}

TEST_CASE_METHOD(ResponseHeadCheckFixture,
                 "ResponseHeadCheck, trailers, are checked as fields are")
{
  Add({ "HTTP/1.1 200 OK", "Transfer-Encoding: chunked", "", "X-Last: 1" });
  CHECK(m_check.Error().empty());
  Add({ "X Last: 1" });
  CHECK_FALSE(m_check.Error().empty());
}

TEST_CASE_METHOD(ResponseHeadCheckFixture,
                 "ResponseHeadCheck, line without a carriage return, is an "
                 "error")
{
  m_check.AddLine("HTTP/1.1 200 OK\n");
  CHECK_FALSE(m_check.Error().empty());
}

} // namespace
} // namespace sapphirelane
