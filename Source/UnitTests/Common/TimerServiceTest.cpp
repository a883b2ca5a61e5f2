#include "Common/TimerService.h"

#include <vector>

#include <doctest/doctest.h>

using namespace magnolia::common;
using std::chrono::milliseconds;

namespace {

boot_time at(int Milliseconds) { return boot_time(milliseconds(Milliseconds)); }

} // namespace

TEST_CASE("A timer service") {
  timer_service Service;
  std::vector<int> Fired;

  SUBCASE("runs callbacks once each, in the order of due times") {
    Service.subscribeOnce(at(20), [&](boot_time) { Fired.push_back(20); });
    Service.subscribeOnce(at(10), [&](boot_time) { Fired.push_back(10); });
    CHECK(Service.nextDue() == at(10));
    Service.advance(at(9));
    CHECK(Fired.empty());
    Service.advance(at(30));
    Service.advance(at(40));
    CHECK(Fired == std::vector<int>{10, 20});
  }

  SUBCASE("runs a periodic callback once after several missed periods") {
    Service.subscribeEvery(at(10), milliseconds(10),
                           [&](boot_time) { Fired.push_back(1); });
    Service.advance(at(55));
    CHECK(Fired.size() == 1);
    CHECK(Service.nextDue() == at(60));
    Service.advance(at(60));
    CHECK(Fired.size() == 2);
  }

  SUBCASE("does not run a cancelled callback, even if cancelled by another") {
    const auto Later =
        Service.subscribeOnce(at(20), [&](boot_time) { Fired.push_back(20); });
    Service.subscribeOnce(at(10), [&](boot_time) { Service.cancel(Later); });
    Service.advance(at(30));
    CHECK(Fired.empty());
  }
}
