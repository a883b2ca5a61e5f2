#include <cstdio>
#include <fstream>

#include <doctest/doctest.h>

#include "MagnoliaLoad/Arrivals.h"
#include "MagnoliaLoad/EjectionWatch.h"
#include "MagnoliaLoad/Latency.h"
#include "MagnoliaLoad/Report.h"
#include "MagnoliaLoad/Runner.h"

using namespace magnolia::load;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

experiment twoWorkspaces(uint64_t Seed) {
  experiment Experiment;
  Experiment.Seed = Seed;
  Experiment.Duration = seconds(100);
  Experiment.MaxRequests = 1'000'000;
  workspace_load Clubs{"clubs", "", 50, 20, 0.5, 4, "", {{"GET", "/a"}}};
  workspace_load Busy{"busy", "", 50, 20, 5, 4, "", {{"GET", "/a"}}};
  Experiment.Workspaces = {Clubs, Busy};
  return Experiment;
}

std::vector<arrival> allOf(const experiment &Experiment) {
  std::vector<arrival> All;
  arrivals Arrivals(Experiment);
  while (const auto Next = Arrivals.next())
    All.push_back(*Next);
  return All;
}

/// A file that lives as long as the test.
class temporary_file {
public:
  explicit temporary_file(const std::string &Text) {
    std::ofstream(Path) << Text;
  }
  ~temporary_file() { std::remove(Path.c_str()); }

  const std::string Path = "load-test-experiment.yaml";
};

} // namespace

TEST_CASE("Arrivals") {
  const experiment Experiment = twoWorkspaces(7);
  const std::vector<arrival> All = allOf(Experiment);

  SUBCASE("come in the order of time and are the same for the same seed") {
    const std::vector<arrival> Again = allOf(Experiment);
    REQUIRE(All.size() == Again.size());
    for (size_t Index = 1; Index < All.size(); ++Index) {
      CHECK(All[Index - 1].At <= All[Index].At);
      CHECK(All[Index].At == Again[Index].At);
      CHECK(All[Index].Workspace == Again[Index].Workspace);
    }
    CHECK(allOf(twoWorkspaces(8)).front().At != All.front().At);
  }

  SUBCASE("keep the load, and the reference admits no more than the rate") {
    uint64_t Sent[2] = {};
    uint64_t Within[2] = {};
    for (const arrival &Arrival : All) {
      ++Sent[Arrival.Workspace];
      Within[Arrival.Workspace] += Arrival.WithinRate ? 1 : 0;
    }
    CHECK(Sent[0] == doctest::Approx(2500).epsilon(0.1));
    CHECK(Sent[1] == doctest::Approx(25000).epsilon(0.1));
    CHECK(Within[0] == Sent[0]);
    CHECK(Within[1] <= 50 * 100 + 20);
    CHECK(Within[1] > 4900);
  }

  SUBCASE("end at the request count") {
    experiment Short = twoWorkspaces(7);
    Short.MaxRequests = 10;
    CHECK(allOf(Short).size() == 10);
  }
}

TEST_CASE("A histogram gives quantiles within a few percent") {
  latency_histogram First;
  latency_histogram Second;
  for (int Count = 1; Count <= 1000; ++Count)
    (Count % 2 == 0 ? First : Second).add(milliseconds(Count));
  First.merge(Second);
  CHECK(First.count() == 1000);
  CHECK(First.quantileMs(0.5) == doctest::Approx(500).epsilon(0.02));
  CHECK(First.quantileMs(0.99) == doctest::Approx(990).epsilon(0.02));
  CHECK(latency_histogram().quantileMs(0.99) == 0);
}

TEST_CASE("Wrongful refusals count what an ideal bucket would have admitted") {
  workspace_result Result;
  Result.Sent = 100;
  Result.WithinRate = 20;

  SUBCASE("not the refusals beyond the rate") {
    Result.RateRefused = 80;
    CHECK(Result.wronglyRefused() == 0);
  }
  SUBCASE("but each one short of it") {
    Result.RateRefused = 85;
    Result.Succeeded = 15;
    CHECK(Result.wronglyRefused() == 5);
    CHECK(Result.successRatio() == doctest::Approx(0.75));
  }
}

TEST_CASE("Ejections are told apart") {
  experiment Experiment;
  scheduled_event Event;
  Event.At = seconds(5);
  Event.Gray = {"orders-01", "orders-02"};
  Experiment.Events = {Event};
  ejection_watch Watch(Experiment);
  const auto Standing = [](const std::string &Target) {
    return "magnolia_target_standing{service=\"orders\",target=\"" + Target +
           "\",standing=\"ejected\"} 1\n";
  };
  Watch.observe("# HELP\n" + Standing("orders-03"), seconds(4));
  Watch.observe(Standing("orders-01") + Standing("orders-01"), seconds(6));
  Watch.observe(Standing("orders-01"), seconds(9));
  const auto Detections = Watch.detections();
  REQUIRE(Detections.size() == 2);
  REQUIRE(Detections[0].EjectedAt.has_value());
  CHECK(*Detections[0].EjectedAt == seconds(6));
  CHECK_FALSE(Detections[1].EjectedAt.has_value());
  CHECK(Watch.falseEjections() == std::vector<std::string>{"orders-03"});
}

TEST_CASE("An experiment file") {
  SUBCASE("with mistakes names them all") {
    const temporary_file File(
        "name: a\nduration: 5 parsecs\nentires: []\n"
        "workspaces:\n  - {name: w, rate: 0, burst: 1}\n");
    const auto Experiment = readExperiment(File.Path);
    REQUIRE_FALSE(Experiment.ok());
    const std::string Message(Experiment.status().message());
    for (const char *Key : {"duration", "entires", "rate", "requests"})
      CHECK_MESSAGE(Message.find(Key) != std::string::npos, Message);
  }
  SUBCASE("without mistakes is read, and the report holds no key") {
    const temporary_file File(
        "name: a\nseed: 9\nduration: 5s\nentries: [127.0.0.1:1]\n"
        "workspaces:\n  - name: w\n    key: hidden-secret\n    rate: 10\n"
        "    burst: 1\n    requests: [{path: /a}]\n");
    const auto Experiment = readExperiment(File.Path);
    REQUIRE_MESSAGE(Experiment.ok(), Experiment.status().ToString());
    CHECK(Experiment->Seed == 9);
    run_result Result;
    Result.Workspaces.resize(1);
    CHECK(jsonReport(*Experiment, Result).find("hidden-secret") ==
          std::string::npos);
  }
}
