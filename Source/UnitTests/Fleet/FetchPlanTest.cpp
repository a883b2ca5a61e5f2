#include "Fleet/FetchPlan.h"

#include <map>
#include <set>

#include <absl/random/random.h>
#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::milliseconds;

namespace {

constexpr boot_time Start{std::chrono::seconds(100)};

/// Instances of one failure domain that lack the same content. One reader of
/// the domain named it and is dead; others are in other domains. Steps a
/// millisecond at a time.
class domain_of_followers {
public:
  /// \p TransferMs: time until a live source has sent everything.
  domain_of_followers(size_t Followers, int TransferMs)
      : TransferMs(TransferMs) {
    for (size_t Index = 0; Index < Followers; ++Index) {
      Plans.emplace_back(fetch_settings());
      Plans.back().begin(/*MayArrive=*/true, Start, Random);
    }
    HasSince.resize(Followers, -1);
  }

  /// Runs until all have the content, at most for \p Millis.
  void run(int Millis) {
    for (Now = 0; Now < Millis && Complete < Plans.size(); ++Now)
      for (size_t Index = 0; Index < Plans.size(); ++Index)
        if (HasSince[Index] < 0)
          step(Index);
  }

  /// When the last one had the content, in milliseconds.
  int Now = 0;
  size_t FromFar = 0;
  size_t FromStore = 0;
  size_t AskedDead = 0;
  bool FarAlive = true;

private:
  /// Neighbors hear of one that has the content after a few milliseconds.
  static constexpr int AnnounceMs = 8;

  void step(size_t Index) {
    fetch_plan &Plan = Plans[Index];
    if (Plan.needsStore(Index, time())) {
      ++FromStore;
      receive(Index);
      return;
    }
    for (auto &[Source, DoneAt] : Transfers[Index])
      if (DoneAt >= 0 && Now >= DoneAt) {
        receive(Index);
        return;
      }
    const fetch_step Step = Plan.decide(sources(), Index, time(), Random);
    if (!Step.GiveUp.empty())
      Transfers[Index].erase(Step.GiveUp);
    if (!Step.Ask.empty())
      ask(Index, Step.Ask);
  }

  void ask(size_t Index, const std::string &Source) {
    const bool Dead = Source == "dead" || (Source == "far" && !FarAlive);
    AskedDead += Source == "dead" ? 1 : 0;
    FromFar += Source == "far" ? 1 : 0;
    Transfers[Index][Source] = Dead ? -1 : Now + TransferMs;
  }

  void receive(size_t Index) {
    HasSince[Index] = Now;
    ++Complete;
    Plans[Index].end();
  }

  std::vector<fetch_source> sources() const {
    std::vector<fetch_source> Sources = {{"dead", true}, {"far", false}};
    for (size_t Index = 0; Index < HasSince.size(); ++Index)
      if (HasSince[Index] >= 0 && Now >= HasSince[Index] + AnnounceMs)
        Sources.push_back({std::to_string(Index), true});
    return Sources;
  }

  boot_time time() const { return Start + milliseconds(Now); }

  absl::BitGen Random;
  const int TransferMs;
  std::vector<fetch_plan> Plans;
  std::vector<int> HasSince;
  std::map<size_t, std::map<std::string, int>> Transfers;
  size_t Complete = 0;
};

} // namespace

TEST_CASE("A domain whose reader dies after it named a change") {
  const auto ForEachSize = [](const auto &Check) {
    for (const size_t Followers : {4U, 14U, 60U, 177U}) {
      CAPTURE(Followers);
      Check(Followers);
    }
  };

  SUBCASE("has it in a quarter of the bound, most of it from neighbors") {
    ForEachSize([](size_t Followers) {
      domain_of_followers Domain(Followers, /*TransferMs=*/5);
      Domain.run(2000);
      CHECK(Domain.Now <= 500);
      CHECK(Domain.FromFar <= 3);
      CHECK(Domain.FromStore == 0);
      CHECK(Domain.AskedDead <= Followers);
    });
  }
  SUBCASE("has it in half of the bound where a transfer takes long") {
    ForEachSize([](size_t Followers) {
      domain_of_followers Domain(Followers, /*TransferMs=*/200);
      Domain.run(2000);
      CHECK(Domain.Now <= 1000);
      CHECK(Domain.FromFar <= 10);
    });
  }
  SUBCASE("reads the store in turn if nobody else has it") {
    ForEachSize([](size_t Followers) {
      domain_of_followers Domain(Followers, /*TransferMs=*/5);
      Domain.FarAlive = false;
      Domain.run(2000);
      CHECK(Domain.Now <= 1000);
      CHECK(Domain.FromStore <= 3);
    });
  }
}

