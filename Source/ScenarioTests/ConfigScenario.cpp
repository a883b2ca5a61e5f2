#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "ScenarioTests/Callers.h"

using namespace magnolia::scenario;

namespace {

call lookup(const std::string &Secret) {
  call Call;
  Call.Path = "/lookup/x";
  Call.Secret = Secret;
  return Call;
}

/// Says why a request was not served.
void checkServed(const call_result &Result) {
  CAPTURE(Result.ErrorKind);
  CAPTURE(Result.Body);
  CHECK(Result.Status == 200);
}

uint64_t versionOf(const fleet &Fleet, const std::string &Instance) {
  call Call;
  Call.Path = "/status";
  const call_result Result = send(Fleet.admin(Instance), Call);
  if (!Result.ok())
    return 0;
  return nlohmann::json::parse(Result.Body).value("version", uint64_t{0});
}

/// Watches that no instance goes back to a lower version.
class version_watch {
public:
  explicit version_watch(const fleet &Fleet)
      : Thread([this, &Fleet] { run(Fleet); }) {}
  ~version_watch() {
    Stopping = true;
    Thread.join();
  }
  version_watch(const version_watch &) = delete;
  version_watch &operator=(const version_watch &) = delete;

  bool wentBack() const { return Back; }

private:
  void run(const fleet &Fleet) {
    std::map<std::string, uint64_t> Highest;
    while (!Stopping)
      for (const std::string &Instance : Fleet.instances()) {
        const uint64_t Version = versionOf(Fleet, Instance);
        if (Version == 0)
          continue; // It cannot be asked now.
        Back = Back || Version < Highest[Instance];
        Highest[Instance] = Version;
      }
  }

  std::atomic<bool> Stopping{false};
  std::atomic<bool> Back{false};
  std::thread Thread;
};

bool allHave(const fleet &Fleet, uint64_t Version) {
  for (const std::string &Instance : Fleet.instances())
    if (versionOf(Fleet, Instance) < Version)
      return false;
  return true;
}

} // namespace

TEST_CASE("An accepted configuration comes into force and stays") {
  fleet Fleet({.BreakableLinks = true});
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  const version_watch Watch(Fleet);

  SUBCASE("when the reply to the commit is lost") {
    Fleet.setPlatform(R"({"lose_replies": 1})");
    const auto Result = Fleet.control(
        {"key", "issue", "resellers", "--id", "lost", "--wait", "60s"});
    CHECK(Result.ExitCode == 0);
    const auto Audit = Fleet.control({"audit"}).Output;
    const size_t First = Audit.find("key issue");
    CHECK(First != std::string::npos);
    CHECK(allHave(Fleet, 3));
    CHECK_FALSE(allHave(Fleet, 4));
  }

  SUBCASE("when two operators race") {
    const std::string One =
        Fleet.write("one.yaml", "based_on: 2\n" + Fleet.manifest());
    std::string Other = Fleet.manifest();
    Other.replace(Other.find("rate: 1000"), 10, "rate: 2000");
    const std::string Two = Fleet.write("two.yaml", "based_on: 2\n" + Other);
    run_result Results[2];
    std::thread Racing([&] {
      Results[0] = Fleet.control({"apply", One, "--wait", "60s"});
    });
    Results[1] = Fleet.control({"apply", Two, "--wait", "60s"});
    Racing.join();
    // The first manifest changes nothing, so it wins only if it comes first.
    const bool OneLost = Results[0].ExitCode == 4;
    CHECK((Results[0].ExitCode == 0 || OneLost));
    CHECK(Results[1].ExitCode == 0);
    CHECK(allHave(Fleet, 3));
  }

  SUBCASE("when the platform is away while instances restart") {
    // Until then i2 may be the only one that holds the workspace's rate, which
    // ends with it while no share can change hands.
    Fleet.awaitSharesSettled();
    Fleet.setPlatform(R"({"down": true})");
    Fleet.endInstance("i2", SIGKILL);
    checkServed(send(Fleet.callers("i1"), lookup(Secret)));
    Fleet.restartInstance("i2");
    // It knows no configuration, so it must refuse as not run.
    const call_result Fresh = send(Fleet.callers("i2"), lookup(Secret));
    CHECK(Fresh.Status == 503);
    CHECK(Fresh.Ran == "no");
    checkServed(send(Fleet.callers("i3"), lookup(Secret)));
    Fleet.setPlatform(R"({"down": false})");
    CHECK(
        await([&] { return send(Fleet.callers("i2"), lookup(Secret)).ok(); }));
  }

  CHECK_FALSE(Watch.wentBack());
}

TEST_CASE("A revoked key stops working") {
  fleet Fleet({.BreakableLinks = true});
  Fleet.applyManifest();
  const std::string Secret = Fleet.issueKey("hunters", "hunters-1");
  REQUIRE(
      await([&] { return send(Fleet.callers("i3"), lookup(Secret)).ok(); }));

  SUBCASE("on every instance, with its caller still sending") {
    caller_group Callers(3, [&](int Thread, int) {
      const std::string Name = absl::StrCat("i", Thread + 1);
      return std::make_pair(Fleet.callers(Name), lookup(Secret));
    });
    CHECK(Fleet.control({"key", "revoke", "hunters-1", "--wait", "60s"})
              .ExitCode == 0);
    // What was sent after the command came back must be refused.
    Callers.stop();
    for (const std::string &Instance : Fleet.instances())
      CHECK(send(Fleet.callers(Instance), lookup(Secret)).ErrorKind ==
            "key_unknown");
  }

  SUBCASE("on an instance that only hears its peers") {
    Fleet.setLink("platform-i3", R"({"cut_down": true})");
    CHECK(Fleet.control({"key", "revoke", "hunters-1", "--wait", "1s"})
              .ExitCode != 2);
    CHECK(await([&] {
      return send(Fleet.callers("i3"), lookup(Secret)).ErrorKind ==
             "key_unknown";
    }));
  }

  SUBCASE("on an instance that hears nobody, by refusing every key") {
    // With a share of its own the rate is no reason to refuse.
    Fleet.awaitSharesSettled();
    Fleet.setLink("platform-i3", R"({"cut_down": true})");
    Fleet.setLink("peer-i3", R"({"cut_up": true})");
    Fleet.control({"key", "revoke", "hunters-1", "--wait", "1s"});
    call_result Result;
    CHECK(await([&] {
      Result = send(Fleet.callers("i3"), lookup(Secret));
      return !Result.ok();
    }));
    CHECK(Result.ErrorKind == "configuration_stale");
    CHECK(Result.Ran == "no");
    // An open route needs no key.
    call Open;
    Open.Path = "/open/x";
    CHECK(send(Fleet.callers("i3"), Open).ok());
  }
}
