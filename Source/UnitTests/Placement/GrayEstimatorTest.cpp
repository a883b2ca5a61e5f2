#include "Placement/GrayEstimator.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The gray estimate of a target") {
  const gray_estimator_settings Settings;
  const boot_time Start(seconds(100));
  gray_estimator Estimator(Settings);

  SUBCASE("is the prior without evidence") {
    CHECK(Estimator.probabilityAt(Start) == doctest::Approx(Settings.Prior));
  }
  SUBCASE("rises with one broken response") {
    Estimator.observe(evidence::Broken, Start, Start);
    CHECK(Estimator.probabilityAt(Start) > 0.85);

    SUBCASE("and stays high for about ten seconds, the usual gray episode") {
      CHECK(Estimator.probabilityAt(Start + seconds(1)) > 0.8);
      CHECK(Estimator.probabilityAt(Start + seconds(5)) > 0.6);
      CHECK(Estimator.probabilityAt(Start + seconds(10)) < 0.6);
    }
    SUBCASE("and finally returns to the prior") {
      CHECK(Estimator.probabilityAt(Start + seconds(45)) ==
            doctest::Approx(Settings.Prior).epsilon(0.05));
    }
    SUBCASE("and ignores the late success of an earlier request") {
      const double Before = Estimator.probabilityAt(Start + milliseconds(100));
      Estimator.observe(evidence::Succeeded, Start - milliseconds(10),
                        Start + milliseconds(100));
      CHECK(Estimator.probabilityAt(Start + milliseconds(100)) == Before);
    }
    SUBCASE("until later requests succeed") {
      boot_time Now = Start + seconds(3);
      for (int Count = 0; Count < 3; ++Count) {
        Estimator.observe(evidence::Succeeded, Now, Now);
        Now += milliseconds(200);
      }
      CHECK(Estimator.probabilityAt(Now) < Settings.Prior);
    }
  }
  SUBCASE("is lower the more recent the success is") {
    Estimator.observe(evidence::Accepted, Start, Start);
    const double Fresh = Estimator.probabilityAt(Start);
    CHECK(Fresh < Settings.Prior / 2);
    CHECK(Estimator.probabilityAt(Start + seconds(1)) > Fresh);
    CHECK(Estimator.probabilityAt(Start + seconds(1)) < Settings.Prior);
    // A third of the targets turn gray in ten seconds.
    CHECK(Estimator.probabilityAt(Start + seconds(2)) < Settings.Prior / 2);
  }
  SUBCASE("rises less with a refusal than with a failure") {
    gray_estimator Refused(Settings);
    Refused.observe(evidence::Refused, Start, Start);
    Estimator.observe(evidence::Failed, Start, Start);
    CHECK(Refused.probabilityAt(Start) < Estimator.probabilityAt(Start));
    CHECK(Refused.lastFailure() == boot_time());
    CHECK(Estimator.lastFailure() == Start);
  }
}

TEST_CASE("The gray estimate of a target that failed") {
  const gray_estimator_settings Settings;
  gray_pattern Pattern;
  gray_estimator Estimator(Settings, &Pattern);
  const boot_time Start(seconds(100));
  const auto Succeed = [&](boot_time At) {
    Estimator.observe(evidence::Succeeded, At, At);
  };
  const auto Break = [&](boot_time At) {
    Estimator.observe(evidence::Broken, At, At);
  };
  Succeed(Start - seconds(1));

  SUBCASE("stays high for the usual length of an episode") {
    Break(Start);
    CHECK(Estimator.probabilityAt(Start + seconds(7)) > 0.8);
    CHECK(Estimator.probabilityAt(Start + seconds(14)) < 0.3);

    SUBCASE("counted from its first failure, not from the last") {
      Break(Start + seconds(6));
      CHECK(Estimator.probabilityAt(Start + seconds(14)) < 0.3);
    }
    SUBCASE("and again when it fails after that time") {
      Succeed(Start + seconds(14));
      Break(Start + seconds(15));
      CHECK(Estimator.probabilityAt(Start + seconds(21)) > 0.8);
    }
  }
  SUBCASE("falls sooner when the start of the episode was not seen") {
    Break(Start + seconds(10));
    gray_estimator Seen(Settings, &Pattern);
    Seen.observe(evidence::Succeeded, Start + seconds(9), Start + seconds(9));
    Seen.observe(evidence::Broken, Start + seconds(10), Start + seconds(10));
    CHECK(Estimator.probabilityAt(Start + seconds(15)) <
          Seen.probabilityAt(Start + seconds(15)) - 0.2);
  }
  SUBCASE("returns to the prior when the target had accepted the request") {
    Estimator.observe(evidence::Broken, Start - milliseconds(700), Start);
    CHECK(Estimator.probabilityAt(Start) > 0.6);
    CHECK(Estimator.probabilityAt(Start + seconds(9)) < 0.6);
  }
  SUBCASE("needs more than one success to fall") {
    Break(Start);
    Succeed(Start + seconds(4));
    CHECK(Estimator.probabilityAt(Start + seconds(4)) > 0.5);
  }
}

