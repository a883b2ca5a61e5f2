#include "Instance/Membership.h"

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::instance;
using std::chrono::seconds;

namespace {

instance_info info(const std::string &Name, uint64_t Incarnation = 1) {
  return {Name,    Incarnation,          "boot-" + Name,
          "Nitra", "127.0.0.1:1" + Name, "127.0.0.1:2" + Name};
}

heartbeat heartbeatOf(const std::string &Name, uint64_t Incarnation = 1) {
  heartbeat Heartbeat;
  Heartbeat.Info = info(Name, Incarnation);
  return Heartbeat;
}

} // namespace

TEST_CASE("A membership view") {
  membership View(info("a"), {});
  boot_time Now(seconds(100));
  const auto PresenceOf = [&](const std::string &Name) {
    for (const member &Each : View.members(Now))
      if (Each.Info.Name == Name)
        return Each.Presence;
    return presence::Count;
  };
  const std::vector<instance_info> Rows = {info("a"), info("b")};
  View.setRows(Rows, Now);

  SUBCASE("considers itself and a newly introduced instance alive") {
    CHECK(PresenceOf("a") == presence::Alive);
    CHECK(PresenceOf("b") == presence::Alive);
  }

  SUBCASE("marks a silent instance as suspect, then as gone") {
    View.receive(heartbeatOf("b"), Now);
    Now += seconds(4);
    CHECK(PresenceOf("b") == presence::Suspect);
    Now += seconds(30);
    CHECK(PresenceOf("b") == presence::Gone);
    View.receive(heartbeatOf("b"), Now);
    CHECK(PresenceOf("b") == presence::Alive);

    SUBCASE("and removes it once its row is removed too") {
      Now += seconds(40);
      View.setRows({}, Now);
      CHECK(PresenceOf("b") == presence::Count);
    }
  }

  SUBCASE("considers an instance alive whose heartbeats reach a peer") {
    Now += seconds(10);
    heartbeat Other = heartbeatOf("c");
    Other.Received = {{"b", seconds(1)}};
    View.receive(Other, Now);
    CHECK(PresenceOf("b") == presence::Alive);
  }

  SUBCASE("learns from a peer that an instance is draining") {
    View.receive(heartbeatOf("b"), Now);
    heartbeat Other = heartbeatOf("c");
    Other.KnownDraining = {{"b", 1}};
    View.receive(Other, Now);
    CHECK(PresenceOf("b") == presence::Draining);

    SUBCASE("which a late heartbeat does not revert") {
      View.receive(heartbeatOf("b"), Now);
      CHECK(PresenceOf("b") == presence::Draining);
    }
    SUBCASE("which does not apply to the process that replaces it") {
      View.receive(heartbeatOf("b", 2), Now);
      CHECK(PresenceOf("b") == presence::Alive);
      View.receive(Other, Now);
      CHECK(PresenceOf("b") == presence::Alive);
      CHECK_FALSE(View.receive(heartbeatOf("b", 1), Now));
    }
  }

  SUBCASE("applies the lagging list unless the instance sent a heartbeat") {
    const std::vector<platform::listed_instance> List = {{"b", true}};
    View.setList(List);
    CHECK(PresenceOf("b") == presence::Draining);
    View.receive(heartbeatOf("b"), Now);
    CHECK(PresenceOf("b") == presence::Alive);
  }

  SUBCASE("knows when every peer has confirmed that it is draining") {
    View.receive(heartbeatOf("b"), Now);
    View.receive(heartbeatOf("c"), Now);
    View.startDraining();
    CHECK(View.makeHeartbeat(1, {}, Now).Draining);
    heartbeat Confirms = heartbeatOf("b");
    Confirms.KnownDraining = {{"a", 1}};
    View.receive(Confirms, Now);
    CHECK_FALSE(View.drainingKnownToAll(Now));
    Confirms.Info = info("c");
    View.receive(Confirms, Now);
    CHECK(View.drainingKnownToAll(Now));
  }
}
