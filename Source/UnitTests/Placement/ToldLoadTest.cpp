#include "Placement/ToldLoad.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The requests of others at a target") {
  constexpr milliseconds ServiceTime{100};
  const boot_time Now(seconds(50));
  load_estimate Estimate;
  const auto Others = [&](milliseconds Later, uint32_t Reported) {
    return Estimate.othersAt(Now + Later, Reported, ServiceTime);
  };

  SUBCASE("are those that the peers report if the target tells nothing") {
    CHECK(Others(milliseconds(0), 3) == 3);
    CHECK_FALSE(Estimate.age(Now).has_value());
  }
  SUBCASE("are what it tells beyond those of this instance") {
    Estimate.tell(told_load{2, 3, 2}, 1, Now);
    CHECK(Others(milliseconds(0), 0) == 4);
    CHECK(Estimate.age(Now + seconds(1)) == seconds(1));

    SUBCASE("until these requests have ended") {
      CHECK(Others(milliseconds(100), 0) ==
            doctest::Approx(1.47).epsilon(0.01));
      CHECK(Others(seconds(1), 2) == doctest::Approx(2).epsilon(0.01));
    }
    SUBCASE("or it tells nothing any more") {
      Estimate.tell(std::nullopt, 1, Now);
      CHECK(Others(milliseconds(0), 1) == 1);
    }
  }
  SUBCASE("are not negative when it tells less than this instance knows of") {
    Estimate.tell(told_load{0, 0, 2}, 2, Now);
    CHECK(Others(milliseconds(0), 5) == 0);
  }
  SUBCASE("are bounded, whatever it tells") {
    Estimate.tell(told_load{2, UINT32_MAX - 2, 2}, 1, Now);
    CHECK(Others(milliseconds(0), 0) <= 32);
    CHECK(Others(seconds(2), 1) == doctest::Approx(1).epsilon(0.01));
  }
  SUBCASE("do not count where it has just refused: it is full") {
    Estimate.refuse(Now + ServiceTime);
    Estimate.refuse(Now);
    Estimate.tell(told_load{0, 0, 2}, 0, Now);
    CHECK(Estimate.isFull(Now + milliseconds(99)));
    CHECK_FALSE(Estimate.isFull(Now + ServiceTime));
  }
}

TEST_CASE("How long the requests of a service take") {
  service_time Time;
  for (int Count = 0; Count < 200; ++Count)
    Time.observe(milliseconds(300));
  CHECK(Time.mean() > milliseconds(290));
  CHECK(Time.mean() <= milliseconds(300));
  for (int Count = 0; Count < 200; ++Count)
    Time.observe(seconds(20));
  CHECK(Time.mean() <= seconds(1));
  for (int Count = 0; Count < 200; ++Count)
    Time.observe(milliseconds(0));
  CHECK(Time.mean() >= milliseconds(19));
}