TEST_CASE("A fetch plan") {
  absl::BitGen Random;
  fetch_plan Plan{fetch_settings()};
  const std::vector<fetch_source> Sources = {
      {"near-1", true}, {"near-2", true}, {"far", false}};
  boot_time Now = Start;
  const auto Decide = [&](int AfterMs) {
    Now += milliseconds(AfterMs);
    return Plan.decide(Sources, /*Rank=*/0, Now, Random);
  };

  SUBCASE("asks nobody while the content may arrive by itself") {
    Plan.begin(true, Now, Random);
    CHECK(Decide(39).Ask.empty());
    Plan.end();
    CHECK(Decide(200).Ask.empty());
  }
  SUBCASE("asks one source at a time while it sends") {
    Plan.begin(true, Now, Random);
    const std::string First = Decide(100).Ask;
    CHECK(First.starts_with("near"));
    for (int Count = 0; Count < 2; ++Count) {
      CHECK(Decide(100).Ask.empty());
      Plan.onBytes(First, Now);
    }
    const std::string Second = Decide(100).Ask;
    CHECK(Second.starts_with("near"));
    CHECK(Second != First);
  }
  SUBCASE("asks another at once when one fails, and not the failed one") {
    Plan.begin(true, Now, Random);
    const std::string First = Decide(100).Ask;
    Plan.onResult(First, fetch_result::Failed, Now);
    const std::string Second = Decide(0).Ask;
    CHECK(Second.starts_with("near"));
    CHECK(Second != First);
    Plan.onResult(Second, fetch_result::Failed, Now);
    CHECK(Decide(0).Ask == "far");
    Plan.onResult("far", fetch_result::Failed, Now);
    CHECK(Decide(0).Ask.empty());
    CHECK_FALSE(Plan.needsStore(0, Now));
    CHECK(Plan.needsStore(0, Start + milliseconds(600)));
    CHECK_FALSE(Plan.needsStore(5, Start + milliseconds(600)));
  }
  SUBCASE("gives up the one that was silent longest for a fourth") {
    const std::vector<fetch_source> Many = {
        {"a", true}, {"b", true}, {"c", true}, {"d", true}};
    Plan.begin(true, Now, Random);
    std::vector<std::string> Asked;
    fetch_step Step;
    for (int Count = 0; Count < 4; ++Count) {
      Now += milliseconds(160);
      Step = Plan.decide(Many, 0, Now, Random);
      Asked.push_back(Step.Ask);
    }
    CHECK(std::set<std::string>(Asked.begin(), Asked.end()).size() == 4);
    CHECK(Step.GiveUp == Asked.front());
    CHECK(Plan.asked() == 3);
  }
  SUBCASE("waits for a busy neighbor once before it asks another domain") {
    const std::vector<fetch_source> One = {{"near", true}, {"far", false}};
    const auto DecideAmong = [&](int AfterMs) {
      Now += milliseconds(AfterMs);
      return Plan.decide(One, 0, Now, Random).Ask;
    };
    Plan.begin(true, Now, Random);
    CHECK(DecideAmong(100) == "near");
    Plan.onResult("near", fetch_result::Refused, Now);
    CHECK(DecideAmong(0).empty());
    CHECK(DecideAmong(40) == "near");
    Plan.onResult("near", fetch_result::Refused, Now);
    CHECK(DecideAmong(0) == "far");
  }
}
