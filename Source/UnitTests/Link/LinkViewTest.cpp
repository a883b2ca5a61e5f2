#include "Link/LinkView.h"

#include <doctest/doctest.h>

using namespace magnolia::link;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A link view") {
  link_view View("a", seconds(3));
  boot_time Now(seconds(100));
  using heartbeats = std::vector<received_heartbeat>;

  SUBCASE("recognizes a link that works in both directions") {
    View.recordHeartbeat("b", "Nitra", heartbeats{{"a", milliseconds(200)}},
                         Now);
    CHECK(View.stateOf("b", Now) == link_state::TwoWay);
  }

  SUBCASE("recognizes the direction in which a link is cut") {
    View.recordHeartbeat("b", "Nitra", heartbeats{{"c", milliseconds(200)}},
                         Now);
    CHECK(View.stateOf("b", Now) == link_state::InboundOnly);
    CHECK(View.stateOf("c", Now) == link_state::HeardByOthers);
    CHECK(View.stateOf("d", Now) == link_state::Silent);
  }

  SUBCASE("adds the reported age of heartbeats that peers received") {
    View.recordHeartbeat("b", "Nitra", heartbeats{{"c", milliseconds(2900)}},
                         Now);
    CHECK(View.stateOf("c", Now) == link_state::HeardByOthers);
    Now += milliseconds(200);
    CHECK(View.stateOf("c", Now) == link_state::Silent);
  }

  SUBCASE("reports a peer without recent heartbeats as silent") {
    View.recordHeartbeat("b", "Nitra", heartbeats{{"a", milliseconds(0)}}, Now);
    Now += seconds(4);
    CHECK(View.stateOf("b", Now) == link_state::Silent);
    CHECK(View.receivedHeartbeats(Now).empty());
  }

  SUBCASE("recognizes a failure domain that cannot reach it") {
    View.recordHeartbeat("b", "Nitra", heartbeats{}, Now);
    View.recordHeartbeat("c", "Nitra", heartbeats{}, Now);
    View.recordHeartbeat("d", "Senica", heartbeats{{"a", milliseconds(0)}},
                         Now);
    Now += seconds(4);
    View.recordHeartbeat("d", "Senica",
                         heartbeats{{"a", milliseconds(9)},
                                    {"b", milliseconds(9)},
                                    {"c", milliseconds(9)}},
                         Now);
    const auto Domains = View.byDomain(Now);
    CHECK(Domains.at("Nitra").HeardByOthers == 2);
    CHECK(Domains.at("Nitra").TwoWay == 0);
    CHECK(Domains.at("Senica").TwoWay == 1);
  }
}
