#include "Common/LogQueue.h"

#include <doctest/doctest.h>

using namespace magnolia::common;
using std::chrono::seconds;

TEST_CASE("Log lines on their way to a writer") {
  log_limits Limits;
  Limits.RoutineLinesPerSecond = 3;
  Limits.ImportantLinesPerSecond = 5;
  Limits.MaxQueuedLines = 16;
  log_queue Queue(Limits);
  boot_time Now(seconds(100));
  const auto Add = [&](const std::string &Kind, bool Important) {
    const auto Permission = Queue.admit(Kind, Important, Now);
    if (Permission.Granted)
      Queue.add(Kind);
    return Permission;
  };

  SUBCASE("are bounded in a second for each kind") {
    for (int Count = 0; Count < 3; ++Count)
      CHECK(Add("a", false).Granted);
    CHECK_FALSE(Add("a", false).Granted);
    CHECK(Add("b", false).Granted);

    SUBCASE("and the next one tells how many were left out") {
      CHECK_FALSE(Add("a", false).Granted);
      Now += seconds(1);
      CHECK(Add("a", false).Dropped == 2);
      CHECK(Add("a", false).Dropped == 0);
      CHECK(Queue.dropped() == 2);
    }
  }
  SUBCASE("keep failures when a stuck writer fills the queue") {
    for (int Second = 0; Second < 4; ++Second) {
      Add("a", false);
      Add("b", false);
      Now += seconds(1);
    }
    CHECK(Queue.pending() == 8);
    CHECK(Add("failure", true).Granted);
    CHECK(Add("failure", true).Granted);
    CHECK(Queue.pending() == 10);
  }
  SUBCASE("never fill the memory") {
    for (int Second = 0; Second < 100; ++Second) {
      Add("failure", true);
      Now += seconds(1);
    }
    CHECK(Queue.pending() == 16);
  }
  SUBCASE("come out in their order") {
    Add("a", false);
    Add("b", true);
    CHECK(Queue.take(seconds(0)) == "a");
    CHECK(Queue.take(seconds(0)) == "b");
    // Taken, but perhaps not written.
    CHECK(Queue.pending() == 1);
    CHECK_FALSE(Queue.take(seconds(0)).has_value());
  }
}
