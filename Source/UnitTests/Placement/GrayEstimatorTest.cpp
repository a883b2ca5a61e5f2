#include "Placement/GrayEstimator.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("What is believed of a target") {
  const gray_estimator_settings Settings;
  const boot_time Start(seconds(100));
  gray_estimator Estimator(Settings);

  SUBCASE("is the prior before anything was seen") {
    CHECK(Estimator.probabilityAt(Start) == doctest::Approx(Settings.Prior));
  }
  SUBCASE("turns bad with one broken answer") {
    Estimator.observe(evidence::Broken, Start, Start);
    CHECK(Estimator.probabilityAt(Start) > 0.85);

    SUBCASE("for as long as targets stay gray, about ten seconds") {
      CHECK(Estimator.probabilityAt(Start + seconds(1)) > 0.8);
      CHECK(Estimator.probabilityAt(Start + seconds(5)) > 0.6);
      CHECK(Estimator.probabilityAt(Start + seconds(10)) < 0.6);
    }
    SUBCASE("and returns to the prior in the end") {
      CHECK(Estimator.probabilityAt(Start + seconds(45)) ==
            doctest::Approx(Settings.Prior).epsilon(0.05));
    }
    SUBCASE("whatever a request sent before says later") {
      const double Before = Estimator.probabilityAt(Start + milliseconds(100));
      Estimator.observe(evidence::Succeeded, Start - milliseconds(10),
                        Start + milliseconds(100));
      CHECK(Estimator.probabilityAt(Start + milliseconds(100)) == Before);
    }
    SUBCASE("until requests sent after it succeed") {
      boot_time Now = Start + seconds(3);
      for (int Count = 0; Count < 3; ++Count) {
        Estimator.observe(evidence::Succeeded, Now, Now);
        Now += milliseconds(200);
      }
      CHECK(Estimator.probabilityAt(Now) < Settings.Prior);
    }
  }
  SUBCASE("is better the newer the proof is") {
    Estimator.observe(evidence::Accepted, Start, Start);
    const double Fresh = Estimator.probabilityAt(Start);
    CHECK(Fresh < Settings.Prior / 2);
    CHECK(Estimator.probabilityAt(Start + seconds(1)) > Fresh);
    CHECK(Estimator.probabilityAt(Start + seconds(1)) < Settings.Prior);
    // A third of the targets turn gray in ten seconds.
    CHECK(Estimator.probabilityAt(Start + seconds(2)) < Settings.Prior / 2);
  }
  SUBCASE("suffers less from a refusal than from a failure") {
    gray_estimator Refused(Settings);
    Refused.observe(evidence::Refused, Start, Start);
    Estimator.observe(evidence::Failed, Start, Start);
    CHECK(Refused.probabilityAt(Start) < Estimator.probabilityAt(Start));
    CHECK(Refused.lastFailure() == boot_time());
    CHECK(Estimator.lastFailure() == Start);
  }
}

TEST_CASE("What is believed of a target that failed") {
  const gray_estimator_settings Settings;
  episode_length Length;
  gray_estimator Estimator(Settings, &Length);
  const boot_time Start(seconds(100));
  const auto Succeed = [&](boot_time At) {
    Estimator.observe(evidence::Succeeded, At, At);
  };
  const auto Break = [&](boot_time At) {
    Estimator.observe(evidence::Broken, At, At);
  };
  Succeed(Start - seconds(1));

  SUBCASE("stays bad for as long as gray targets stay gray") {
    Break(Start);
    CHECK(Estimator.probabilityAt(Start + seconds(7)) > 0.8);
    CHECK(Estimator.probabilityAt(Start + seconds(14)) < 0.3);

    SUBCASE("counted from its first failure, not from the last") {
      Break(Start + seconds(6));
      CHECK(Estimator.probabilityAt(Start + seconds(14)) < 0.3);
    }
    SUBCASE("anew when it fails after that time") {
      Succeed(Start + seconds(14));
      Break(Start + seconds(15));
      CHECK(Estimator.probabilityAt(Start + seconds(21)) > 0.8);
    }
  }
  SUBCASE("counts as recovered sooner when its episode began unseen") {
    Break(Start + seconds(10));
    gray_estimator Seen(Settings, &Length);
    Seen.observe(evidence::Succeeded, Start + seconds(9), Start + seconds(9));
    Seen.observe(evidence::Broken, Start + seconds(10), Start + seconds(10));
    CHECK(Estimator.probabilityAt(Start + seconds(15)) <
          Seen.probabilityAt(Start + seconds(15)) - 0.2);
  }
  SUBCASE("returns to the prior when it had taken the request") {
    Estimator.observe(evidence::Broken, Start - milliseconds(700), Start);
    CHECK(Estimator.probabilityAt(Start) > 0.6);
    CHECK(Estimator.probabilityAt(Start + seconds(9)) < 0.6);
  }
  SUBCASE("needs more than one success before it is trusted again") {
    Break(Start);
    Succeed(Start + seconds(4));
    CHECK(Estimator.probabilityAt(Start + seconds(4)) > 0.5);
  }
}
