#include "Instance/ShutdownPlan.h"

#include <doctest/doctest.h>

using namespace magnolia::instance;
using std::chrono::seconds;

TEST_CASE("A graceful shutdown") {
  const shutdown_settings Settings;
  shutdown_plan Plan(Settings);
  boot_time Now(seconds(100));
  shutdown_progress Progress{false, false, 3};
  CHECK(Plan.listedInDirectory());
  Plan.begin(Now);
  CHECK_FALSE(Plan.listedInDirectory());
  CHECK(Plan.advance(Progress, Now) == shutdown_step::Announcing);
  const boot_time ConfirmedAt = Now + seconds(1);

  SUBCASE("serves until the cached directory responses have expired") {
    Progress.PeersConfirmed = true;
    CHECK(Plan.advance(Progress, ConfirmedAt) == shutdown_step::ServingKept);
    Now = ConfirmedAt + Settings.DirectoryTtl;
    Plan.advance(Progress, Now);
    CHECK(Plan.acceptsRequests());
    Now += Settings.Slack;
    CHECK(Plan.advance(Progress, Now) == shutdown_step::Finishing);
    CHECK_FALSE(Plan.acceptsRequests());

    SUBCASE("and waits for requests in flight without a time limit") {
      Progress.RightsReturned = true;
      CHECK(Plan.advance(Progress, Now + seconds(600)) ==
            shutdown_step::Finishing);
      Progress.RequestsInFlight = 0;
      CHECK(Plan.advance(Progress, Now + seconds(600)) == shutdown_step::Done);
    }
  }

  SUBCASE("stops waiting for peers and returned shares after a timeout") {
    Now += Settings.AnnounceTimeout;
    CHECK(Plan.advance(Progress, Now) == shutdown_step::ServingKept);
    Now += Settings.DirectoryTtl + Settings.Slack;
    Progress.RequestsInFlight = 0;
    CHECK(Plan.advance(Progress, Now) == shutdown_step::Done);
  }

  SUBCASE("starts once") {
    Now += Settings.AnnounceTimeout;
    Plan.begin(Now);
    CHECK(Plan.advance(Progress, Now) == shutdown_step::ServingKept);
  }
}
