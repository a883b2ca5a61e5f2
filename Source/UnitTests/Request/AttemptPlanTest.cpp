#include "Request/AttemptPlan.h"

#include <random>

#include <doctest/doctest.h>

#include "Request/LatencyQuantile.h"
#include "Request/RetryBudget.h"

using namespace magnolia::request;
using namespace magnolia::common;
using std::chrono::milliseconds;
using kind = attempt_step::kind;

namespace {

const boot_time Start{std::chrono::hours(1)};
constexpr milliseconds Timeout{1000};

request_traits traits(bool Repeatable) { return {Repeatable, Start + Timeout}; }

attempt_hooks hooks(bool Budget,
                    std::optional<std::chrono::microseconds> Hedge = {}) {
  return {[=] { return Budget; }, [=] { return Hedge; }};
}

attempt_outcome failure(error_kind Kind, execution Execution, uint64_t Bytes) {
  attempt_outcome Outcome;
  Outcome.Error = Kind;
  Outcome.Execution = Execution;
  Outcome.BytesWritten = Bytes;
  return Outcome;
}

const attempt_outcome Unreachable =
    failure(error_kind::TargetUnreachable, execution::NotRun, 0);
const attempt_outcome Refused =
    failure(error_kind::TargetRefused, execution::NotRun, 90);
const attempt_outcome Broken =
    failure(error_kind::TargetBroken, execution::Unknown, 90);
const attempt_outcome Large =
    failure(error_kind::AnswerTooLarge, execution::Ran, 90);

attempt_outcome success() {
  attempt_outcome Outcome;
  Outcome.Execution = execution::Ran;
  Outcome.BytesWritten = 90;
  return Outcome;
}

attempt_plan plan(bool Repeatable, attempt_hooks Hooks) {
  return attempt_plan(attempt_settings{}, traits(Repeatable), std::move(Hooks));
}

} // namespace

TEST_CASE("A request that is not repeatable") {
  attempt_plan Plan = plan(false, hooks(true, milliseconds(1)));
  REQUIRE(Plan.next(Start).Kind == kind::Start);
  CHECK(!Plan.next(Start).ConnectionReuseAllowed);
  const size_t First = Plan.started(Start);

  SUBCASE("is never hedged") {
    const attempt_step Step = Plan.next(Start + milliseconds(500));
    CHECK(Step.Kind == kind::Wait);
    CHECK(Step.WakeAt == Start + Timeout - milliseconds(5));
  }

  SUBCASE("goes to another target when nothing was written") {
    Plan.finished(First, Unreachable);
    CHECK(Plan.next(Start).Kind == kind::Start);

    SUBCASE("and is refused as not run when there is none") {
      Plan.noTarget(error_kind::NoTargetAvailable);
      CHECK(Plan.next(Start).Kind == kind::Finish);
      CHECK(Plan.verdict().Error == error_kind::NoTargetAvailable);
      CHECK(Plan.verdict().Execution == execution::NotRun);
    }

    SUBCASE("and stays unknown when that one may have run it") {
      Plan.finished(Plan.started(Start), Broken);
      CHECK(Plan.next(Start).Kind == kind::Finish);
      CHECK(Plan.verdict().Error == error_kind::TargetBroken);
      CHECK(Plan.verdict().Execution == execution::Unknown);
    }
  }

  SUBCASE("is not retried once a target may have run it") {
    Plan.finished(First, Broken);
    CHECK(Plan.next(Start).Kind == kind::Finish);
    CHECK(Plan.verdict().Execution == execution::Unknown);
  }

  SUBCASE("is not treated as not run without proof") {
    Plan.finished(First,
                  failure(error_kind::TargetBroken, execution::NotRun, 7));
    CHECK(Plan.next(Start).Kind == kind::Finish);
    CHECK(Plan.verdict().Execution == execution::Unknown);
  }
}

