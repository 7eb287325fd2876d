#include "sapphirelane/proxy/head_scan.h"

#include <catch2/catch.hpp>

namespace sapphirelane {
namespace {

TEST_CASE("ScanHead, incomplete head, has size zero")
{
  CHECK(ScanHead("GET / HTTP/1.1\r\nHost: a\r\n").size == 0);
}

TEST_CASE("ScanHead, valid head, returns its size and no error")
{
  const std::string head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  CHECK(ScanHead(head + "body").size == head.size());
  CHECK(ScanHead(head).error.empty());
}

TEST_CASE("ScanHead, line that parsers read differently, is an error")
{
  for (const char* line : { "Content-Length : 4",
                            " folded: a",
                            "\tfolded: a",
                            "no colon",
                            ": no name",
                            "na me: a",
                            "a: b\nContent-Length: 4" }) {
    const std::string head =
      std::string("POST / HTTP/1.1\r\nHost: a\r\n") + line + "\r\n\r\n";
    CHECK_FALSE(ScanHead(head).error.empty());
  }
}

} // namespace
} // namespace sapphirelane
