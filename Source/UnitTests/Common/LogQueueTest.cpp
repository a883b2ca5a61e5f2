#include "Common/LogQueue.h"

#include <doctest/doctest.h>

using namespace magnolia::common;
using std::chrono::seconds;

TEST_CASE("The log queue") {
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

  SUBCASE("limits the lines of each kind per second") {
    for (int Count = 0; Count < 3; ++Count)
      CHECK(Add("a", false).Granted);
    CHECK_FALSE(Add("a", false).Granted);
    CHECK(Add("b", false).Granted);

    SUBCASE("and reports the number of dropped lines with the next one") {
      CHECK_FALSE(Add("a", false).Granted);
      Now += seconds(1);
      CHECK(Add("a", false).Dropped == 2);
      CHECK(Add("a", false).Dropped == 0);
      CHECK(Queue.dropped() == 2);
    }
  }
  SUBCASE("keeps space for important lines while the writer is blocked") {
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
  SUBCASE("never grows beyond its limit") {
    for (int Second = 0; Second < 100; ++Second) {
      Add("failure", true);
      Now += seconds(1);
    }
    CHECK(Queue.pending() == 16);
  }
  SUBCASE("returns lines in order") {
    Add("a", false);
    Add("b", true);
    CHECK(Queue.take(seconds(0)) == "a");
    CHECK(Queue.take(seconds(0)) == "b");
    // The second line is taken but may not be written yet.
    CHECK(Queue.pending() == 1);
    CHECK_FALSE(Queue.take(seconds(0)).has_value());
  }
}
