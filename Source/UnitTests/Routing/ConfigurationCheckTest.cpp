#include "Routing/ConfigurationCheck.h"

#include <functional>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "Routing/ConfigurationEntries.h"
#include "Routing/RouteTable.h"

using namespace magnolia::routing;
using std::chrono::seconds;

namespace {

using names = std::set<std::string>;

route routeTo(std::string Name, std::string Prefix, std::string Service) {
  route Route;
  Route.Name = std::move(Name);
  Route.Host = "a.example";
  Route.Prefix = std::move(Prefix);
  Route.Parts = {{std::move(Service), 1}};
  return Route;
}

configuration validConfiguration() {
  configuration Configuration;
  Configuration.Version = 1;
  Configuration.Routes = {routeTo("reads", "/reads/", "one"),
                          routeTo("orders", "/orders/", "two")};
  Configuration.Services = {{"one", 10}, {"two", 10}};
  Configuration.Workspaces = {{"w-1", {"k-1"}, 0, 10, 10},
                              {"w-2", {"k-2", "k-3"}, 1, 0, 0}};
  return Configuration;
}

partial_configuration wholeOf(configuration Configuration) {
  partial_configuration Given;
  Given.Configuration = std::move(Configuration);
  for (size_t Row = 1; Row <= 9; ++Row) {
    Given.RouteRows.push_back(Row);
    Given.ServiceRows.push_back(Row);
    Given.WorkspaceRows.push_back(Row);
  }
  return Given;
}

std::vector<finding> findingsIn(const configuration &Configuration,
                                const check_options &Options = {}) {
  return checkConfiguration(wholeOf(Configuration), Options);
}

/// A mistake that exactly one check finds, at one place.
struct mistake {
  std::function<void(configuration &Configuration)> Make;
  std::string Table;
  size_t Row;
  std::string Column;
};

const std::multimap<std::string, mistake> Mistakes = {
    {"repeated-name",
     {[](auto &C) { C.Routes[1].Name = "reads"; }, "routes", 2, "name"}},
    {"repeated-name",
     {[](auto &C) {
        C.Services.push_back({"two", 1});
      },
      "services", 3, "name"}},
    {"repeated-name",
     {[](auto &C) { C.Workspaces[1].Name = "w-1"; }, "workspaces", 2, "name"}},
    {"no-route",
     {[](auto &C) {
        C.Routes.clear();
        C.Services.clear();
      },
      "routes", 0, ""}},
    // The earlier one never matches; host names differ only in their letters.
    {"shadowed-route",
     {[](auto &C) {
        C.Routes[1].Prefix = "/reads/";
        C.Routes[1].Host = "A.example:80";
      },
      "routes", 1, "prefix"}},
    {"unmatchable-host",
     {[](auto &C) { C.Routes[0].Host = "*.example"; }, "routes", 1, "host"}},
    {"unmatchable-host",
     {[](auto &C) { C.Routes[0].Host = ":80"; }, "routes", 1, "host"}},
    {"unmatchable-prefix",
     {[](auto &C) { C.Routes[1].Prefix = "orders/"; }, "routes", 2, "prefix"}},
    {"unmatchable-prefix",
     {[](auto &C) { C.Routes[1].Prefix = "/orders"; }, "routes", 2, "prefix"}},
    {"unmatchable-prefix",
     {[](auto &C) { C.Routes[1].Prefix = "/my orders/"; }, "routes", 2,
      "prefix"}},
    {"route-without-service",
     {[](auto &C) {
        C.Routes[0].Parts.clear();
        C.Services.erase(C.Services.begin());
      },
      "routes", 1, "service"}},
    {"route-without-service",
     {[](auto &C) { C.Routes[0].Parts[0].Weight = 0; }, "routes", 1, "split"}},
    {"unlisted-service",
     {[](auto &C) { C.Services.pop_back(); }, "routes", 2, "service"}},
    {"zero-weight",
     {[](auto &C) {
        C.Routes[0].Parts.push_back({"two", 0});
      },
      "routes", 1, "split"}},
    {"repeated-part",
     {[](auto &C) {
        C.Routes[0].Parts.push_back({"one", 3});
      },
      "routes", 1, "split"}},
    {"service-without-target",
     {[](auto &C) {
        C.Services.push_back({"new", 1});
        C.Routes[0].Parts.push_back({"new", 1});
      },
      "services", 3, "name"}},
    {"unused-service",
     {[](auto &C) { C.Routes.pop_back(); }, "services", 2, "name"}},
    {"shared-key",
     {[](auto &C) { C.Workspaces[1].Keys[1] = "k-1"; }, "workspaces", 2,
      "keys"}},
    {"repeated-key",
     {[](auto &C) { C.Workspaces[1].Keys[1] = "k-2"; }, "workspaces", 2,
      "keys"}},
    {"workspace-without-key",
     {[](auto &C) { C.Workspaces[0].Keys.clear(); }, "workspaces", 1, "keys"}},
    {"no-key",
     {[](auto &C) { C.Workspaces.clear(); }, "workspaces", 0, "keys"}},
    {"zero-timeout",
     {[](auto &C) { C.Routes[0].Timeout = seconds(0); }, "routes", 1,
      "timeout"}},
    {"timeout-below-objective",
     {[](auto &C) { C.Routes[0].LatencyObjective = seconds(61); }, "routes", 1,
      "timeout"}},
    {"no-attempt",
     {[](auto &C) { C.Routes[0].MaxAttempts = 0; }, "routes", 1,
      "max_attempts"}},
    {"single-attempt",
     {[](auto &C) { C.Routes[0].Repeatability = repeatability::Repeatable; },
      "routes", 1, "max_attempts"}},
    {"odd-rank",
     {[](auto &C) { C.Routes[0].Priority = 10; }, "routes", 1, "priority"}},
    {"odd-rank",
     {[](auto &C) { C.Workspaces[1].Priority = -1; }, "workspaces", 2,
      "priority"}},
    {"burst-below-one",
     {[](auto &C) { C.Workspaces[0].Burst = 0.5; }, "workspaces", 1, "burst"}},
    {"burst-below-one",
     {[](auto &C) { C.Workspaces[0].Burst = 0; }, "workspaces", 1, "burst"}},
    {"burst-without-rate",
     {[](auto &C) { C.Workspaces[1].Burst = 5; }, "workspaces", 2, "burst"}},
    {"rates-above-capacity",
     {[](auto &C) { C.Workspaces[0].RatePerSecond = 301; }, "workspaces", 0,
      "rate"}},
    {"unlimited-warm-up",
     {[](auto &C) { C.Services[0].Warmup = std::chrono::seconds(3); },
      "services", 1, "warmup_per_second"}},
    {"limits-above-memory",
     {[](auto &C) { C.Limits.BodyBytes = 100'000'000; }, "limits", 0,
      "body_bytes"}},
};

} // namespace

