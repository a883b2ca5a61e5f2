#include "Fleet/TargetLimits.h"

#include <algorithm>
#include <deque>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t Target = 5;
constexpr fleet_part Alone{1, 1};

/// Instances that report their requests to each other with a delay, while each
/// could send the target 40 a second.
class limited_fleet {
public:
  explicit limited_fleet(size_t Instances) : Sent(Instances, 0) {
    for (uint64_t Instance = 0; Instance < Instances; ++Instance)
      Fleet.emplace_back(limit_settings(), Instance);
  }

  void state(std::optional<double> PerSecond) {
    for (target_limits &Limits : Fleet)
      Limits.state(Target, PerSecond, Now);
  }

  void run(seconds Length, bool LosesReports = false) {
    const fleet_part Part{1, Fleet.size()};
    for (const boot_time End = Now + Length; Now < End;
         Now += milliseconds(25)) {
      for (target_limits &Limits : Fleet)
        if (Limits.exhausted(Part, Now).empty() &&
            Limits.tryUse(Target, Part, Now))
          Times.push_back(Now);
      exchangeReports(LosesReports);
    }
  }

  size_t mostIn(seconds Length) const {
    size_t Most = 0;
    for (auto First = Times.begin(); First != Times.end(); ++First)
      Most = std::max(
          Most,
          static_cast<size_t>(
              std::lower_bound(First, Times.end(), *First + Length) - First));
    return Most;
  }

  size_t sent() const { return Times.size(); }

private:
  struct message {
    boot_time ArrivesAt;
    size_t From = 0;
    limit_report Report;
    uint64_t Growth = 0;
  };

  void exchangeReports(bool LosesReports) {
    for (size_t From = 0; From < Fleet.size(); ++From) {
      const auto Step =
          static_cast<size_t>(Now.time_since_epoch() / milliseconds(25));
      if ((Step + From) % 20 != 0)
        continue;
      for (const limit_report &Report :
           Fleet[From].collectReports(audience::OtherDomains, false, Now)) {
        // The next report makes up for a lost one.
        if (LosesReports && ++Lost % 4 == 0)
          continue;
        Messages.push_back({Now + milliseconds(60), From, Report,
                            Report.Requests - Sent[From]});
        Sent[From] = Report.Requests;
      }
    }
    for (; !Messages.empty() && Messages.front().ArrivesAt <= Now;
         Messages.pop_front())
      for (size_t To = 0; To < Fleet.size(); ++To)
        if (To != Messages.front().From)
          Fleet[To].statePeer(Messages.front().Report, Messages.front().Growth,
                              Now);
  }

  std::vector<target_limits> Fleet;
  std::vector<uint64_t> Sent;
  std::deque<message> Messages;
  std::vector<boot_time> Times;
  int Lost = 0;
  boot_time Now{seconds(100)};
};

} // namespace

TEST_CASE("A fleet shares the limit that a target names") {
  for (const size_t Instances : {size_t{14}, size_t{43}, size_t{177}})
    for (const double PerSecond : {0.3, 1.0, 2.8, 20.0}) {
      CAPTURE(Instances);
      CAPTURE(PerSecond);
      limited_fleet Fleet(Instances);
      Fleet.state(PerSecond);
      Fleet.run(seconds(30));
      CHECK(static_cast<double>(Fleet.mostIn(seconds(4))) <=
            1.5 * 4 * PerSecond + 5);
      CHECK(static_cast<double>(Fleet.sent()) >= 0.5 * 30 * PerSecond);
    }

  SUBCASE("also when some reports are lost") {
    limited_fleet Fleet(14);
    Fleet.state(2.8);
    Fleet.run(seconds(30), true);
    CHECK(Fleet.mostIn(seconds(4)) <= 21);
  }
  SUBCASE("when it changes, and until it ends") {
    limited_fleet Fleet(14);
    Fleet.state(20);
    Fleet.run(seconds(10));
    Fleet.state(1);
    Fleet.run(seconds(10));
    const size_t Before = Fleet.sent();
    Fleet.run(seconds(4));
    CHECK(Fleet.sent() - Before <= 11);
    Fleet.state(std::nullopt);
    Fleet.run(seconds(4));
    CHECK(Fleet.sent() - Before > 1000);
  }
}

TEST_CASE("What is known of a target's limit") {
  target_limits Limits(limit_settings(), 1);
  const boot_time Now(seconds(100));
  const auto OfPeer = [&](std::optional<double> PerSecond, uint32_t AgeMs) {
    return Limits.statePeer({Target, PerSecond, AgeMs, 0}, 0, Now);
  };
  CHECK_FALSE(Limits.state(Target, std::nullopt, Now));
  CHECK(Limits.limitedCount() == 0);
  CHECK(Limits.tryUse(Target, Alone, Now));

  SUBCASE("is its latest statement, to whomever") {
    CHECK(Limits.state(Target, 3, Now - seconds(2)));
    CHECK_FALSE(OfPeer(std::nullopt, 3000));
    CHECK(Limits.limitOf(Target) == 3);
    CHECK(OfPeer(std::nullopt, 1000));
    CHECK(Limits.limitedCount() == 0);
    CHECK_FALSE(Limits.state(Target, 3, Now - seconds(2)));
  }
  SUBCASE("is reported by instances that it said it to") {
    OfPeer(2, 10);
    CHECK(Limits.collectReports(audience::SameDomain, true, Now).empty());
    Limits.state(Target, 2, Now);
    const auto Reports =
        Limits.collectReports(audience::SameDomain, false, Now);
    REQUIRE(Reports.size() == 1);
    CHECK(Reports[0].PerSecond == 2);
    CHECK(Limits.collectReports(audience::SameDomain, false, Now).empty());
    CHECK(Limits.collectReports(audience::SameDomain, true, Now).size() == 1);
  }
  SUBCASE("of nothing at all leaves it some requests, to notice its end") {
    Limits.state(Target, 0, Now);
    CHECK(Limits.tryUse(Target, Alone, Now));
    CHECK_FALSE(Limits.tryUse(Target, Alone, Now));
    CHECK(Limits.exhausted(Alone, Now).size() == 1);
    CHECK(Limits.exhausted(Alone, Now + seconds(5)).empty());
  }
  SUBCASE("is forgotten when it was not said again for long") {
    Limits.state(Target, 3, Now);
    Limits.advance(Now + std::chrono::minutes(9));
    CHECK(Limits.limitedCount() == 1);
    Limits.advance(Now + std::chrono::minutes(11));
    CHECK(Limits.limitedCount() == 0);
  }
}
