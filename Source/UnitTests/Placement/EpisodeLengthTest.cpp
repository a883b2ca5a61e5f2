#include "Placement/EpisodeLength.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The estimated length of gray episodes") {
  episode_length Length;

  SUBCASE("is about ten seconds without evidence") {
    CHECK(Length.survival(seconds(0)) == doctest::Approx(1));
    CHECK(Length.survival(seconds(5)) > 0.9);
    CHECK(Length.survival(seconds(10)) == doctest::Approx(0.5).epsilon(0.2));
    CHECK(Length.survival(seconds(15)) < 0.1);
    CHECK(Length.survival(seconds(100)) < 0.01);
  }
  SUBCASE("leaves less time when the start was not seen") {
    for (int Age = 1; Age < 12; ++Age)
      CHECK(Length.survivalSinceNoticed(seconds(Age)) <
            Length.survival(seconds(Age)));
    CHECK(Length.survivalSinceNoticed(seconds(0)) == doctest::Approx(1));
  }
  SUBCASE("follows targets that have recovered") {
    for (int Count = 0; Count < 12; ++Count) {
      Length.observe(seconds(5), true);
      Length.observe(milliseconds(7500), false);
    }
    CHECK(Length.survival(seconds(5)) > 0.7);
    CHECK(Length.survival(seconds(8)) < 0.2);

    SUBCASE("and adapts when the length changes") {
      for (int Count = 0; Count < 60; ++Count)
        Length.observe(seconds(12), true);
      CHECK(Length.survival(seconds(11)) > 0.7);
    }
  }
  SUBCASE("follows targets that still fail") {
    for (int Count = 0; Count < 12; ++Count)
      Length.observe(seconds(12), true);
    CHECK(Length.survival(seconds(11)) > 0.8);
    CHECK(Length.survival(seconds(19)) < 0.2);
  }
  SUBCASE("is not changed much by a single request") {
    const double Before = Length.survival(seconds(7));
    Length.observe(seconds(6), false);
    CHECK(Length.survival(seconds(7)) > Before - 0.1);
  }
}
