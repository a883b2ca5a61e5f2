#include "Admission/FairQueue.h"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::admission;
using common::error_kind;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds SlotTime{20};

common::boot_time at(milliseconds Time) { return common::boot_time(Time); }

/// A queue with an adjustable number of slots that records each decision.
struct recorder {
  explicit recorder(const fair_queue_options &Options = {})
      : Queue(Options, [this] { return Slots; }) {}

  absl::StatusOr<ticket> submit(std::string_view Workspace,
                                milliseconds Now = {},
                                milliseconds Timeout = milliseconds(10000),
                                double Weight = 1) {
    return Queue.submit({Workspace, Weight, at(Now + Timeout)}, at(Now),
                        [this, Name = std::string(Workspace)](
                            ticket T, const absl::Status &Status) {
                          ++Decided[T];
                          if (Status.ok())
                            Granted.push_back({T, Name});
                          else
                            Refused.push_back(common::kindOf(Status));
                        });
  }

  /// Releases the oldest grant that is still running.
  void finishOldest(milliseconds Now, slot_use Use = slot_use::Completed) {
    Queue.release(Granted.at(Finished++).first, Use, at(Now));
  }

  size_t grantsOf(std::string_view Workspace) const {
    return static_cast<size_t>(
        std::count_if(Granted.begin(), Granted.end(),
                      [&](const auto &G) { return G.second == Workspace; }));
  }

  size_t Slots = 1;
  size_t Finished = 0;
  std::map<ticket, int> Decided;
  std::vector<std::pair<ticket, std::string>> Granted;
  std::vector<error_kind> Refused;
  fair_queue Queue;
};

} // namespace

TEST_CASE("A queue with one slot") {
  recorder Recorder;

  SUBCASE("grants at once while the slot is free") {
    CHECK(Recorder.submit("clubs").ok());
    CHECK(Recorder.grantsOf("clubs") == 1);
  }

  SUBCASE("serves a workspace that comes late before the backlog of another") {
    for (int Count = 0; Count < 50; ++Count)
      CHECK(Recorder.submit("resellers").ok());
    CHECK(Recorder.submit("clubs").ok());
    Recorder.finishOldest(SlotTime);
    Recorder.finishOldest(2 * SlotTime);
    CHECK(Recorder.grantsOf("clubs") == 1);
  }

  SUBCASE("gives no credit for idle time") {
    for (int Count = 0; Count < 20; ++Count) {
      CHECK(Recorder.submit("resellers", SlotTime * Count).ok());
      Recorder.finishOldest(SlotTime * (Count + 1));
    }
    for (int Count = 0; Count < 20; ++Count) {
      CHECK(Recorder.submit("clubs", SlotTime * 21).ok());
      CHECK(Recorder.submit("resellers", SlotTime * 21).ok());
    }
    for (int Count = 0; Count < 10; ++Count)
      Recorder.finishOldest(SlotTime * (22 + Count));
    CHECK(Recorder.grantsOf("clubs") <= 6);
  }

  SUBCASE("does not grant a cancelled request") {
    CHECK(Recorder.submit("clubs").ok());
    const auto Second = Recorder.submit("clubs");
    REQUIRE(Second.ok());
    CHECK(Recorder.Queue.cancel(*Second, at(SlotTime)));
    CHECK_FALSE(Recorder.Queue.cancel(*Second, at(SlotTime)));
    Recorder.finishOldest(SlotTime);
    CHECK(Recorder.Granted.size() == 1);
    CHECK(Recorder.Queue.counters().Waiting == 0);
  }

  SUBCASE("refuses requests when too little time is left") {
    CHECK(Recorder.submit("clubs").ok());
    CHECK(Recorder.submit("clubs", {}, milliseconds(100)).ok());
    Recorder.Queue.advance(at(milliseconds(50)));
    CHECK(Recorder.Refused.empty());
    Recorder.Queue.advance(at(milliseconds(95)));
    CHECK(Recorder.Refused ==
          std::vector<error_kind>{error_kind::QueueDeadlineExceeded});
    CHECK(common::kindOf(
              Recorder.submit("clubs", milliseconds(95), milliseconds(1))
                  .status()) == error_kind::QueueDeadlineExceeded);
  }

  SUBCASE("grants no request past its deadline when a slot is freed late") {
    CHECK(Recorder.submit("clubs").ok());
    CHECK(Recorder.submit("clubs", {}, milliseconds(100)).ok());
    CHECK(Recorder.submit("resellers", {}, milliseconds(1000)).ok());
    Recorder.finishOldest(milliseconds(150));
    Recorder.finishOldest(milliseconds(160));
    CHECK(Recorder.grantsOf("clubs") == 1);
    CHECK(Recorder.grantsOf("resellers") == 1);
    CHECK(Recorder.Refused.size() == 1);
  }

  SUBCASE("removes the state of idle workspaces") {
    CHECK(Recorder.submit("clubs").ok());
    Recorder.finishOldest(SlotTime);
    CHECK(Recorder.Queue.counters().Workspaces == 1);
    Recorder.Queue.advance(at(std::chrono::minutes(1)));
    CHECK(Recorder.Queue.counters().Workspaces == 0);
  }
}

