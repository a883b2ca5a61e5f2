#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <vector>

#include <doctest/doctest.h>

#include "Admission/FairQueue.h"

using namespace magnolia;
using namespace magnolia::admission;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds SlotTime{20};

common::boot_time at(milliseconds Time) { return common::boot_time(Time); }

/// A queue in front of four slots, whose grants are recorded by rank.
struct ranked_queue {
  explicit ranked_queue(size_t QueueLimit = 256,
                        waiting_order Order = waiting_order::Arrival)
      : Queue({.QueueLimit = QueueLimit,
               .Charge = charge_unit::Request,
               .Order = Order},
              [this] { return Slots; }) {}

  absl::StatusOr<ticket> submit(size_t Rank, milliseconds Now,
                                milliseconds Timeout,
                                const std::string &Workspace = "clubs") {
    return Queue.submit(
        {Workspace, 1, at(Now + Timeout), Rank}, at(Now),
        [this, Rank, Workspace](ticket T, const absl::Status &Status) {
          if (!Status.ok()) {
            ++Refused[Rank];
            return;
          }
          ++Granted[Rank];
          ++GrantedTo[Workspace];
          Running.push_back(T);
        });
  }

  void finishOldest(milliseconds Now) {
    const ticket Oldest = Running.front();
    Running.erase(Running.begin());
    Queue.release(Oldest, slot_use::Completed, at(Now));
  }

  size_t Slots = 4;
  std::vector<ticket> Running;
  std::map<size_t, int> Granted;
  std::map<size_t, int> Refused;
  std::map<std::string, int> GrantedTo;
  fair_queue Queue;
};

} // namespace

TEST_CASE("Twice the requests that four slots can run, for some seconds") {
  ranked_queue Queue;
  Queue.Queue.setPace(200);
  std::map<size_t, int> Asked;
  std::map<size_t, int> RefusedAtOnce;
  for (milliseconds Now{0}; Now < milliseconds(5000); Now += milliseconds(5)) {
    // A slot becomes free every 5 ms; two requests arrive meanwhile, of which
    // one in four is urgent.
    if (Queue.Running.size() >= Queue.Slots)
      Queue.finishOldest(Now);
    for (const int Arrival : {0, 1}) {
      const bool Urgent = Arrival == 0 && (Now.count() / 5) % 2 == 0;
      const size_t Rank = Urgent ? 0 : 1;
      ++Asked[Rank];
      const auto Ticket = Queue.submit(Rank, Now, milliseconds(300),
                                       Arrival == 0 ? "clubs" : "resellers");
      RefusedAtOnce[Rank] += Ticket.ok() ? 0 : 1;
    }
    Queue.Queue.advance(at(Now));
  }
  // All urgent ones run, and what is left of the slots goes to the others.
  CHECK(Queue.Granted[0] == Asked[0]);
  CHECK(Queue.Granted[1] > Asked[1] / 5);
  // Those that cannot run in time are told so when they arrive.
  CHECK(RefusedAtOnce[1] > 10 * Queue.Refused[1]);
  CHECK(Queue.Granted[0] + Queue.Granted[1] >= 990);
}

TEST_CASE("Ranks that wait for one slot") {
  ranked_queue Queue(512);
  Queue.Slots = 1;
  milliseconds Now{0};
  for (int Count = 0; Count < 100; ++Count)
    for (const size_t Rank : {size_t{2}, size_t{1}, size_t{0}})
      REQUIRE(Queue
                  .submit(Rank, Now, milliseconds(100000),
                          Count % 2 == 0 ? "clubs" : "resellers")
                  .ok());
  Queue.Granted.clear();
  Queue.GrantedTo.clear();
  for (int Count = 0; Count < 60; ++Count)
    Queue.finishOldest(Now += SlotTime);

  SUBCASE("are granted by urgency, a tenth to the lesser ones") {
    CHECK(Queue.Granted[0] >= 53);
    CHECK(Queue.Granted[1] >= 2);
    CHECK(Queue.Granted[2] >= 2);
  }
  SUBCASE("and fairly between workspaces within a rank") {
    CHECK(std::abs(Queue.GrantedTo["clubs"] - Queue.GrantedTo["resellers"]) <=
          4);
  }
}

TEST_CASE("A full queue with ranks") {
  ranked_queue Queue(8);
  Queue.Slots = 0;
  for (int Count = 0; Count < 8; ++Count)
    REQUIRE(Queue.submit(1, {}, milliseconds(1000)).ok());

  SUBCASE("refuses a less urgent request for a more urgent one") {
    CHECK(Queue.submit(0, {}, milliseconds(1000)).ok());
    CHECK(Queue.Refused[1] == 1);
    CHECK(Queue.Queue.counters().Waiting == 8);
  }
  SUBCASE("refuses a request that is less urgent than those that wait") {
    CHECK_FALSE(Queue.submit(2, {}, milliseconds(1000)).ok());
    CHECK(Queue.Refused.empty());
  }
}

TEST_CASE("A queue with a known pace tells how long a request waits") {
  ranked_queue Queue;
  Queue.Slots = 0;
  Queue.Queue.setPace(10);
  REQUIRE(Queue.submit(0, {}, milliseconds(1000)).ok());
  REQUIRE(Queue.submit(1, {}, milliseconds(1000)).ok());
  CHECK(Queue.Queue.expectedWait(0) == milliseconds(200));
  CHECK(Queue.Queue.expectedWait(1) == milliseconds(300));
  CHECK_FALSE(Queue.submit(1, {}, milliseconds(250)).ok());
  CHECK(Queue.submit(0, {}, milliseconds(250)).ok());
}