TEST_CASE("The gray estimate where gray targets accept requests and hang") {
  const gray_estimator_settings Settings;
  gray_pattern Pattern;
  const boot_time Start(seconds(100));
  gray_estimator Estimator(Settings, &Pattern);
  const auto ObserveAt = [&](evidence Evidence, milliseconds SentAt,
                             milliseconds At) {
    Estimator.observe(Evidence, Start + SentAt, Start + At);
    return Estimator.probabilityAt(Start + At);
  };
  for (int Count = 0; Count < 10; ++Count)
    Pattern.Mode.observe(true);
  REQUIRE(Pattern.Mode.targetsHang());

  SUBCASE("does not fall when a target accepts a request") {
    CHECK(ObserveAt(evidence::Accepted, milliseconds(0), milliseconds(60)) >=
          Settings.Prior * 0.99);
  }
  SUBCASE("falls with a response and rises with a stall") {
    const double Proven =
        ObserveAt(evidence::Succeeded, milliseconds(0), milliseconds(200));
    CHECK(Proven < Settings.Prior / 2);
    CHECK(ObserveAt(evidence::Stalled, milliseconds(250), milliseconds(610)) >
          Settings.Prior);
    CHECK(ObserveAt(evidence::Stalled, milliseconds(300), milliseconds(660)) >
          0.8);

    SUBCASE("which the late response of a stalled request takes back") {
      ObserveAt(evidence::SucceededLate, milliseconds(250), milliseconds(700));
      CHECK(ObserveAt(evidence::SucceededLate, milliseconds(300),
                      milliseconds(720)) < Settings.Prior);
    }
    SUBCASE("and which a missed deadline confirms") {
      CHECK(ObserveAt(evidence::TimedOut, milliseconds(250),
                      milliseconds(2250)) > 0.8);
    }
  }
  SUBCASE("rises little with a stall while many responses are late") {
    for (int Count = 0; Count < 200; ++Count)
      Pattern.Mode.observeResponse(Count % 2 == 0);
    CHECK(Pattern.Mode.lateFraction() > 0.4);
    ObserveAt(evidence::Succeeded, milliseconds(0), milliseconds(200));
    CHECK(ObserveAt(evidence::Stalled, milliseconds(250), milliseconds(610)) <
          Settings.Prior);
  }
  SUBCASE("is as before once targets reset requests again") {
    for (int Count = 0; Count < 20; ++Count)
      Pattern.Mode.observe(false);
    CHECK_FALSE(Pattern.Mode.targetsHang());
    CHECK(ObserveAt(evidence::Accepted, milliseconds(0), milliseconds(60)) <
          Settings.Prior / 2);
  }
}

TEST_CASE("How gray targets fail") {
  failure_mode Mode;
  SUBCASE("is a reset as long as nothing is known") {
    CHECK_FALSE(Mode.targetsHang());
  }
  SUBCASE("is a reset where a healthy target is slow now and then") {
    for (int Count = 0; Count < 200; ++Count)
      Mode.observe(Count % 4 == 0);
    CHECK_FALSE(Mode.targetsHang());
  }
  SUBCASE("is to hang after a few requests without a response") {
    for (int Count = 0; Count < 5; ++Count)
      Mode.observe(true);
    CHECK(Mode.targetsHang());
  }
}