TEST_CASE("A full queue") {
  fair_queue_options Options;
  Options.QueueLimit = 16;
  Options.WorkspaceLimit = 12;
  recorder Recorder(Options);
  for (int Count = 0; Count < 13; ++Count)
    REQUIRE(Recorder.submit("resellers").ok());

  SUBCASE("refuses a workspace beyond its own bound") {
    CHECK(common::kindOf(Recorder.submit("resellers").status()) ==
          error_kind::QueueFull);
  }

  SUBCASE("drops from the longest queue for a workspace with a shorter one") {
    for (int Count = 0; Count < 8; ++Count)
      CHECK(Recorder.submit("clubs").ok());
    CHECK(Recorder.Refused.size() == 4);
    CHECK(Recorder.Queue.counters().Waiting == 16);
    CHECK(common::kindOf(Recorder.submit("clubs").status()) ==
          error_kind::QueueFull);
  }
}

TEST_CASE("Slots are shared by weight and by the time that they are held") {
  fair_queue_options Options;
  Options.QueueLimit = 4096;
  Options.WorkspaceLimit = 2048;
  double HeavyWeight = 1;
  milliseconds HeavyTime = SlotTime;

  SUBCASE("equally") {}
  SUBCASE("three to one by weight") { HeavyWeight = 3; }
  SUBCASE("equally although one holds each slot five times as long") {
    HeavyTime = SlotTime * 5;
  }

  recorder Recorder(Options);
  for (int Count = 0; Count < 2000; ++Count) {
    REQUIRE(Recorder.submit("clubs", {}, milliseconds(1000000)).ok());
    REQUIRE(
        Recorder.submit("heavy", {}, milliseconds(1000000), HeavyWeight).ok());
  }
  milliseconds Now{0};
  std::map<std::string, double> Held;
  for (int Count = 0; Count < 1000; ++Count) {
    const std::string Name = Recorder.Granted.at(Recorder.Finished).second;
    const milliseconds Time = Name == "heavy" ? HeavyTime : SlotTime;
    Now += Time;
    Held[Name] += static_cast<double>(Time.count());
    Recorder.finishOldest(Now);
  }
  CHECK(Held["heavy"] / HeavyWeight ==
        doctest::Approx(Held["clubs"]).epsilon(0.03));
}

TEST_CASE("A target's failure is not charged to the workspace") {
  recorder Recorder;
  for (int Count = 0; Count < 40; ++Count) {
    REQUIRE(Recorder.submit("clubs", {}, milliseconds(100000)).ok());
    REQUIRE(Recorder.submit("resellers", {}, milliseconds(100000)).ok());
  }
  milliseconds Now{0};
  for (int Count = 0; Count < 20; ++Count) {
    const bool Unlucky =
        Recorder.Granted.at(Recorder.Finished).second == "clubs";
    Now += Unlucky ? SlotTime * 50 : SlotTime;
    Recorder.finishOldest(Now,
                          Unlucky ? slot_use::Failed : slot_use::Completed);
  }
  CHECK(Recorder.grantsOf("clubs") >= 9);
}

