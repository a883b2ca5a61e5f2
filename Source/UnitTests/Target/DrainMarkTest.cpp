#include "Target/DrainMark.h"

#include <doctest/doctest.h>

using magnolia::target::drain_mark;

TEST_CASE("A drain mark") {
  drain_mark Mark;
  REQUIRE(Mark.report(true, 7));
  const drain_mark Drained = Mark;

  SUBCASE("is not reverted by older marks from peers") {
    CHECK_FALSE(Mark.merge({7, 0, false}));
    CHECK_FALSE(Mark.merge({6, 9, false}));
    CHECK(Mark.Draining);
  }

  SUBCASE("ends with a newer incarnation") {
    CHECK(Mark.report(false, 8));
    CHECK_FALSE(Mark.Draining);

    SUBCASE("and an old mark does not drain it again") {
      CHECK_FALSE(Mark.merge(Drained));
      CHECK_FALSE(Mark.Draining);
    }
    SUBCASE("nor does a late response of the old process") {
      CHECK_FALSE(Mark.report(true, 7));
      CHECK_FALSE(Mark.reportLate(true, 7));
      CHECK_FALSE(Mark.Draining);
    }
  }

  SUBCASE("ends when the process reports that it is not draining") {
    CHECK(Mark.report(false, 7));
    CHECK_FALSE(Mark.Draining);
    CHECK_FALSE(Mark.merge(Drained));
  }

  SUBCASE("is kept after a response to an earlier request") {
    CHECK_FALSE(Mark.reportLate(false, 7));
    CHECK(Mark.Draining);
  }

  SUBCASE("merges to the same result in any order") {
    drain_mark A{7, 1, true};
    drain_mark B{7, 1, false};
    CHECK_FALSE(A.merge(B));
    CHECK(B.merge({7, 1, true}));
    CHECK(A == B);
  }
}
