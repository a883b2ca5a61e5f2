#include "Instance/StopPlan.h"

#include <doctest/doctest.h>

using namespace magnolia::instance;
using std::chrono::seconds;

TEST_CASE("A planned stop") {
  const stop_settings Settings;
  stop_plan Plan(Settings);
  boot_time Now(seconds(100));
  stop_progress Progress{false, false, 3};
  CHECK(Plan.listedInDirectory());
  Plan.begin(Now);
  CHECK_FALSE(Plan.listedInDirectory());
  CHECK(Plan.advance(Progress, Now) == stop_step::Announcing);
  const boot_time Known = Now + seconds(1);

  SUBCASE("serves until the answers that callers keep have expired") {
    Progress.PeersConfirmed = true;
    CHECK(Plan.advance(Progress, Known) == stop_step::ServingKept);
    Now = Known + Settings.KeepFor;
    Plan.advance(Progress, Now);
    CHECK(Plan.acceptsRequests());
    Now += Settings.Slack;
    CHECK(Plan.advance(Progress, Now) == stop_step::Finishing);
    CHECK_FALSE(Plan.acceptsRequests());

    SUBCASE("and waits for each request in flight, however long") {
      Progress.RightsReturned = true;
      CHECK(Plan.advance(Progress, Now + seconds(600)) == stop_step::Finishing);
      Progress.RequestsInFlight = 0;
      CHECK(Plan.advance(Progress, Now + seconds(600)) == stop_step::Done);
    }
  }

  SUBCASE("does not wait for ever for peers and returns") {
    Now += Settings.AnnounceTimeout;
    CHECK(Plan.advance(Progress, Now) == stop_step::ServingKept);
    Now += Settings.KeepFor + Settings.Slack;
    Progress.RequestsInFlight = 0;
    CHECK(Plan.advance(Progress, Now) == stop_step::Done);
  }

  SUBCASE("begins once") {
    Now += Settings.AnnounceTimeout;
    Plan.begin(Now);
    CHECK(Plan.advance(Progress, Now) == stop_step::ServingKept);
  }
}
