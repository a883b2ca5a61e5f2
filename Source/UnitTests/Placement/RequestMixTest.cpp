#include "Placement/RequestMix.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Which part of a service's requests is repeatable") {
  request_mix Mix;
  boot_time Now(seconds(100));
  const auto Send = [&](int Count, int RepeatableOfTen) {
    for (int Number = 0; Number < Count; ++Number) {
      Mix.count("desk", Number % 10 < RepeatableOfTen, Now);
      Now += milliseconds(100);
    }
  };

  SUBCASE("is none while nothing is known") {
    CHECK(Mix.repeatableFraction("desk") == 0);
    Send(2, 10);
    CHECK(Mix.repeatableFraction("desk") == 0);
  }
  SUBCASE("is known after some requests, for each service") {
    Send(100, 3);
    CHECK(Mix.repeatableFraction("desk") == doctest::Approx(0.3).epsilon(0.4));
    CHECK(Mix.repeatableFraction("archive") == 0);
  }
  SUBCASE("follows a change within seconds") {
    Send(100, 10);
    CHECK(Mix.repeatableFraction("desk") > 0.99);
    Send(150, 0);
    CHECK(Mix.repeatableFraction("desk") < 0.05);
  }
}
