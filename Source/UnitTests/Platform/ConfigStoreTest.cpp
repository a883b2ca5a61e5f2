#include "Platform/ConfigStore.h"

#include <doctest/doctest.h>

#include "Contract/Edit.h"
#include "Platform/MemoryPlatform.h"

using namespace magnolia::platform;
using magnolia::contract::configuration;

namespace {

change_request addWorkspace(const std::string &Actor, const std::string &Name) {
  change_request Request;
  Request.Actor = Actor;
  Request.Action = "apply";
  Request.Edit = [Name](configuration &Configuration) {
    Configuration.Manifest.Workspaces.push_back({Name, 1, 1});
    return absl::OkStatus();
  };
  return Request;
}

} // namespace

TEST_CASE("A configuration store") {
  std::function<void()> BeforeCall;
  memory_platform_hooks PlatformHooks;
  PlatformHooks.BeforeCall = [&] {
    if (BeforeCall)
      std::exchange(BeforeCall, nullptr)();
  };
  memory_platform Platform(PlatformHooks);
  config_store_hooks Hooks;
  Hooks.Sleep = [](std::chrono::milliseconds) {};
  config_store Store(Platform.bind(), Hooks);

  SUBCASE("is at version zero before the first change") {
    CHECK(Store.readHead()->Version == 0);
    CHECK(Store.readAudit(5)->empty());
  }

  SUBCASE("commits a change with its audit entry") {
    const auto Accepted = Store.change(addWorkspace("ana", "clubs"));
    REQUIRE(Accepted.ok());
    CHECK(Accepted->Version == 1);
    const auto Head = Store.readHead();
    CHECK(Head->ChangeId == Accepted->ChangeId);
    CHECK(Store.load(*Head)->Manifest.Workspaces[0].Name == "clubs");
    const auto Audit = Store.readAudit(5);
    REQUIRE(Audit->size() == 1);
    CHECK(Audit->front().Actor == "ana");
    CHECK(Audit->front().Changes ==
          std::vector<std::string>{"+ workspace clubs: burst 1, rate 1"});

    SUBCASE("and keeps the version if nothing changes") {
      change_request Nothing = addWorkspace("ana", "");
      Nothing.Edit = [](configuration &) { return absl::OkStatus(); };
      const auto Outcome = Store.change(Nothing);
      CHECK_FALSE(Outcome->Changed);
      CHECK(Outcome->Version == 1);
    }

    SUBCASE("and rejects one that is based on an older version") {
      change_request Outdated = addWorkspace("eva", "riders");
      Outdated.BasedOn = 0;
      const absl::Status Status = Store.change(Outdated).status();
      CHECK(absl::IsAborted(Status));
      CHECK(std::string(Status.message()).find("by ana") != std::string::npos);
    }
  }

  SUBCASE("goes on after the table was restored from an older copy") {
    const auto First = Store.change(addWorkspace("ana", "clubs"));
    const auto Copy = Platform.copyTable();
    uint64_t LastLost = 0;
    for (const char *Lost : {"guilds", "houses"})
      LastLost = Store.change(addWorkspace("bo", Lost))->Version;
    Platform.restoreTable(Copy);
    const auto Next = Store.change(addWorkspace("ana", "schools"));
    CHECK(Next->Version > LastLost);
    CHECK(Store.change(addWorkspace("ana", "ranges"))->Version ==
          Next->Version + 1);
    const auto Audit = Store.readAudit(5);
    REQUIRE(Audit->size() == 3);
    CHECK(Audit->back().Version == First->Version);
    CHECK(Audit->back().Actor == "ana");
  }

  SUBCASE("determines the outcome of a commit whose reply was lost") {
    platform_faults Faults;
    SUBCASE("after the effect") { Faults.LoseReplies = 1; }
    SUBCASE("after the effect, repeatedly") { Faults.LoseReplies = 3; }
    SUBCASE("before the effect") { Faults.HoldCommits = 1; }
    Platform.setFaults(Faults);
    REQUIRE(Store.change(addWorkspace("ana", "clubs")).ok());
    Platform.releaseHeldCommits();
    CHECK(Store.readHead()->Version == 1);
    CHECK(Store.load(*Store.readHead())->Manifest.Workspaces.size() == 1);
  }

  SUBCASE("reports an unknown outcome while it cannot determine it") {
    Platform.setFaults({false, {}, 0, 100});
    const absl::Status Status =
        Store.change(addWorkspace("ana", "clubs")).status();
    CHECK(absl::IsUnknown(Status));
    CHECK(std::string(Status.message()).find("may have been accepted") !=
          std::string::npos);
    Platform.releaseHeldCommits();
    CHECK(Store.readHead()->Version == 1);
  }

  SUBCASE("accepts one of two concurrent changes and names it in the error") {
    config_store Other(Platform.bind(), Hooks);
    change_request Slow = addWorkspace("ana", "clubs");
    const auto Edit = Slow.Edit;
    Slow.Edit = [&](configuration &Configuration) {
      // The other operator commits after the head row was read.
      if (Other.readHead()->Version == 0)
        REQUIRE(Other.change(addWorkspace("eva", "riders")).ok());
      return Edit(Configuration);
    };
    SUBCASE("a manifest is rejected") {
      const absl::Status Status = Store.change(Slow).status();
      CHECK(absl::IsAborted(Status));
      CHECK(std::string(Status.message()).find("by eva") != std::string::npos);
      CHECK(Store.readHead()->Version == 1);
    }
    SUBCASE("a key change is repeated on top") {
      Slow.RetryOnConflict = true;
      CHECK(Store.change(Slow)->Version == 2);
      CHECK(Store.load(*Store.readHead())->Manifest.Workspaces.size() == 2);
    }
  }

  SUBCASE("distinguishes its change from later ones after a lost reply") {
    config_store Other(Platform.bind(), Hooks);
    Platform.setFaults({false, {}, 1, 0});
    int Calls = 0;
    // Calls of the change: read head, put, commit, read the audit row.
    const std::function<void()> Count = [&] {
      if (++Calls == 4)
        REQUIRE(Other.change(addWorkspace("eva", "riders")).ok());
      else
        BeforeCall = Count;
    };
    BeforeCall = Count;
    const auto Accepted = Store.change(addWorkspace("ana", "clubs"));
    REQUIRE(Accepted.ok());
    CHECK(Accepted->Version == 1);
    CHECK(Store.readHead()->Version == 2);
  }

  SUBCASE("fails without effect while the platform is down") {
    Platform.setFaults({true, {}, 0, 0});
    CHECK(absl::IsUnavailable(
        Store.change(addWorkspace("ana", "clubs")).status()));
  }

  SUBCASE("rejects an object with another version") {
    REQUIRE(Store.change(addWorkspace("ana", "clubs")).ok());
    config_head Head = *Store.readHead();
    Head.Version = 2;
    CHECK(absl::IsDataLoss(Store.load(Head).status()));
  }
}
