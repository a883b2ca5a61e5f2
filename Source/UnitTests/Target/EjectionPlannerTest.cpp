#include "Target/EjectionPlanner.h"

#include <doctest/doctest.h>

using namespace magnolia::target;
using std::chrono::seconds;
using names = std::vector<std::string>;

TEST_CASE("An ejection planner") {
  ejection_planner Planner{settings()};
  std::vector<ejection_candidate> Targets;
  for (const std::string_view Name : {"t0", "t1", "t2", "t3", "t4", "t5"})
    Targets.push_back({Name, 6, true, false, 0});
  const auto SetScore = [&](size_t Target, double Score) {
    Targets[Target].Bad = Score > 0;
    Targets[Target].Score = Score;
  };
  const auto Publish = [&](int Second) {
    return Planner.publish(Targets, 0.5, seconds(3),
                           boot_time(seconds(Second)));
  };

  SUBCASE("rounds the floor up to whole slots") {
    CHECK(ejectableSlots(36, 0.5) == 18);
    CHECK(ejectableSlots(35, 0.5) == 17);
    CHECK(ejectableSlots(10, 0.3) == 7);
    CHECK(ejectableSlots(6, 1.0) == 0);
  }

  SUBCASE("ejects the worst targets as far as the floor allows") {
    for (size_t I = 0; I < 5; ++I)
      SetScore(I, static_cast<double>(I + 1));
    CHECK(Publish(1) == names{"t4", "t3", "t2"});

    SUBCASE("and counts each ejection until its last term has ended") {
      for (size_t I = 0; I < 5; ++I)
        SetScore(I, 0);
      SetScore(5, 9);
      // The back-off of the three targets lasts five seconds, the last term
      // three more.
      for (int Second = 2; Second <= 5; ++Second)
        CHECK(Publish(Second) == names{"t2", "t3", "t4"});
      CHECK(Publish(6).empty());
      CHECK(Publish(7).empty());
      CHECK(Publish(8) == names{"t5"});
    }

    SUBCASE("and ejects fewer when live capacity shrinks") {
      Targets[0].Live = false;
      CHECK(Publish(2) == names{"t4", "t3"});
    }

    SUBCASE("and does not replace a draining target, which may return") {
      Targets[4].Live = false;
      CHECK(Publish(2) == names{"t3", "t2"});
    }
  }
}
