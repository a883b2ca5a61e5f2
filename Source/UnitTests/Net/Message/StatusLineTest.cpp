#include "Net/Message/StatusLine.h"

#include <random>
#include <string>

#include <doctest/doctest.h>

#include "Net/Message/MessageReader.h"

using namespace magnolia::message;
using result = status_line_check::result;

namespace {

result check(std::string_view Bytes) { return status_line_check().feed(Bytes); }

/// Whether all bytes of \p Text are among \p Allowed.
bool consistsOf(const std::string &Text, std::string_view Allowed) {
  return Text.find_first_not_of(Allowed) == std::string::npos;
}

/// The same for a whole line, decided by its parts.
bool isStatusLine(const std::string &Line) {
  const size_t Begin = Line.find_first_not_of("\r\n");
  if (Begin == std::string::npos || Line.compare(Begin, 7, "HTTP/1.") != 0 ||
      Line.size() < Begin + 13)
    return false;
  const std::string Status = Line.substr(Begin + 9, 3);
  return consistsOf(Line.substr(Begin + 7, 1), "0123456789") &&
         Line[Begin + 8] == ' ' && consistsOf(Status, "0123456789") &&
         consistsOf(Status.substr(0, 1), "12345") && Status != "101" &&
         consistsOf(Line.substr(Begin + 12, 1), " \r\n");
}

/// A status line of which some bytes were changed, left out or added.
std::string damaged(std::mt19937 &Random) {
  static const std::string Bytes = "HTP/.0123456789 -+\r\n\tx";
  std::string Line = "HTTP/1.1 200 OK\r\n";
  for (auto Count = Random() % 4; Count > 0; --Count) {
    const size_t Place = Random() % 14;
    const char Byte = Bytes[Random() % Bytes.size()];
    switch (Random() % 3) {
    case 0:
      Line[Place] = Byte;
      break;
    case 1:
      Line.erase(Place, 1);
      break;
    default:
      Line.insert(Place, 1, Byte);
    }
  }
  return Line;
}

} // namespace

TEST_CASE("The status line of a response") {
  SUBCASE("is valid with each status that HTTP defines, and no other") {
    for (int Status = 0; Status <= 1100; ++Status) {
      CAPTURE(Status);
      std::string Digits = std::to_string(Status);
      Digits.insert(0, Digits.size() < 3 ? 3 - Digits.size() : 0, '0');
      const bool Defined = Status >= 100 && Status <= 599 && Status != 101;
      CHECK(check("HTTP/1.1 " + Digits + " Reason\r\n") ==
            (Defined ? result::Valid : result::Invalid));
    }
  }
  SUBCASE("needs no reason and may be of an earlier minor version") {
    for (const char *Line : {"HTTP/1.1 200\r\n", "HTTP/1.1 200 \r\n",
                             "HTTP/1.0 200 OK\r\n", "HTTP/1.1 404 \xff\r\n",
                             "\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200\n"}) {
      CAPTURE(Line);
      CHECK(check(Line) == result::Valid);
    }
  }
  SUBCASE("is invalid in any other form") {
    for (const char *Line : {"HTTP/1.1 \r\n",        "HTTP/1.1\r\n",
                             "HTTP/1.1 20\r\n",      "HTTP/1.1 2000 OK\r\n",
                             "HTTP/1.1 -1 OK\r\n",   "HTTP/1.1 +200 OK\r\n",
                             "HTTP/1.1 0200 OK\r\n", "HTTP/1.1  200 OK\r\n",
                             "HTTP/1.1\t200 OK\r\n", "HTTP/1.1 200OK\r\n",
                             "HTTP/0.9 200 OK\r\n",  "HTTP/2.0 200 OK\r\n",
                             "HTTP/2 200\r\n",       "HTTP/1 200 OK\r\n",
                             "HTTP/11 200 OK\r\n",   "http/1.1 200 OK\r\n",
                             " HTTP/1.1 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n",
                             "ICY 200 OK\r\n",       "200 OK\r\n"}) {
      CAPTURE(Line);
      CHECK(check(Line) == result::Invalid);
    }
  }
  SUBCASE("is checked as its bytes arrive") {
    status_line_check Check;
    for (const char Byte : std::string("HTTP/1.1 200"))
      CHECK(Check.feed({&Byte, 1}) == result::Incomplete);
    CHECK(Check.feed("\r") == result::Valid);
    CHECK(Check.feed("anything") == result::Valid);
    CHECK(check("HTTP/1.1 6") == result::Invalid);
    CHECK(check("") == result::Incomplete);
  }
}

// Guards against lines that the parsing library reads as a response.
TEST_CASE("Damaged status lines") {
  size_t Valid = 0;
  for (uint32_t Seed = 1; Seed <= 20'000; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    const std::string Line = damaged(Random);
    const bool Expected = isStatusLine(Line);
    REQUIRE((check(Line) == result::Valid) == Expected);
    message_reader Whole(message_kind::Response, {});
    Whole.feed(Line + "Content-Length: 0\r\n\r\n");
    message_reader Parts(message_kind::Response, {});
    for (const char Byte : Line + "Content-Length: 0\r\n\r\n")
      if (!Parts.complete())
        Parts.feed({&Byte, 1});
    REQUIRE(Whole.complete() == Parts.complete());
    if (!Expected)
      REQUIRE_FALSE(Whole.complete());
    Valid += Expected ? 1 : 0;
  }
  // Neither all nor none.
  CHECK(Valid > 2000);
  CHECK(Valid < 18'000);
}