namespace {

/// What became of the requests with one deadline.
struct deadline_counts {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;
  /// Refused while they waited, and the longest such wait.
  int RefusedWaiting = 0;
  milliseconds LongestWait{0};
};

/// Four slots that run 200 requests a second. One workspace sends requests with
/// deadlines of 0.3 s and of 3 s: for a second half as many again as can run,
/// then few.
class mixed_deadlines {
public:
  explicit mixed_deadlines(waiting_order Order)
      : Queue({.Charge = charge_unit::Request, .Order = Order},
              [] { return Slots; }) {
    Queue.setPace(Pace);
  }

  /// By deadline.
  std::map<milliseconds, deadline_counts> run() {
    for (; Now < milliseconds(4000); Now += milliseconds(1)) {
      finish();
      const bool Burst = Now < milliseconds(1000);
      const bool Ends = Now >= milliseconds(3500);
      if (!Ends && Now.count() % (Burst ? 7 : 20) == 0) {
        submit(milliseconds(300));
        submit(milliseconds(3000));
      }
      if (Now.count() % 25 == 0)
        Queue.advance(at(Now));
    }
    return Counts;
  }

  static constexpr double Pace = 200;
  static constexpr size_t Slots = 4;
  fair_queue Queue;

private:
  struct run_state {
    ticket Ticket;
    milliseconds Deadline;
    milliseconds Until;
    milliseconds EndsAt;
  };

  void submit(milliseconds Deadline) {
    deadline_counts &Count = Counts[Deadline];
    ++Count.Asked;
    (void)Queue.submit(
        {"clubs", 1, at(Now + Deadline)}, at(Now),
        [this, &Count, Deadline, Arrived = Now](ticket Ticket,
                                                const absl::Status &Status) {
          if (Status.ok()) {
            Running.push_back(
                {Ticket, Deadline, Arrived + Deadline, Now + SlotTime});
            return;
          }
          ++Count.RefusedWaiting;
          Count.LongestWait = std::max(Count.LongestWait, Now - Arrived);
        });
  }

  void finish() {
    while (!Running.empty() && Running.front().EndsAt <= Now) {
      const run_state Ended = Running.front();
      Running.pop_front();
      deadline_counts &Count = Counts[Ended.Deadline];
      ++(Ended.EndsAt <= Ended.Until ? Count.InTime : Count.Late);
      Queue.release(Ended.Ticket, slot_use::Completed, at(Now));
    }
  }

  milliseconds Now{0};
  std::deque<run_state> Running;
  std::map<milliseconds, deadline_counts> Counts;
};

} // namespace

TEST_CASE("A burst of one workspace, half of it with a tenth of the time") {
  constexpr milliseconds Soon{300};
  constexpr milliseconds Later{3000};
  auto ByArrival = mixed_deadlines(waiting_order::Arrival).run();
  auto ByDeadline = mixed_deadlines(waiting_order::Deadline).run();

  // In the order of arrival, those with little time are refused behind others.
  CHECK(ByArrival[Soon].InTime < ByArrival[Soon].Asked * 9 / 10);
  CHECK(ByDeadline[Soon].InTime == ByDeadline[Soon].Asked);
  CHECK(ByDeadline[Later].InTime == ByDeadline[Later].Asked);
}

TEST_CASE("Requests that wait when the pace falls to a tenth") {
  ranked_queue Queue(256, waiting_order::Deadline);
  Queue.Slots = 0;
  Queue.Queue.setPace(200);
  for (int Count = 0; Count < 40; ++Count)
    REQUIRE(Queue.submit(0, {}, milliseconds(600)).ok());
  REQUIRE(Queue.submit(0, {}, milliseconds(300), "resellers").ok());
  Queue.Queue.advance(at(milliseconds(25)));
  CHECK(Queue.Refused.empty());
  Queue.Queue.setPace({.Expected = 20, .Low = 10, .High = 30});
  Queue.Queue.advance(at(milliseconds(50)));

  SUBCASE("leave at once, but for those whose turn may still come") {
    CHECK(Queue.Refused[0] >= 20);
    CHECK(Queue.Queue.counters().Waiting >= 8);
  }
  SUBCASE("and leave its turn to a workspace with one of them") {
    CHECK(Queue.Refused[0] ==
          41 - static_cast<int>(Queue.Queue.counters().Waiting));
    Queue.Slots = 2;
    Queue.Queue.advance(at(milliseconds(55)));
    CHECK(Queue.GrantedTo["resellers"] == 1);
  }
  SUBCASE("and none is refused twice") {
    const int Before = Queue.Refused[0];
    Queue.Queue.advance(at(milliseconds(50)));
    CHECK(Queue.Refused[0] == Before);
  }
}

TEST_CASE("The backlog of one workspace") {
  ranked_queue Queue(256, waiting_order::Deadline);
  Queue.Slots = 0;
  Queue.Queue.setPace(20);
  int Accepted = 0;
  while (Queue.submit(0, {}, milliseconds(2000), "resellers").ok())
    ++Accepted;
  CHECK(Accepted == 39);

  SUBCASE("does not make the turn of another one late") {
    CHECK(Queue.submit(0, {}, milliseconds(300)).ok());
  }
  SUBCASE("does not make its own requests late that have less time") {
    CHECK(Queue.submit(0, {}, milliseconds(300), "resellers").ok());
  }
}
