#include "Placement/GrayBelief.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("What is believed of a target") {
  const belief_settings Settings;
  const boot_time Start(seconds(100));
  gray_belief Belief(Settings);

  SUBCASE("is the prior before anything was seen") {
    CHECK(Belief.probabilityAt(Start) == doctest::Approx(Settings.Prior));
  }
  SUBCASE("turns bad with one broken answer") {
    Belief.observe(evidence::Broken, Start, Start);
    CHECK(Belief.probabilityAt(Start) > 0.85);

    SUBCASE("for as long as targets stay gray, about ten seconds") {
      CHECK(Belief.probabilityAt(Start + seconds(1)) > 0.8);
      CHECK(Belief.probabilityAt(Start + seconds(5)) > 0.6);
      CHECK(Belief.probabilityAt(Start + seconds(10)) < 0.6);
    }
    SUBCASE("and returns to the prior in the end") {
      CHECK(Belief.probabilityAt(Start + seconds(45)) ==
            doctest::Approx(Settings.Prior).epsilon(0.05));
    }
    SUBCASE("whatever a request sent before says later") {
      const double Before = Belief.probabilityAt(Start + milliseconds(100));
      Belief.observe(evidence::Succeeded, Start - milliseconds(10),
                     Start + milliseconds(100));
      CHECK(Belief.probabilityAt(Start + milliseconds(100)) == Before);
    }
    SUBCASE("until requests sent after it succeed") {
      boot_time Now = Start + seconds(3);
      for (int Count = 0; Count < 3; ++Count) {
        Belief.observe(evidence::Succeeded, Now, Now);
        Now += milliseconds(200);
      }
      CHECK(Belief.probabilityAt(Now) < Settings.Prior);
    }
  }
  SUBCASE("is better the newer the proof is") {
    Belief.observe(evidence::Accepted, Start, Start);
    const double Fresh = Belief.probabilityAt(Start);
    CHECK(Fresh < Settings.Prior / 2);
    CHECK(Belief.probabilityAt(Start + seconds(1)) > Fresh);
    CHECK(Belief.probabilityAt(Start + seconds(1)) < Settings.Prior);
    // A third of the targets turn gray in ten seconds.
    CHECK(Belief.probabilityAt(Start + seconds(2)) < Settings.Prior / 2);
  }
  SUBCASE("suffers less from a refusal than from a failure") {
    gray_belief Refused(Settings);
    Refused.observe(evidence::Refused, Start, Start);
    Belief.observe(evidence::Failed, Start, Start);
    CHECK(Refused.probabilityAt(Start) < Belief.probabilityAt(Start));
    CHECK(Refused.lastFailure() == boot_time());
    CHECK(Belief.lastFailure() == Start);
  }
}

TEST_CASE("What is believed of a target that failed") {
  const belief_settings Settings;
  episode_length Length;
  gray_belief Belief(Settings, &Length);
  const boot_time Start(seconds(100));
  const auto Succeed = [&](boot_time At) {
    Belief.observe(evidence::Succeeded, At, At);
  };
  const auto Break = [&](boot_time At) {
    Belief.observe(evidence::Broken, At, At);
  };
  Succeed(Start - seconds(1));

  SUBCASE("stays bad for as long as gray targets stay gray") {
    Break(Start);
    CHECK(Belief.probabilityAt(Start + seconds(7)) > 0.8);
    CHECK(Belief.probabilityAt(Start + seconds(14)) < 0.3);

    SUBCASE("counted from its first failure, not from the last") {
      Break(Start + seconds(6));
      CHECK(Belief.probabilityAt(Start + seconds(14)) < 0.3);
    }
    SUBCASE("anew when it fails after that time") {
      Succeed(Start + seconds(14));
      Break(Start + seconds(15));
      CHECK(Belief.probabilityAt(Start + seconds(21)) > 0.8);
    }
  }
  SUBCASE("counts as recovered sooner when its episode began unseen") {
    Break(Start + seconds(10));
    gray_belief Seen(Settings, &Length);
    Seen.observe(evidence::Succeeded, Start + seconds(9), Start + seconds(9));
    Seen.observe(evidence::Broken, Start + seconds(10), Start + seconds(10));
    CHECK(Belief.probabilityAt(Start + seconds(15)) <
          Seen.probabilityAt(Start + seconds(15)) - 0.2);
  }
  SUBCASE("returns to the prior when it had taken the request") {
    Belief.observe(evidence::Broken, Start - milliseconds(700), Start);
    CHECK(Belief.probabilityAt(Start) > 0.6);
    CHECK(Belief.probabilityAt(Start + seconds(9)) < 0.6);
  }
  SUBCASE("needs more than one success before it is trusted again") {
    Break(Start);
    Succeed(Start + seconds(4));
    CHECK(Belief.probabilityAt(Start + seconds(4)) > 0.5);
  }
}
