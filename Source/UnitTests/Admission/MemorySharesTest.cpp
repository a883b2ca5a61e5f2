#include "Admission/MemoryShares.h"

#include <doctest/doctest.h>

using namespace magnolia::admission;

namespace {

constexpr size_t Mb = size_t{1024} * 1024;
constexpr size_t Step = Mb / 8;

using holding_ref = std::unique_ptr<memory_shares::holding>;

/// Lets each message grow in turn until none can.
void growAll(const std::vector<holding_ref> &Messages) {
  bool Grew = true;
  while (Grew) {
    Grew = false;
    for (const holding_ref &Message : Messages)
      Grew = Message->tryGrowTo(Message->bytes() + Step) || Grew;
  }
}

} // namespace

// Guards against targets that send without end and use up the memory that
// responses of sound targets need.
TEST_CASE("Memory shared by the targets of two services") {
  const auto Shares = memory_shares::create(240 * Mb);

  SUBCASE("a single target that sends without end holds a third") {
    std::vector<holding_ref> Endless;
    Endless.push_back(Shares->open({"reads", 1}));
    growAll(Endless);
    CHECK(Shares->used() <= Shares->largestMessage());
    CHECK(Shares->used() >= Shares->largestMessage() - Step);
  }
  SUBCASE("all of a service hold less than half, and the other has room") {
    for (const size_t Targets : {2U, 6U, 100U}) {
      CAPTURE(Targets);
      std::vector<holding_ref> Endless;
      for (size_t Index = 0; Index < Targets; ++Index)
        for (int Count = 0; Count < 4; ++Count)
          Endless.push_back(Shares->open({"reads", Index}));
      growAll(Endless);
      CHECK(Shares->used() < 120 * Mb);
      const auto Order = Shares->open({"orders", 1});
      CHECK(Order->tryGrowTo(30 * Mb));
      const auto Sound = Shares->open({"reads", 1000});
      CHECK(Sound->tryGrowTo(memory_shares::SmallBytes));
    }
  }
  SUBCASE("a sound target beside six that send without end has room") {
    std::vector<holding_ref> Endless;
    for (size_t Index = 0; Index < 6; ++Index)
      Endless.push_back(Shares->open({"reads", Index}));
    growAll(Endless);
    const auto Sound = Shares->open({"reads", 6});
    CHECK(Sound->tryGrowTo(4 * Mb));
  }
  SUBCASE("complete messages count for the limit, not for their target") {
    const auto First = Shares->open({"reads", 1});
    REQUIRE(First->tryGrowTo(80 * Mb));
    const auto Second = Shares->open({"reads", 1});
    CHECK_FALSE(Second->tryGrowTo(20 * Mb));
    First->setComplete();
    CHECK(Second->tryGrowTo(20 * Mb));
    CHECK(Shares->complete() == 80 * Mb);
    CHECK(Shares->used() == 100 * Mb);
  }
  SUBCASE("one that waits goes on when another is released") {
    size_t Rooms = 0;
    size_t Resumed = 0;
    Shares->OnRoom = [&] { ++Rooms; };
    auto First = Shares->open({"reads", 1});
    REQUIRE(First->tryGrowTo(80 * Mb));
    const auto Second = Shares->open({"reads", 1});
    REQUIRE_FALSE(Second->tryGrowTo(60 * Mb));
    Second->wait([&] { ++Resumed; });
    CHECK(Rooms == 0);
    First.reset();
    CHECK(Rooms == 1);
    Shares->resumeWaiting();
    CHECK(Resumed == 1);
    CHECK(Second->tryGrowTo(60 * Mb));
  }
  SUBCASE("the largest message of the largest target is known") {
    const auto Small = Shares->open({"reads", 1});
    const auto Large = Shares->open({"reads", 2});
    const auto Larger = Shares->open({"reads", 2});
    REQUIRE(Small->tryGrowTo(4 * Mb));
    REQUIRE(Large->tryGrowTo(3 * Mb));
    REQUIRE(Larger->tryGrowTo(5 * Mb));
    CHECK(Larger->isLargest());
    CHECK_FALSE(Large->isLargest());
    CHECK_FALSE(Small->isLargest());
    CHECK(Shares->open({"orders", 1})->isLargest());
  }
  SUBCASE("all is released with the messages") {
    {
      std::vector<holding_ref> Messages;
      for (size_t Index = 0; Index < 20; ++Index)
        Messages.push_back(Shares->open({"reads", Index % 3}));
      growAll(Messages);
      for (size_t Index = 0; Index < 20; Index += 2)
        Messages[Index]->setComplete();
    }
    CHECK(Shares->used() == 0);
    CHECK(Shares->complete() == 0);
  }
}
