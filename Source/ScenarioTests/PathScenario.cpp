#include <doctest/doctest.h>

#include "ScenarioTests/Fleet.h"

using namespace magnolia::scenario;

namespace {

call lookup(const std::string &Secret) {
  call Call;
  Call.Path = "/lookup/leathers";
  Call.Secret = Secret;
  return Call;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("A fleet serves the callers of two workspaces") {
  fleet Fleet({});
  Fleet.applyManifest();
  const std::string Hunters = Fleet.issueKey("hunters", "hunters-1");
  const std::string Resellers = Fleet.issueKey("resellers", "resellers-1");

  SUBCASE("through every instance that the directory names") {
    call Ask;
    Ask.Path = "/.magnolia/directory";
    const call_result Directory = send(Fleet.callers("i1"), Ask);
    CHECK(Directory.ok());
    for (const std::string &Instance : Fleet.instances()) {
      CHECK(contains(Directory.Body, Fleet.callers(Instance)));
      CHECK(send(Fleet.callers(Instance), lookup(Hunters)).ok());
      CHECK(send(Fleet.callers(Instance), lookup(Resellers)).ok());
    }
  }

  SUBCASE("and shows keys to no target, log, metric or answer") {
    call Call = lookup(Hunters);
    Call.Headers["Magnolia-Key"] = Hunters;
    Call.Headers["Cookie"] = "kept=1";
    const call_result Answer = send(Fleet.callers("i1"), Call);
    CHECK(Answer.ok());
    CHECK_FALSE(contains(Answer.Body, Hunters));
    const auto Runs = Fleet.runs();
    REQUIRE(Runs.size() == 1);
    CHECK(Runs[0].Workspace == "hunters");
    CHECK(contains(Runs[0].Json, "kept=1"));
    CHECK_FALSE(contains(Runs[0].Json, Hunters));
    call Metrics;
    Metrics.Path = "/metrics";
    const call_result Page = send(Fleet.admin("i1"), Metrics);
    CHECK(contains(Page.Body, "magnolia_requests_total{route=\"lookup\""));
    CHECK_FALSE(contains(Page.Body, Hunters));
    CHECK_FALSE(contains(Fleet.logOf("i1"), Hunters));
  }

  SUBCASE("and refuses what is not theirs, as not run") {
    const std::string Address = Fleet.callers("i2");
    const auto CheckRefused = [&](const call &Call, int Status,
                                  const std::string &Kind) {
      const call_result Result = send(Address, Call);
      CHECK(Result.Status == Status);
      CHECK(Result.ErrorKind == Kind);
      CHECK(Result.Ran == "no");
    };
    CheckRefused(lookup(""), 401, "key_missing");
    CheckRefused(lookup("guess"), 401, "key_unknown");
    call Stated = lookup(Hunters);
    Stated.Headers["Magnolia-Workspace"] = "resellers";
    CheckRefused(Stated, 403, "workspace_mismatch");
    call Elsewhere = lookup(Hunters);
    Elsewhere.Path = "/nowhere";
    CheckRefused(Elsewhere, 404, "route_not_found");
    Elsewhere.Path = "/open/../order/1";
    CheckRefused(Elsewhere, 404, "route_not_found");
    CHECK(Fleet.runs().empty());
  }

  SUBCASE("and passes large bodies whole both ways") {
    call Echo = lookup(Hunters);
    Echo.Method = "POST";
    Echo.Path = "/lookup/echo";
    Echo.Body = std::string(3'000'000, 'x') + "end";
    const call_result Answer = send(Fleet.callers("i1"), Echo);
    CHECK(Answer.ok());
    CHECK(Answer.Body == Echo.Body);
  }

  SUBCASE("and an instance that stops finishes what it began") {
    CHECK(Fleet.endInstance("i3", SIGTERM) == 0);
    CHECK(contains(Fleet.logOf("i3"), "every request is finished"));
    CHECK(send(Fleet.callers("i1"), lookup(Hunters)).ok());
  }
}

TEST_CASE("A fleet refuses what is above its limits") {
  fleet_plan Plan;
  Plan.Instances = 1;
  Plan.Targets = 1;
  Plan.ExtraSettings = "limits:\n  head_bytes: 2000\n  body_bytes: 100000\n"
                       "  buffered_body_bytes: 1000\n";
  fleet Fleet(Plan);
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  call Call;
  Call.Path = "/lookup/echo";
  Call.Secret = Secret;

  SUBCASE("a head") {
    Call.Headers["X-Long"] = std::string(3000, 'x');
    const call_result Result = send(Fleet.callers("i1"), Call);
    CHECK(Result.Status == 431);
    CHECK(Result.ErrorKind == "headers_too_large");
    CHECK(Result.Ran == "no");
  }

  SUBCASE("a body of a declared length, before any of it is sent on") {
    Call.Method = "POST";
    Call.Body = std::string(100'001, 'x');
    const call_result Result = send(Fleet.callers("i1"), Call);
    CHECK(Result.Status == 413);
    CHECK(Result.ErrorKind == "body_too_large");
    CHECK(Result.Ran == "no");
    CHECK(Fleet.runs().empty());
  }

  SUBCASE("a body in chunks, of which a part was sent on") {
    Call.Method = "POST";
    Call.Chunked = true;
    Call.Body = std::string(90'000, 'x');
    CHECK(send(Fleet.callers("i1"), Call).Body == Call.Body);
    Call.Body = std::string(400'000, 'x');
    const call_result Result = send(Fleet.callers("i1"), Call);
    CHECK(Result.Status == 413);
    CHECK(Result.ErrorKind == "body_cut_off");
    CHECK(Result.Ran == "unknown");
  }
}

TEST_CASE("Operators get clear errors for bad input") {
  fleet Fleet({.Instances = 1, .Targets = 1});
  Fleet.applyManifest();

  SUBCASE("all mistakes of a manifest at once, with file and line") {
    const std::string File = Fleet.write(
        "bad.yaml", "workspaces:\n  - {name: a, rate: 0, burst: 1}\n"
                    "  - {name: a, rate: 1, burst: 1}\n"
                    "services: []\n"
                    "routes:\n  - {name: r, path_prefix: /r, service: none}\n");
    const auto Result = Fleet.control({"apply", File, "--no-wait"});
    CHECK(Result.ExitCode == 3);
    CHECK(contains(Result.Output, "bad.yaml:2"));
    CHECK(contains(Result.Output, "bad.yaml:3"));
    CHECK(contains(Result.Output, "bad.yaml:6"));
    CHECK(contains(Fleet.control({"status"}).Output, "version 1 "));
  }

  SUBCASE("a manifest that is based on an old version") {
    const std::string File =
        Fleet.write("old.yaml", "based_on: 7\n" + Fleet.manifest());
    CHECK(Fleet.control({"apply", File, "--no-wait"}).ExitCode == 4);
  }

  SUBCASE("settings with several mistakes") {
    const std::string File =
        Fleet.write("settings.yaml", "instance:\n  name: x\ncolor: red\n"
                                     "platform: localhost\n");
    const auto Result =
        runProgram("magnoliad", {"--settings", File, "--check"}, File + ".log");
    CHECK(Result.ExitCode == 3);
    CHECK(contains(Result.Output, "settings.yaml:3: color"));
    CHECK(contains(Result.Output, "settings.yaml:4: platform"));
    CHECK(contains(Result.Output, "instance.failure_domain: is missing"));
  }
}
