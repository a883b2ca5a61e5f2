#include "Request/RefusalPlan.h"

#include <doctest/doctest.h>

using namespace magnolia::request;

TEST_CASE("A request that a target has refused") {
  refused_request Request;
  Request.LoadIsTold = true;
  Request.HasUntriedTarget = true;

  SUBCASE("goes to another target at once while there is room") {
    CHECK(decideAfterRefusal({}, Request) == after_refusal::SendNow);
  }
  SUBCASE("waits where all targets were tried") {
    Request.HasUntriedTarget = false;
    CHECK(decideAfterRefusal({}, Request) == after_refusal::SendLater);
  }
  SUBCASE("waits once without room, then is given up") {
    Request.HasRoom = false;
    CHECK(decideAfterRefusal({}, Request) == after_refusal::SendLater);
    Request.Refusals = 2;
    CHECK(decideAfterRefusal({}, Request) == after_refusal::GiveUp);
  }
  SUBCASE("is given up earlier if others need the room more") {
    Request.Refusals = 2;
    CHECK(decideAfterRefusal({}, Request) == after_refusal::SendNow);
    Request.YieldsRoom = true;
    CHECK(decideAfterRefusal({}, Request) == after_refusal::GiveUp);
  }
  SUBCASE("is tried more often where targets do not tell their load") {
    Request.LoadIsTold = false;
    Request.Refusals = 6;
    CHECK(decideAfterRefusal({}, Request) == after_refusal::SendNow);
    Request.Refusals = 7;
    CHECK(decideAfterRefusal({}, Request) == after_refusal::GiveUp);
  }
}
