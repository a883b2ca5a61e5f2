#include "Target/FleetView.h"

#include <doctest/doctest.h>

using namespace magnolia::target;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const evidence_summary Good{20, 0, 20, 20 * 10.0, 0};
const evidence_summary Bad{20, 20, 0, 0, 30};

/// Evidence of six targets of which the one with index \p BadTarget fails.
std::vector<evidence_summary> seen(size_t BadTarget) {
  std::vector<evidence_summary> Targets(6, Good);
  if (BadTarget < Targets.size())
    Targets[BadTarget] = Bad;
  return Targets;
}

constexpr size_t NoTarget = 99;

} // namespace

TEST_CASE("The fleet view of a failing target") {
  const settings Settings;
  boot_time Now(seconds(50));
  fleet_view Fleet;
  Fleet.setTargets(6);
  const auto Report = [&](std::string_view Instance, std::string_view Domain,
                          size_t BadTarget) {
    Fleet.beginReport(Instance, Domain, Now);
    const auto Targets = seen(BadTarget);
    for (size_t I = 0; I < Targets.size(); ++I)
      Fleet.addEvidence(Instance, I, Targets[I]);
  };
  const auto Judge = [&](size_t OwnBad) {
    return Fleet.judge("Trnava", seen(OwnBad), Now, Settings);
  };

  SUBCASE("reports a bad target when two failure domains see it fail") {
    Report("b", "Trnava", 2);
    Report("c", "Nitra", 2);
    Report("d", "Nitra", 2);
    const auto Verdicts = Judge(2);
    CHECK(Verdicts[2].Bad);
    CHECK_FALSE(Verdicts[2].WorksForOthers);
    CHECK_FALSE(Verdicts[1].Bad);
  }

  SUBCASE("reports a bad link when only one failure domain sees it fail") {
    Report("b", "Trnava", 2);
    Report("c", "Nitra", NoTarget);
    Report("d", "Senica", NoTarget);
    const auto Verdicts = Judge(2);
    CHECK_FALSE(Verdicts[2].Bad);
    CHECK(Verdicts[2].WorksForOthers);
  }

  SUBCASE("reports bad links when one instance of each domain sees it fail") {
    Report("b", "Trnava", NoTarget);
    Report("c", "Nitra", 2);
    Report("d", "Nitra", NoTarget);
    CHECK_FALSE(Judge(2)[2].Bad);
  }

  SUBCASE("ignores digests that are too old") {
    Report("c", "Nitra", 2);
    REQUIRE(Judge(2)[2].Bad);
    Now += Settings.DigestLifetime + milliseconds(1);
    CHECK_FALSE(Judge(2)[2].Bad);
  }
}
