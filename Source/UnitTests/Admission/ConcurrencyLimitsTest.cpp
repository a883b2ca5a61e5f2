#include "Admission/ConcurrencyLimits.h"

#include <array>

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::admission;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr uint32_t Instances = 14;
constexpr uint32_t Slots = 6;
constexpr microseconds UsualLatency = milliseconds(20);

common::boot_time at(int Milliseconds) {
  return common::boot_time(milliseconds(Milliseconds));
}

double limitOf(const concurrency_limits &Limits, std::string_view Name) {
  for (const target_limit &Limit : Limits.limits())
    if (Limit.Name == Name)
      return Limit.Limit;
  return 0;
}

} // namespace

TEST_CASE("The limits of a service's targets") {
  concurrency_limits Limits(additiveIncreaseRule());
  const std::array<target_slots, 3> Targets = {
      {{"t1", Slots}, {"t2", Slots}, {"t3", Slots}}};
  Limits.setTargets(Targets, Instances);
  const double Share = static_cast<double>(Slots) / Instances;
  int Now = 0;
  const auto Serve = [&](std::string_view Target, target_outcome Outcome,
                         microseconds Latency) {
    REQUIRE(Limits.tryStart(Target));
    Now += 100;
    Limits.finish(Target, Outcome, Latency, at(Now));
  };

  SUBCASE("start as one instance's share of the slots") {
    CHECK(limitOf(Limits, "t1") == doctest::Approx(Share));
    CHECK(Limits.capacity() == 1);
  }

  SUBCASE("always leave room for as many requests as the capacity says") {
    for (size_t Left = Limits.capacity(); Left > 0; --Left) {
      const bool Started = Limits.tryStart("t1") || Limits.tryStart("t2") ||
                           Limits.tryStart("t3");
      CHECK(Started);
    }
  }

  SUBCASE("give one target no more than its limit rounded up") {
    CHECK(Limits.tryStart("t1"));
    CHECK_FALSE(Limits.hasRoom("t1"));
    CHECK_FALSE(Limits.tryStart("t1"));
    Limits.finish("t1", target_outcome::Failed, UsualLatency, at(1));
    CHECK(Limits.hasRoom("t1"));
  }

  SUBCASE("grow while they are in use, up to the target's slots") {
    for (int Round = 0; Round < 2000; ++Round) {
      uint32_t Started = 0;
      while (Limits.tryStart("t1"))
        ++Started;
      Now += 100;
      for (; Started > 0; --Started)
        Limits.finish("t1", target_outcome::Succeeded, UsualLatency, at(Now));
    }
    CHECK(limitOf(Limits, "t1") == doctest::Approx(Slots));
    CHECK(limitOf(Limits, "t2") == doctest::Approx(Share));
  }

  SUBCASE("do not grow far beyond what is in flight") {
    for (int Count = 0; Count < 2000; ++Count)
      Serve("t1", target_outcome::Succeeded, UsualLatency);
    CHECK(limitOf(Limits, "t1") > Share);
    CHECK(limitOf(Limits, "t1") <= 2.1);
  }

  SUBCASE("shrink when the target sheds load, but never to zero") {
    for (int Count = 0; Count < 1000; ++Count)
      Serve("t1", target_outcome::Refused, UsualLatency);
    CHECK(limitOf(Limits, "t1") < Share);
    CHECK(limitOf(Limits, "t1") > 0);
    CHECK(Limits.capacity() >= 1);
  }

  SUBCASE("shrink when latency rises well above its usual") {
    for (int Count = 0; Count < 50; ++Count)
      Serve("t1", target_outcome::Succeeded, UsualLatency);
    const double Before = limitOf(Limits, "t1");
    for (int Count = 0; Count < 50; ++Count)
      Serve("t1", target_outcome::Succeeded, UsualLatency * 10);
    CHECK(limitOf(Limits, "t1") < Before);
  }

  SUBCASE("exclude removed targets from the capacity, but end their requests") {
    REQUIRE(Limits.tryStart("t1"));
    Limits.setTargets(std::span(Targets).subspan(1), Instances);
    CHECK_FALSE(Limits.tryStart("t1"));
    CHECK(Limits.limits().size() == 3);
    Limits.finish("t1", target_outcome::Succeeded, UsualLatency, at(1));
    CHECK(Limits.limits().size() == 2);
  }

  SUBCASE("are zero when no target is usable") {
    Limits.setTargets({}, Instances);
    CHECK(Limits.capacity() == 0);
  }
}
