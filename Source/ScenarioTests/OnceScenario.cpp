#include <map>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "ScenarioTests/Callers.h"

using namespace magnolia::scenario;

namespace {

constexpr int Threads = 9;

call order(const std::string &Secret, const std::string &Id) {
  call Call;
  Call.Method = "POST";
  Call.Path = "/order/gloves";
  Call.Secret = Secret;
  Call.Body = "pair=1";
  Call.Headers["X-Call"] = Id;
  return Call;
}

std::map<std::string, int> runsByCall(const std::vector<target_run> &Runs) {
  std::map<std::string, int> Counts;
  for (const target_run &Run : Runs)
    ++Counts[Run.CallId];
  return Counts;
}

} // namespace

TEST_CASE("An order runs at most once, and 'not run' is true") {
  fleet_plan Plan;
  Plan.BreakableLinks = true;
  Plan.RouteTimeout = "2s";
  fleet Fleet(Plan);
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  caller_group Callers(Threads, [&](int Thread, int Number) {
    const std::string Instance = absl::StrCat("i", Thread % 3 + 1);
    return std::make_pair(Fleet.callers(Instance),
                          order(Secret, absl::StrCat(Thread, "-", Number)));
  });
  const auto AwaitMore = [&](size_t More) {
    const size_t Before = Callers.count(200);
    CHECK(await([&] { return Callers.count(200) >= Before + More; }));
  };
  AwaitMore(30);

  SUBCASE("when links to targets are reset again and again") {
    for (int Round = 0; Round < 10; ++Round) {
      Fleet.setLink("target-t1", R"({"reset": true})");
      Fleet.setLink("target-t2", R"({"reset": true})");
      AwaitMore(5);
    }
  }

  SUBCASE("when answers are dropped after the run") {
    Fleet.setLink("target-t1", R"({"drop_replies": true})");
    AwaitMore(30);
    Fleet.setLink("target-t1", R"({"clear": true})");
  }

  SUBCASE("when a target refuses connections") {
    Fleet.setLink("target-t1", R"({"refuse": true, "reset": true})");
    AwaitMore(60);
    Fleet.setLink("target-t1", R"({"clear": true})");
  }

  SUBCASE("when targets answer half, for others, or reset") {
    Fleet.setTarget("t1", "/admin/mode", R"({"mode": "half_answer"})");
    Fleet.setTarget("t2", "/admin/mode", R"({"mode": "wrong_answer"})");
    AwaitMore(30);
    Fleet.setTarget("t1", "/admin/mode", R"({"mode": "reset"})");
    AwaitMore(30);
    Fleet.setTarget("t1", "/admin/mode", R"({"mode": "none"})");
    Fleet.setTarget("t2", "/admin/mode", R"({"mode": "none"})");
  }

  SUBCASE("when an instance is killed") {
    Fleet.endInstance("i2", SIGKILL);
    AwaitMore(30);
    Fleet.restartInstance("i2");
  }

  AwaitMore(30);
  const auto Exchanges = Callers.stop();
  const auto Runs = Fleet.runs();
  for (const auto &Counted : runsByCall(Runs)) {
    CAPTURE(Counted.first);
    CHECK(Counted.second == 1);
  }
  const auto False = falseNotRun(Exchanges, Runs);
  CAPTURE(absl::StrCat(False.size(), " ", False.empty() ? "" : False[0]));
  CHECK(False.empty());
}

TEST_CASE("A caller repeats an order with its idempotency key") {
  fleet Fleet({.BreakableLinks = true});
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  call Order = order(Secret, "first");
  Order.Headers["Idempotency-Key"] = "order-1";
  const std::string First = Fleet.callers("i1");
  const std::string Other = Fleet.callers("i2");

  SUBCASE("at another instance, after an answer") {
    CHECK(send(First, Order).ok());
    CHECK(await([&] {
      return send(Other, Order).ErrorKind == "idempotency_completed";
    }));
    CHECK(send(Other, Order).Ran == "yes");
    CHECK(Fleet.runs().size() == 1);
  }

  SUBCASE("at another instance, after the first was killed in between") {
    for (const char *Target : {"t1", "t2", "t3"})
      Fleet.setTarget(Target, "/admin/mode",
                      R"({"mode": "slow", "delay_ms": 2000})");
    // The first instance of a fresh fleet may hold every share of the rate, and
    // the repeat cannot have one that ends with it.
    Fleet.awaitSharesSettled();
    std::thread Caller([&] { send(First, Order); });
    CHECK(await([&] { return Fleet.runs().size() == 1; }));
    Fleet.endInstance("i1", SIGKILL);
    Caller.join();
    const call_result Repeat = send(Other, Order);
    CAPTURE(Repeat.Body);
    CHECK(Repeat.Status == 409);
    CHECK(Repeat.Ran != "no");
    CHECK(Fleet.runs().size() == 1);
  }

  SUBCASE("with another body, which is another request") {
    CHECK(send(First, Order).ok());
    Order.Body = "pair=2";
    const call_result Changed = send(Other, Order);
    CHECK_FALSE(Changed.ok());
    CHECK(Fleet.runs().size() == 1);
  }

  SUBCASE("while the platform is away, and is refused as not run") {
    Fleet.setPlatform(R"({"down": true})");
    const call_result Refused = send(First, Order);
    CHECK(Refused.ErrorKind == "idempotency_unavailable");
    CHECK(Refused.Ran == "no");
    CHECK(Fleet.runs().empty());
    Fleet.setPlatform(R"({"down": false})");
    CHECK(await([&] { return send(First, Order).ok(); }));
    CHECK(Fleet.runs().size() == 1);
  }
}

TEST_CASE("A caller gets its own whole answer or none") {
  fleet_plan Plan;
  Plan.Targets = 1;
  Plan.RouteTimeout = "1s";
  fleet Fleet(Plan);
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  const auto Send = [&] {
    call Call;
    Call.Path = "/lookup/x";
    Call.Secret = Secret;
    return send(Fleet.callers("i1"), Call);
  };
  CHECK(Send().ok());

  for (const char *Mode : {"half_answer", "wrong_answer", "double_answer",
                           "chunked_without_end", "reset", "stall"}) {
    CAPTURE(Mode);
    Fleet.setTarget("t1", "/admin/mode",
                    absl::StrCat(R"({"mode": ")", Mode, R"("})"));
    const call_result Result = Send();
    // A second answer behind the first one is dropped with its connection.
    CHECK(Result.ok() == (std::string(Mode) == "double_answer"));
    CHECK(Result.Ran != "no");
    Fleet.setTarget("t1", "/admin/mode", R"({"mode": "none"})");
    CHECK(await([&] { return Send().ok(); }));
  }

  SUBCASE("and one that leaves cancels its request at the target") {
    Fleet.setTarget("t1", "/admin/mode",
                    R"({"mode": "slow", "delay_ms": 900})");
    call Call;
    Call.Path = "/lookup/left";
    Call.Secret = Secret;
    Call.Timeout = std::chrono::milliseconds(100);
    CHECK(send(Fleet.callers("i1"), Call).Status == 0);
    CHECK(await([&] {
      for (const target_run &Run : Fleet.runs())
        if (Run.Path == "/lookup/left" &&
            Run.Json.find("caller_gone") != std::string::npos)
          return true;
      return false;
    }));
  }
}
