#include "Common/Number.h"

#include <cmath>
#include <limits>

#include <doctest/doctest.h>

using namespace magnolia::common;

TEST_CASE("A number is read from a text") {
  SUBCASE("in each way of writing it") {
    for (const char *Text : {"2000", "2000.0", "2e3", "2E+3", "+2000", "02000"})
      CHECK(parseNumber(Text) == 2000);
    CHECK(parseNumber("2000.5") == 2000.5);
    CHECK(parseNumber("-0.5") == -0.5);
    CHECK(parseNumber(".5") == 0.5);
  }
  SUBCASE("also one that no type holds") {
    CHECK(parseNumber("1e400") == std::numeric_limits<double>::infinity());
    CHECK(parseNumber("-1e400") == -std::numeric_limits<double>::infinity());
    CHECK(parseNumber("1e-400") == 0);
  }
  SUBCASE("and from nothing else") {
    for (const char *Text : {"", " ", "inf", "nan", "0x10", "2000ms", "1,5",
                             "--1", "1e", "e3", "1 2", "\xff"}) {
      CAPTURE(Text);
      CHECK_FALSE(parseNumber(Text));
    }
  }
}

TEST_CASE("A number is printed so that it can be told from all others") {
  CHECK(printNumber(90) == "90");
  CHECK(printNumber(0.1) == "0.1");
  CHECK(printNumber(1234567) == "1234567");
  CHECK(printNumber(1e300) == "1e+300");
  for (const double Number : {0.1 + 0.2, 1.0 / 3, 1e15 + 1, 5e-324,
                              std::numeric_limits<double>::max()})
    CHECK(parseNumber(printNumber(Number)) == Number);
}