TEST_CASE("Random operations lose no request and stay within the bounds") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    const auto Below = [&](uint64_t Limit) { return Random() % Limit; };
    fair_queue_options Options;
    Options.QueueLimit = 20 + Below(40);
    Options.WorkspaceLimit = 5 + Below(20);
    recorder Recorder(Options);
    Recorder.Slots = 1 + Below(6);
    std::set<ticket> Submitted;
    std::set<ticket> Cancelled;
    std::set<ticket> Ended;
    milliseconds Now{0};

    const auto FinishOne = [&] {
      for (const auto &[Ticket, Name] : Recorder.Granted)
        if (Ended.insert(Ticket).second)
          return Recorder.Queue.release(Ticket, slot_use::Completed, at(Now));
    };
    for (int Step = 0; Step < 3000; ++Step) {
      Now += milliseconds(Below(8));
      const uint64_t Kind = Below(10);
      if (Kind < 5) {
        const auto Ticket = Recorder.submit("w" + std::to_string(Below(7)), Now,
                                            milliseconds(20 + Below(400)));
        if (Ticket.ok())
          CHECK(Submitted.insert(*Ticket).second);
      } else if (Kind < 8) {
        FinishOne();
      } else if (Kind == 8 && !Submitted.empty()) {
        const ticket Last = *Submitted.rbegin();
        if (Recorder.Queue.cancel(Last, at(Now)))
          CHECK(Cancelled.insert(Last).second);
      } else {
        Recorder.Slots = 1 + Below(6);
        Recorder.Queue.advance(at(Now));
      }
      const fair_queue_counters Counters = Recorder.Queue.counters();
      REQUIRE(Counters.Waiting <= Options.QueueLimit);
      REQUIRE(Counters.Running == Recorder.Granted.size() - Ended.size());
      const bool WorkConserving =
          Counters.Waiting == 0 || Counters.Running >= Recorder.Slots;
      REQUIRE(WorkConserving);
    }
    Recorder.Slots = 1;
    while (Ended.size() < Recorder.Granted.size())
      FinishOne();
    Recorder.Queue.advance(at(Now + std::chrono::hours(1)));
    for (const ticket Ticket : Submitted)
      CHECK(Recorder.Decided[Ticket] == (Cancelled.count(Ticket) != 0 ? 0 : 1));
    CHECK(Recorder.Queue.counters().Waiting == 0);
  }
}

TEST_CASE("No backlogged workspace falls behind another by more than its "
          "requests in flight") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    fair_queue_options Options;
    Options.QueueLimit = 100000;
    Options.WorkspaceLimit = 100000;
    Options.Charge = charge_unit::Request;
    recorder Recorder(Options);
    Recorder.Slots = 1 + Random() % 6;
    std::map<std::string, double> Weights;
    for (int Index = 0; Index < 6; ++Index)
      Weights["w" + std::to_string(Index)] =
          static_cast<double>(1 + Random() % 4);
    for (const auto &[Name, Weight] : Weights) {
      const uint64_t Backlog = 2000 + Random() % 3000;
      for (uint64_t Count = 0; Count < Backlog; ++Count)
        REQUIRE(
            Recorder.submit(Name, {}, milliseconds(100000000), Weight).ok());
    }
    std::map<std::string, double> Served;
    for (size_t Step = 0; Step < 1500; ++Step) {
      const std::string &Name = Recorder.Granted.at(Recorder.Finished).second;
      Served[Name] += 1 / Weights[Name];
      Recorder.finishOldest(milliseconds(Step));
      double Least = 1e18;
      double Most = 0;
      for (const auto &[Other, Weight] : Weights) {
        Least = std::min(Least, Served[Other]);
        Most = std::max(Most, Served[Other]);
      }
      // The bound is one request per slot, one for the next request, each with
      // a weight of at least one, and one of the other workspace.
      REQUIRE(Most - Least <= static_cast<double>(Recorder.Slots) + 2);
    }
  }
}
