#include "Fleet/PeerView.h"

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using magnolia::placement::evidence;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("An instance's view of its peers") {
  uint64_t WorkspaceUse = 0;
  uint64_t EarlierUse = 0;
  uint64_t ExtraAttempts = 0;
  std::vector<target_event> Events;
  int Appeared = 0;
  peer_hooks Hooks;
  Hooks.OnAppeared = [&](const peer &) { ++Appeared; };
  Hooks.OnWorkspaceUse = [&](uint32_t, uint64_t Requests) {
    WorkspaceUse += Requests;
  };
  Hooks.OnEarlierUse = [&](uint32_t, uint64_t Requests) {
    EarlierUse += Requests;
  };
  Hooks.OnServiceUse = [&](const service_total &Growth) {
    ExtraAttempts += Growth.ExtraAttempts;
  };
  Hooks.OnEvent = [&](const target_event &Event) { Events.push_back(Event); };
  std::vector<suspect_report> Suspects;
  Hooks.OnSuspect = [&](const suspect_report &Report) {
    Suspects.push_back(Report);
  };
  Hooks.OnUpdate = [](const peer &, const update_message &) {};
  boot_time Now(seconds(10));
  peer_view View("own", 1, Now - seconds(1), {}, Hooks);

  hello_message Hello;
  Hello.Boot = 2;
  Hello.Identity = {"other", "Nitra", "10.0.0.2:7", "10.0.0.2:8"};
  Hello.State = instance_state::Ready;
  update_message Update;
  Update.Boot = 2;
  Update.State = instance_state::Ready;

  SUBCASE("asks a sender that it does not know to introduce itself") {
    CHECK_FALSE(View.apply(Update, Now));
    View.apply(Hello, Now);
    CHECK(View.apply(Update, Now));
    CHECK(Appeared == 1);
  }
  SUBCASE("ignores its own messages") {
    Hello.Boot = 1;
    Hello.Identity.Name = "own";
    View.apply(Hello, Now);
    View.addRegistered(Hello.Identity);
    CHECK(View.size() == 0);
    CHECK(View.reachableFraction(Now) == 1);
  }
  SUBCASE("counts registered instances that never sent a message") {
    View.addRegistered(Hello.Identity);
    CHECK(View.reachableFraction(Now) == 0.5);
    View.apply(Hello, Now);
    CHECK(View.reachableFraction(Now) == 1);
    CHECK(View.reachableFraction(Now + seconds(3)) == 0.5);
  }
  SUBCASE("applies each increase of a peer's totals once") {
    View.apply(Hello, Now);
    Update.Workspaces = {{5, 10}};
    Update.Services = {{6, 10, 2, 0}};
    View.apply(Update, Now);
    View.apply(Update, Now);
    CHECK(WorkspaceUse == 10);
    CHECK(ExtraAttempts == 2);
    Update.Workspaces = {{5, 14}};
    View.apply(Update, Now);
    CHECK(WorkspaceUse == 14);

    SUBCASE("but not what it admitted while it was unreachable") {
      Now += seconds(5);
      Update.Workspaces = {{5, 100}};
      View.apply(Update, Now);
      CHECK(WorkspaceUse == 14);
      Update.Workspaces = {{5, 101}};
      View.apply(Update, Now);
      CHECK(WorkspaceUse == 15);
    }
    SUBCASE("and all totals of a successor under the same name") {
      Hello.Boot = 3;
      View.apply(Hello, Now);
      Update.Boot = 3;
      Update.Workspaces = {{5, 4}};
      View.apply(Update, Now);
      CHECK(WorkspaceUse == 18);
      CHECK(View.size() == 1);
    }
  }
  SUBCASE(
      "does not count the earlier totals of a peer that started before it") {
    Hello.Uptime = seconds(60);
    View.apply(Hello, Now);
    Update.Workspaces = {{5, 500}};
    Update.Services = {{6, 1000, 60, 40}};
    View.apply(Update, Now);
    CHECK(WorkspaceUse == 0);
    CHECK(EarlierUse == 500);
    CHECK(ExtraAttempts == 0);

    SUBCASE("but counts their later growth") {
      Update.Workspaces = {{5, 503}};
      Update.Services = {{6, 1010, 62, 40}};
      View.apply(Update, Now);
      CHECK(WorkspaceUse == 3);
      CHECK(EarlierUse == 500);
      CHECK(ExtraAttempts == 2);
    }
  }
  SUBCASE("applies each event once, also when messages repeat them") {
    View.apply(Hello, Now);
    Update.FirstEvent = 0;
    Update.Events = {{9, evidence::Broken, 1}};
    View.apply(Update, Now);
    Update.Events = {{9, evidence::Broken, 250}, {8, evidence::Accepted, 60}};
    View.apply(Update, Now);
    REQUIRE(Events.size() == 2);
    CHECK(Events[1].Target == 8);
  }
  SUBCASE("applies an event that arrived before its update once") {
    View.apply(Hello, Now);
    const events_message Urgent{2, 0, {{9, evidence::Broken, 3}}};
    CHECK(View.apply(Urgent));
    Update.Events = {{9, evidence::Broken, 200}, {8, evidence::Accepted, 60}};
    View.apply(Update, Now);
    CHECK(View.apply(Urgent));
    CHECK(Events.size() == 2);

    SUBCASE("and a state that was sent before it") {
      Update.Number = 1;
      Update.State = instance_state::Draining;
      View.apply(Update, Now);
      CHECK(View.peers().at("other").State == instance_state::Draining);
    }
  }
  SUBCASE("does not take urgent evidence of an unknown sender") {
    CHECK_FALSE(View.apply(events_message{2, 0, {{9, evidence::Broken, 3}}}));
    CHECK(Events.empty());
  }
  SUBCASE("keeps the newer state when an older message arrives later") {
    View.apply(Hello, Now);
    update_message Later = Update;
    Update.Number = 1;
    Later.Number = 2;
    Later.State = instance_state::Draining;
    Later.Workspaces = {{5, 3}};
    Update.Workspaces = {{5, 2}};
    View.apply(Later, Now);
    View.apply(Update, Now);
    CHECK(View.peers().at("other").State == instance_state::Draining);
    CHECK(WorkspaceUse == 3);
  }
  SUBCASE("does not hear a peer through an update that was forwarded late") {
    View.apply(Hello, Now);
    Update.Number = 7;
    Update.Workspaces = {{5, 3}};
    View.apply(Update, Now);
    // The peer has died; an instance that was paused forwards its updates.
    Now += seconds(5);
    View.apply(Update, Now);
    Update.Number = 6;
    View.apply(Update, Now);
    CHECK_FALSE(View.isReachable(View.peers().at("other"), Now));
    CHECK(WorkspaceUse == 3);
    Update.Number = 8;
    View.apply(Update, Now);
    CHECK(View.isReachable(View.peers().at("other"), Now));
  }
  SUBCASE("trusts one peer that reports LongSteady, though more peers fail") {
    for (const uint64_t Boot : {2UL, 3UL, 4UL}) {
      Hello.Boot = Boot;
      Hello.Identity.Name = "other-" + std::to_string(Boot);
      View.apply(Hello, Now);
      Update.Boot = Boot;
      Update.Reading =
          Boot == 2 ? reading_state::Steady : reading_state::Failing;
      View.apply(Update, Now);
    }
    // It may have started reading only after the store was available again.
    CHECK_FALSE(View.othersReadSteadily(Now));
    Update.Boot = 2;
    Update.Reading = reading_state::LongSteady;
    View.apply(Update, Now);
    CHECK(View.othersReadSteadily(Now));
    CHECK_FALSE(View.othersReadSteadily(Now + seconds(1)));
  }
  SUBCASE("knows whether other instances read the store steadily") {
    CHECK_FALSE(View.othersReadSteadily(Now));
    View.apply(Hello, Now);
    CHECK_FALSE(View.othersReadSteadily(Now));
    Update.Reading = reading_state::Steady;
    View.apply(Update, Now);
    CHECK(View.othersReadSteadily(Now));
    CHECK_FALSE(View.othersReadSteadily(Now + seconds(3)));
  }
}
