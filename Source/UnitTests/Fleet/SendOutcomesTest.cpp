#include "Fleet/SendOutcomes.h"

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::fleet;
using placement::evidence;
using std::chrono::milliseconds;

TEST_CASE("What targets took and refused in the last half second") {
  send_outcomes Outcomes;
  const auto At = [](int Millis) {
    return common::boot_time(milliseconds(100000 + Millis));
  };
  for (int Millis = 0; Millis < 1000; Millis += 10) {
    Outcomes.count("shop", evidence::Accepted, At(Millis));
    Outcomes.count("shop", evidence::Succeeded, At(Millis));
    if (Millis % 20 == 0)
      Outcomes.count("shop", evidence::Refused, At(Millis));
    if (Millis % 50 == 0)
      Outcomes.count("shop", evidence::Broken, At(Millis));
  }

  SUBCASE("is told per second, each request once") {
    const send_outcomes::rates Rates = Outcomes.ratesOf("shop", At(1000));
    CHECK(Rates.Taken == doctest::Approx(120));
    CHECK(Rates.Refused == doctest::Approx(50));
  }
  SUBCASE("is forgotten after it") {
    CHECK(Outcomes.ratesOf("shop", At(1600)).Taken == 0);
    CHECK(Outcomes.ratesOf("shop", At(1600)).Refused == 0);
  }
  SUBCASE("is nothing for other services") {
    CHECK(Outcomes.ratesOf("other", At(1000)).Taken == 0);
  }
}