TEST_CASE("A repeatable request") {
  SUBCASE("is retried while the budget lasts") {
    attempt_plan Plan = plan(true, hooks(true));
    for (uint32_t Attempt = 0; Attempt < 3; ++Attempt) {
      REQUIRE(Plan.next(Start).Kind == kind::Start);
      Plan.finished(Plan.started(Start), Broken);
    }
    CHECK(Plan.next(Start).Kind == kind::Finish);
  }

  SUBCASE("is not retried without budget") {
    attempt_plan Plan = plan(true, hooks(false));
    Plan.next(Start);
    Plan.finished(Plan.started(Start), Broken);
    CHECK(Plan.next(Start).Kind == kind::Finish);
    CHECK(Plan.verdict().Execution == execution::Unknown);
  }

  SUBCASE("is hedged after the observed delay, and the first response counts") {
    attempt_plan Plan = plan(true, hooks(true, milliseconds(30)));
    Plan.next(Start);
    const size_t First = Plan.started(Start);
    CHECK(Plan.next(Start).WakeAt == Start + milliseconds(30));
    CHECK(Plan.next(Start + milliseconds(30)).Kind == kind::Start);
    const size_t Second = Plan.started(Start + milliseconds(30));
    CHECK(Plan.commit(Second));
    CHECK(!Plan.commit(First));
    Plan.finished(Second, success());
    CHECK(Plan.next(Start + milliseconds(40)).Kind == kind::Finish);
    CHECK(!Plan.verdict().Error);
  }

  SUBCASE("starts nothing after its deadline or without its caller") {
    attempt_plan Plan = plan(true, hooks(true));
    Plan.next(Start);
    const size_t First = Plan.started(Start);
    SUBCASE("after the deadline") {
      CHECK(Plan.next(Start + Timeout).Kind == kind::Finish);
      CHECK(Plan.verdict().Error == error_kind::DeadlineExceeded);
    }
    SUBCASE("after the caller has disconnected") {
      Plan.callerDisconnected();
      CHECK(Plan.next(Start).Kind == kind::Finish);
      CHECK(Plan.verdict().Error == error_kind::CallerGone);
    }
    CHECK(Plan.verdict().Execution == execution::Unknown);
    Plan.finished(First, Unreachable);
    CHECK(Plan.verdict().Execution == execution::NotRun);
  }
}

TEST_CASE(
    "Random attempt results lead to no unsafe retry and no wrong verdict") {
  const std::vector<attempt_outcome> Outcomes = {Unreachable, Refused, Broken,
                                                 Large, success()};
  for (uint64_t Seed = 0; Seed < 5000; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    const auto Draw = [&](size_t Size) { return Random() % Size; };
    const bool Repeatable = Draw(2) == 0;
    attempt_plan Plan = plan(Repeatable, hooks(Draw(3) != 0, milliseconds(20)));
    boot_time Now = Start;
    std::vector<size_t> Running;
    std::vector<attempt_outcome> Ended;
    size_t MayHaveRun = 0;
    bool Complete = false;
    for (int Turn = 0; Turn < 50; ++Turn) {
      const attempt_step Step = Plan.next(Now);
      if (Step.Kind == kind::Finish)
        break;
      if (Step.Kind == kind::Start) {
        // A request that may have run must not be sent again.
        if (!Repeatable) {
          CHECK(MayHaveRun == 0);
          CHECK(Running.empty());
        }
        if (Draw(8) == 0)
          Plan.noTarget(error_kind::NoTargetAvailable);
        else
          Running.push_back(Plan.started(Now));
        continue;
      }
      Now += milliseconds(Draw(40));
      if (Running.empty() || Draw(2) == 0)
        continue;
      const size_t Which = Draw(Running.size());
      const attempt_outcome &Outcome = Outcomes[Draw(Outcomes.size())];
      if (Outcome.ok())
        Complete = Plan.commit(Running[Which]) || Complete;
      Plan.finished(Running[Which], Outcome);
      Running.erase(Running.begin() + static_cast<ptrdiff_t>(Which));
      MayHaveRun += provesNotRun(Outcome) ? 0 : 1;
    }
    const request_verdict Verdict = Plan.verdict();
    CHECK(Verdict.Error.has_value() != Complete);
    if (!Verdict.Error)
      continue;
    const bool SaysNotRun =
        Verdict.Execution == execution::NotRun ||
        responseFor(*Verdict.Error).Execution == execution::NotRun;
    if (SaysNotRun) {
      CHECK(MayHaveRun == 0);
      CHECK(Running.empty());
    }
  }
}

TEST_CASE("A retry budget") {
  retry_budget Budget({.Ratio = 0.25, .Limit = 2});
  CHECK(Budget.trySpend());
  CHECK(Budget.trySpend());
  CHECK(!Budget.trySpend());
  for (int Request = 0; Request < 4; ++Request)
    Budget.earn();
  CHECK(Budget.trySpend());
  CHECK(!Budget.trySpend());

  SUBCASE("is each service's own") {
    retry_budgets Budgets({.Ratio = 0.25, .Limit = 1});
    CHECK(Budgets.trySpend("orders"));
    CHECK(!Budgets.trySpend("orders"));
    CHECK(Budgets.trySpend("catalogue"));
  }
}

TEST_CASE("The latency quantile follows the last full window") {
  latency_quantile Quantile(0.95, 100);
  for (int Sample = 1; Sample < 100; ++Sample)
    Quantile.add(milliseconds(Sample));
  CHECK(!Quantile.estimate().has_value());
  Quantile.add(milliseconds(100));
  REQUIRE(Quantile.estimate().has_value());
  CHECK(*Quantile.estimate() > milliseconds(85));
  CHECK(*Quantile.estimate() < milliseconds(100));
  for (int Sample = 0; Sample < 100; ++Sample)
    Quantile.add(milliseconds(5));
  CHECK(*Quantile.estimate() == milliseconds(5));
}