TEST_CASE("A check of a configuration") {
  const check_options Options{100, 100'000'000,
                              std::set<std::string>{"one", "two"}};

  SUBCASE("objects to nothing in a valid one") {
    CHECK(findingsIn(validConfiguration(), Options).empty());
    const auto InEmpty = findingsIn({}, Options);
    REQUIRE(InEmpty.size() == 1);
    CHECK(InEmpty[0].Check == "no-route");
  }
  SUBCASE("finds each mistake once, with its place and a remedy") {
    names Covered;
    for (const auto &Entry : Mistakes) {
      const std::string &Name = Entry.first;
      const mistake &Mistake = Entry.second;
      CAPTURE(Name);
      configuration Configuration = validConfiguration();
      Mistake.Make(Configuration);
      const auto Findings = findingsIn(Configuration, Options);
      REQUIRE(Findings.size() == 1);
      CHECK(Findings[0].Check == Name);
      CHECK(Findings[0].Place.Table == Mistake.Table);
      CHECK(Findings[0].Place.Row == Mistake.Row);
      CHECK(Findings[0].Place.Column == Mistake.Column);
      CHECK_FALSE(Findings[0].Message.empty());
      CHECK_FALSE(Findings[0].Remedy.empty());
      Covered.insert(Name);
    }
    names All;
    for (const named_check &Check : namedChecks())
      All.insert(std::string(Check.Name));
    CHECK(Covered == All);
  }
  SUBCASE("agrees with the lookup on which route never matches") {
    configuration Configuration = validConfiguration();
    Configuration.Routes[1].Prefix = "/reads/";
    const auto Table = route_table::build(Configuration);
    const auto Findings = findingsIn(Configuration);
    REQUIRE(Findings.size() == 1);
    CHECK(Findings[0].Place.Name == "reads");
    CHECK(Table->find("a.example", "/reads/1")->Name == "orders");
  }
  SUBCASE("does not judge what depends on figures that are not given") {
    configuration Configuration = validConfiguration();
    Configuration.Workspaces[0].RatePerSecond = 1e9;
    Configuration.Limits.BodyBytes = SIZE_MAX;
    CHECK(findingsIn(Configuration).empty());
    CHECK(findingsIn(Configuration, Options).size() == 2);
  }
  SUBCASE("concludes nothing from rows that could not be read") {
    partial_configuration Given = wholeOf(validConfiguration());
    Given.Configuration.Services.pop_back();
    Given.Whole = false;
    CHECK(checkConfiguration(Given, {}).empty());
  }
  SUBCASE("names the row of an entry after one that could not be read") {
    partial_configuration Given = wholeOf(validConfiguration());
    Given.RouteRows = {1, 3};
    Given.Whole = false;
    Given.Configuration.Routes[1].MaxAttempts = 0;
    const auto Findings = checkConfiguration(Given, {});
    REQUIRE(Findings.size() == 1);
    CHECK(Findings[0].Place.Row == 3);
  }
}

TEST_CASE("Two versions of a configuration are compared") {
  const configuration Old = validConfiguration();
  configuration New = Old;
  const auto Differences = [&] {
    std::vector<std::string> Lines;
    for (const auto &Change :
         magnolia::common::diffEntries(entriesOf(Old), entriesOf(New)))
      Lines.push_back(toText(Change));
    return Lines;
  };

  SUBCASE("by their content") {
    CHECK(Differences().empty());
    New.Routes[0].Timeout = seconds(5);
    New.Services.push_back({"three", 7});
    New.Limits.IdleTimeout = seconds(20);
    CHECK(Differences() == std::vector<std::string>{
                               "+ service three: connections of a target 7, "
                               "requests per second while cold 0, warm-up 0",
                               "~ route reads: timeout 1m -> 5s",
                               "~ limits of callers: idle timeout 15s -> 20s"});
  }
  SUBCASE("without showing keys") {
    New.Workspaces[0].Keys = {"k-replaced"};
    REQUIRE(Differences().size() == 1);
    const std::string Line = Differences()[0];
    CHECK(Line.starts_with("~ workspace w-1: keys 1 (digest "));
    CHECK(Line.find("k-") == std::string::npos);
    New.Workspaces[0].Keys.clear();
    CHECK(Differences()[0].ends_with("-> none"));
  }
}
