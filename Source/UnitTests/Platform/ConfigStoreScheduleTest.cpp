#include <map>
#include <random>
#include <set>

#include <doctest/doctest.h>

#include "Contract/Edit.h"
#include "Platform/ConfigStore.h"
#include "Platform/MemoryPlatform.h"

using namespace magnolia::platform;
using magnolia::contract::configuration;
using magnolia::contract::key;

namespace {

constexpr int ChangesPerSchedule = 60;
constexpr uint64_t Schedules = 150;
constexpr int MaxNestedChanges = 3;

/// Concurrent operators on a faulty platform, and the results reported to them.
class schedule {
public:
  explicit schedule(uint64_t Seed)
      : Random(Seed),
        Platform({magnolia::common::boot_clock::now,
                  [](std::chrono::microseconds) {}, [this] { beforeCall(); }}) {
  }

  void run() {
    for (int Count = 0; Count < ChangesPerSchedule; ++Count)
      change();
    FaultsEnded = true;
    Platform.setFaults({});
    Platform.releaseHeldCommits();
    check();
  }

private:
  bool chance(uint64_t OneIn) { return Random() % OneIn == 0; }

  /// Injects random faults and changes by other operators.
  void beforeCall() {
    if (FaultsEnded)
      return;
    if (chance(6))
      Platform.setFaults(
          {chance(6), {}, chance(3) ? 1u : 0u, chance(3) ? 1u : 0u});
    if (chance(8))
      Platform.releaseHeldCommits();
    if (Depth < MaxNestedChanges && chance(12))
      change();
  }

  /// One operator issues or revokes a key or replaces the manifest.
  void change() {
    ++Depth;
    const std::string Name = "k" + std::to_string(NextKey++);
    std::string Revoked;
    change_request Request;
    Request.Actor = "operator";
    Request.Action = "change";
    Request.RetryOnConflict = chance(2);
    const uint64_t Kind = Random() % 3;
    Request.Edit = [&](configuration &Configuration) {
      if (Kind == 0) {
        magnolia::contract::manifest Manifest;
        Manifest.Workspaces = {{"clubs", double(NextKey), 1}};
        replaceManifest(Configuration, Manifest);
        return absl::OkStatus();
      }
      if (Kind == 1 || Configuration.Keys.empty())
        return issueKey(Configuration, {Name, Name, "clubs", false});
      Revoked = Configuration.Keys[Random() % Configuration.Keys.size()].Id;
      return revokeKey(Configuration, Revoked);
    };
    std::vector<std::string> Ids;
    config_store_hooks Hooks;
    Hooks.Sleep = [](std::chrono::milliseconds) {};
    Hooks.NewChangeId = [&] {
      Ids.push_back("c" + std::to_string(NextChange++));
      return Ids.back();
    };
    const auto Outcome = config_store(Platform.bind(), Hooks).change(Request);
    if (Outcome.ok() && Outcome->Changed) {
      Accepted[Outcome->Version].insert(Outcome->ChangeId);
      Ids.pop_back();
    } else if (absl::IsUnknown(Outcome.status())) {
      Ids.pop_back();
    }
    Refused.insert(Ids.begin(), Ids.end());
    --Depth;
  }

  void check() {
    const config_store Store(Platform.bind());
    const auto Head = Store.readHead();
    const auto Audit = Store.readAudit(~size_t{0});
    REQUIRE(Audit.ok());
    REQUIRE(Audit->size() == Head->Version);
    REQUIRE(Head->Version > 0);
    CHECK(Audit->front().ChangeId == Head->ChangeId);
    std::set<std::string> Revoked;
    std::set<std::string> Issued;
    for (auto Entry = Audit->rbegin(); Entry != Audit->rend(); ++Entry) {
      CHECK_MESSAGE(!Refused.contains(Entry->ChangeId),
                    "a rejected change took effect");
      const auto Reported = Accepted.find(Entry->Version);
      if (Reported != Accepted.end())
        CHECK_MESSAGE(Reported->second ==
                          std::set<std::string>{Entry->ChangeId},
                      "two operators got the same version");
      checkKeys(Store, *Entry, Issued, Revoked);
    }
    if (!Accepted.empty())
      CHECK(Accepted.rbegin()->first <= Head->Version);
  }

  static void checkKeys(const config_store &Store, const audit_entry &Entry,
                        std::set<std::string> &Issued,
                        std::set<std::string> &Revoked) {
    config_head Head;
    Head.Version = Entry.Version;
    Head.Digest = Entry.Digest;
    const auto Configuration = Store.load(Head);
    REQUIRE(Configuration.ok());
    std::set<std::string> Listed;
    for (const key &Key : Configuration->Keys) {
      Listed.insert(Key.Id);
      if (Key.Revoked)
        Revoked.insert(Key.Id);
      else
        CHECK_MESSAGE(!Revoked.contains(Key.Id),
                      "a revoked key is valid again");
    }
    for (const std::string &Id : Issued)
      CHECK_MESSAGE(Listed.contains(Id), "an issued key was lost");
    Issued = Listed;
  }

  std::mt19937_64 Random;
  memory_platform Platform;
  bool FaultsEnded = false;
  int Depth = 0;
  int NextKey = 0;
  int NextChange = 0;
  std::map<uint64_t, std::set<std::string>> Accepted;
  std::set<std::string> Refused;
};

} // namespace

TEST_CASE(
    "Concurrent operators on a faulty platform lose and repeat no change") {
  for (uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    CAPTURE(Seed);
    schedule(Seed).run();
  }
}
