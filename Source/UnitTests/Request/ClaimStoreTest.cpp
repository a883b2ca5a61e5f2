#include "Request/ClaimStore.h"

#include <map>
#include <memory>
#include <random>

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::request;
using common::error_kind;
using common::execution;
using common::wall_time;
using std::chrono::seconds;

namespace {

const wall_time Start = common::fromUnixMicros(1'700'000'000'000'000);
const idempotency_scope Scope{"falcons", "orders", "key-1"};
constexpr auto Unavailable = error_kind::IdempotencyUnavailable;

/// A table that can lose replies and apply commits late.
class fake_table {
public:
  enum class fault { None, Down, LostReply, LostCall, LateCommit };

  std::function<fault()> NextFault = [] { return fault::None; };
  std::map<std::string, platform::row> Rows;
  int Commits = 0;

  platform::table_service hooks() {
    return {[this](std::string_view Key) { return get(Key); },
            [this](std::string_view Prefix) { return scan(Prefix); },
            [this](auto Conditions, auto Writes) {
              return commit({Conditions.begin(), Conditions.end()},
                            {Writes.begin(), Writes.end()});
            }};
  }

  /// Replaces the rows by those of \p Copy as a restore does: a new era begins,
  /// and versions after the copy are given out again.
  void restore(const std::map<std::string, platform::row> &Copy) {
    Rows = Copy;
    LastVersion = 0;
    for (const auto &[Key, Row] : Rows)
      LastVersion = std::max(LastVersion, Row.Version);
    ++Era;
  }

  /// Applies the delayed commits.
  void applyLateCommits() {
    for (auto &Commit : std::exchange(LateCommits, {}))
      Commit();
  }

private:
  absl::StatusOr<platform::row> get(std::string_view Key) {
    if (NextFault() == fault::Down)
      return absl::UnavailableError("down");
    const auto Found = Rows.find(std::string(Key));
    platform::row Row = Found == Rows.end()
                            ? platform::row{std::string(Key), "", 0}
                            : Found->second;
    Row.Era = Era;
    return Row;
  }

  absl::StatusOr<std::vector<platform::row>> scan(std::string_view Prefix) {
    std::vector<platform::row> Found;
    for (const auto &[Key, Row] : Rows)
      if (Key.starts_with(Prefix))
        Found.push_back(Row);
    return Found;
  }

  absl::Status commit(const std::vector<platform::condition> &Conditions,
                      const std::vector<platform::write> &Writes) {
    ++Commits;
    switch (NextFault()) {
    case fault::Down:
      return absl::UnavailableError("down");
    case fault::LostReply:
      (void)apply(Conditions, Writes);
      return absl::UnknownError("lost");
    case fault::LateCommit:
      LateCommits.push_back([=, this] { (void)apply(Conditions, Writes); });
      return absl::UnknownError("lost");
    case fault::LostCall:
      return absl::UnknownError("lost");
    case fault::None:
      break;
    }
    return apply(Conditions, Writes);
  }

  absl::Status apply(const std::vector<platform::condition> &Conditions,
                     const std::vector<platform::write> &Writes) {
    for (const auto &Condition : Conditions) {
      const auto Found = Rows.find(Condition.Key);
      const uint64_t Version = Found == Rows.end() ? 0 : Found->second.Version;
      if (Version != Condition.Version)
        return absl::AbortedError("condition");
    }
    for (const auto &Write : Writes) {
      if (Write.Value)
        Rows[Write.Key] = {Write.Key, *Write.Value, ++LastVersion};
      else
        Rows.erase(Write.Key);
    }
    return absl::OkStatus();
  }

  std::vector<std::function<void()>> LateCommits;
  uint64_t LastVersion = 0;
  uint64_t Era = 0;
};

using fault = fake_table::fault;

/// One instance with its claim store.
struct instance {
  explicit instance(fake_table &Table) : Store({}, Table.hooks()) {}

  claim_result submitAndFlush(const std::string &Body = "one pair",
                              wall_time Now = Start) {
    claim_result Result;
    Store.submit(Scope, fingerprintOf("POST", "/orders", Body),
                 Now + seconds(5), [&](const claim_result &Given) {
                   Result = Given;
                   return true;
                 });
    Store.flush(Now);
    return Result;
  }

  claim_store Store;
};

} // namespace

TEST_CASE("A key that is claimed") {
  fake_table Table;
  instance First(Table);
  instance Second(Table);
  const claim_result Granted = First.submitAndFlush();
  REQUIRE(!Granted.Refusal);

  SUBCASE("is in progress for a repeat at any instance") {
    CHECK(Second.submitAndFlush().Refusal == error_kind::IdempotencyInProgress);
    CHECK(First.submitAndFlush().Refusal == error_kind::IdempotencyInProgress);
  }

  SUBCASE("is unknown after the time limit of a killed claimant") {
    CHECK(Second.submitAndFlush("one pair", Start + seconds(60)).Refusal ==
          error_kind::IdempotencyUnknown);
  }

  SUBCASE("is refused for another request") {
    CHECK(Second.submitAndFlush("two pairs").Refusal ==
          error_kind::IdempotencyMismatch);
  }

  SUBCASE("is completed after the response, with its status") {
    First.Store.finish(Granted.Claim, execution::Ran, 201);
    First.Store.flush(Start);
    const claim_result Repeat = Second.submitAndFlush();
    CHECK(Repeat.Refusal == error_kind::IdempotencyCompleted);
    CHECK(Repeat.EarlierStatus == 201);
  }

  SUBCASE("is unknown after an unknown result, and stays so") {
    First.Store.finish(Granted.Claim, execution::Unknown, 0);
    First.Store.flush(Start);
    CHECK(Second.submitAndFlush().Refusal == error_kind::IdempotencyUnknown);
  }

  SUBCASE("is free again when the request did not run") {
    First.Store.finish(Granted.Claim, execution::NotRun, 0);
    First.Store.flush(Start);
    const claim_result Repeat = Second.submitAndFlush();
    CHECK(!Repeat.Refusal);

    SUBCASE("and a late result of the first does not change the second") {
      First.Store.finish(Granted.Claim, execution::NotRun, 0);
      First.Store.flush(Start);
      CHECK(First.submitAndFlush().Refusal ==
            error_kind::IdempotencyInProgress);
    }
  }

  SUBCASE("expires after a day") {
    const wall_time Later = Start + std::chrono::hours(25);
    SUBCASE("for a repeat") {
      CHECK(!Second.submitAndFlush("x", Later).Refusal);
    }
    SUBCASE("and is removed by the sweep") {
      size_t Removed = 0;
      for (int Part = 0; Part < 256; ++Part)
        Removed +=
            *Second.Store.removeExpired(static_cast<uint8_t>(Part), Later);
      CHECK(Removed == 1);
      CHECK(Table.Rows.empty());
    }
  }
}

TEST_CASE("A claim whose commit has no reply") {
  fake_table Table;
  instance First(Table);
  int Calls = 0;

  SUBCASE("is granted when the row turns out to be its own") {
    Table.NextFault = [&] {
      return Calls++ == 0 ? fault::LostReply : fault::None;
    };
    CHECK(!First.submitAndFlush().Refusal);
    CHECK(Table.Commits == 1);
  }

  SUBCASE("is tried again when nothing was written") {
    Table.NextFault = [&] {
      return Calls++ == 0 ? fault::LostCall : fault::None;
    };
    CHECK(!First.submitAndFlush().Refusal);
  }

  SUBCASE(
      "is refused as not run during an outage of the table, then released") {
    Table.NextFault = [&] {
      return Calls++ == 0 ? fault::LostReply : fault::Down;
    };
    CHECK(First.submitAndFlush().Refusal == Unavailable);
    CHECK(common::responseFor(Unavailable).Execution == execution::NotRun);
    CHECK(Table.Rows.size() == 1);
    Table.NextFault = [] { return fault::None; };
    First.Store.flush(Start);
    CHECK(Table.Rows.empty());
  }

  SUBCASE("is released when it takes effect after the refusal") {
    Table.NextFault = [&] {
      return Calls++ == 0 ? fault::LateCommit : fault::Down;
    };
    CHECK(First.submitAndFlush().Refusal == Unavailable);
    Table.NextFault = [] { return fault::None; };
    First.Store.flush(Start);
    Table.applyLateCommits();
    CHECK(Table.Rows.size() == 1);
    First.Store.flush(Start);
    CHECK(Table.Rows.empty());
  }
}

TEST_CASE("Waiting claims are committed together") {
  fake_table Table;
  instance First(Table);
  REQUIRE(!First.submitAndFlush().Refusal);
  Table.Commits = 0;
  size_t Granted = 0;
  size_t Refused = 0;
  std::vector<claim> Held;
  for (int Key = 0; Key < 10; ++Key) {
    idempotency_scope Other = Scope;
    Other.Key = "key-" + std::to_string(Key);
    First.Store.submit(Other, "f", Start + seconds(5), [&](const auto &Given) {
      ++(Given.Refusal ? Refused : Granted);
      if (!Given.Refusal)
        Held.push_back(Given.Claim);
      return true;
    });
  }
  First.Store.flush(Start);
  // The key that is already claimed fails the first commit, so the other claims
  // need a second one.
  CHECK(Granted == 9);
  CHECK(Refused == 1);
  CHECK(Table.Commits == 2);

  SUBCASE("and so are their results") {
    for (const claim &Claim : Held)
      First.Store.finish(Claim, execution::NotRun, 0);
    First.Store.flush(Start);
    CHECK(Table.Commits == 3);
    CHECK(Table.Rows.size() == 1);
  }

  SUBCASE("and one result whose row has changed does not delay the others") {
    for (const claim &Claim : Held)
      First.Store.finish(Claim, execution::NotRun, 0);
    int Calls = 0;
    // The rows are read by nine calls; the commit of the batch is the tenth.
    Table.NextFault = [&] {
      return ++Calls == 10 ? fault::LostCall : fault::None;
    };
    First.Store.flush(Start);
    CHECK(Table.Rows.size() == 1);
  }
}

TEST_CASE("A key's request is sent at most once whatever the table does") {
  for (uint64_t Seed = 0; Seed < 2000; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    fake_table Table;
    Table.NextFault = [&] {
      return static_cast<fault>(Random() % 10 < 5 ? 0 : Random() % 5);
    };
    std::vector<std::unique_ptr<instance>> Instances;
    Instances.reserve(3);
    for (int Count = 0; Count < 3; ++Count)
      Instances.push_back(std::make_unique<instance>(Table));
    int Runs = 0;
    wall_time Now = Start;
    for (int Turn = 0; Turn < 30; ++Turn) {
      auto &Chosen = Instances[Random() % Instances.size()];
      const claim_result Result = Chosen->submitAndFlush("one pair", Now);
      Now += std::chrono::milliseconds(Random() % 4000);
      if (Random() % 4 == 0)
        Table.applyLateCommits();
      if (Random() % 8 == 0)
        Chosen = std::make_unique<instance>(Table); // Killed and replaced.
      if (Result.Refusal) {
        const bool SaysNotRun =
            common::responseFor(*Result.Refusal).Execution == execution::NotRun;
        CHECK((!SaysNotRun || Result.Refusal == Unavailable));
        CHECK((Result.Refusal != error_kind::IdempotencyCompleted || Runs));
        continue;
      }
      const auto End = static_cast<execution>(Random() % 3);
      // An unknown request may have run.
      Runs += End == execution::NotRun ? 0 : 1;
      Chosen->Store.finish(Result.Claim, End, 200);
    }
    CHECK(Runs <= 1);
  }
}

TEST_CASE("A claim that the table lost when it was restored") {
  fake_table Table;
  instance First(Table);
  instance Second(Table);
  const auto Copy = Table.Rows;
  const claim_result Granted = First.submitAndFlush();
  REQUIRE(!Granted.Refusal);
  // The last moment at which any lost claim can count.
  const wall_time Expired = Start + std::chrono::hours(25) + seconds(4);

  SUBCASE("is not granted to a repeat after the request has run") {
    First.Store.finish(Granted.Claim, execution::Ran, 201);
    First.Store.flush(Start);
    Table.restore(Copy);
    CHECK(Second.submitAndFlush().Refusal == error_kind::IdempotencyUnknown);
    CHECK(First.submitAndFlush().Refusal == error_kind::IdempotencyUnknown);

    SUBCASE("until it would have expired") {
      CHECK(Second.submitAndFlush("one pair", Expired).Refusal.has_value());
      CHECK(!Second.submitAndFlush("one pair", Expired + seconds(1)).Refusal);
    }

    SUBCASE("by an instance that starts after the restore") {
      instance Third(Table);
      CHECK(Third.submitAndFlush().Refusal == error_kind::IdempotencyUnknown);
    }

    SUBCASE("until an operator has settled what was lost") {
      REQUIRE(settleLostClaims(Table.hooks(), "ana", Start).ok());
      CHECK(!Second.submitAndFlush().Refusal);

      SUBCASE("which says nothing about the next restore") {
        Table.restore(Table.Rows);
        CHECK(First.submitAndFlush().Refusal ==
              error_kind::IdempotencyInProgress);
        Table.restore(Copy);
        CHECK(First.submitAndFlush().Refusal == error_kind::IdempotencyUnknown);
      }
    }
  }

  SUBCASE("gets its row again when its request ends after the restore") {
    Table.restore(Copy);
    First.Store.finish(Granted.Claim, execution::Ran, 201);
    First.Store.flush(Start);
    CHECK(Second.submitAndFlush().Refusal == error_kind::IdempotencyCompleted);
  }

  SUBCASE("counts from the sweep that notices the restore") {
    Table.restore(Copy);
    REQUIRE(Second.Store.removeExpired(0, Start).ok());
    CHECK(!Second.submitAndFlush("one pair", Expired + seconds(1)).Refusal);
  }

  SUBCASE("of a commit during which the table is restored") {
    Table.restore(Copy);
    REQUIRE(settleLostClaims(Table.hooks(), "ana", Start).ok());
    const auto Settled = Table.Rows;
    int Calls = 0;
    SUBCASE("is not granted") {
      // The commit is the first call, the second is already in the new era.
      Table.NextFault = [&] {
        if (++Calls == 2)
          Table.restore(Settled);
        return fault::None;
      };
      CHECK(Second.submitAndFlush().Refusal == error_kind::IdempotencyUnknown);
    }
    SUBCASE("is granted only with a row in the new era, if that is settled") {
      Table.NextFault = [&] {
        if (++Calls == 2) {
          Table.restore(Settled);
          REQUIRE(settleLostClaims(Table.hooks(), "ana", Start).ok());
        }
        return fault::None;
      };
      CHECK(!Second.submitAndFlush().Refusal);
      CHECK(First.submitAndFlush().Refusal ==
            error_kind::IdempotencyInProgress);
    }
  }
}

TEST_CASE("A key's request is sent at most once although the table is restored "
          "from copies") {
  for (uint64_t Seed = 0; Seed < 1000; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    fake_table Table;
    std::vector<std::map<std::string, platform::row>> Copies = {{}};
    // A restore comes between any two calls.
    Table.NextFault = [&] {
      if (Random() % 8 == 0)
        Copies.push_back(Table.Rows);
      if (Random() % 16 == 0)
        Table.restore(Copies[Random() % Copies.size()]);
      return static_cast<fault>(Random() % 10 < 5 ? 0 : Random() % 5);
    };
    std::vector<std::unique_ptr<instance>> Instances;
    Instances.reserve(3);
    for (int Count = 0; Count < 3; ++Count)
      Instances.push_back(std::make_unique<instance>(Table));
    int Runs = 0;
    wall_time Now = Start;
    for (int Turn = 0; Turn < 30; ++Turn) {
      auto &Chosen = Instances[Random() % Instances.size()];
      const claim_result Result = Chosen->submitAndFlush("one pair", Now);
      Now += std::chrono::milliseconds(Random() % 4000);
      if (Random() % 4 == 0)
        Table.applyLateCommits();
      if (Random() % 8 == 0)
        Chosen = std::make_unique<instance>(Table); // Killed and replaced.
      if (Result.Refusal)
        continue;
      const auto End = static_cast<execution>(Random() % 3);
      Runs += End == execution::NotRun ? 0 : 1;
      Chosen->Store.finish(Result.Claim, End, 200);
    }
    CHECK(Runs <= 1);
  }
}
