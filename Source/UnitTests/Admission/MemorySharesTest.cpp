#include "Admission/MemoryShares.h"

#include <algorithm>
#include <optional>

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

namespace {

/// A response on its way: it waits for memory, is read in some steps, and then
/// waits until its caller has fetched it.
struct transfer {
  holding_ref Memory;
  size_t Bytes = 0;
  size_t Waited = 0;
  size_t Read = 0;
  size_t Fetched = 0;
};

/// Responses of one service that are under way, one for each caller, who asks
/// again when it has its response or gives up.
class traffic {
public:
  struct load {
    std::string Service;
    size_t Callers;
    size_t FirstTarget;
    size_t Targets;
    size_t Bytes;
    /// Steps until a response is read, and until it is fetched.
    size_t ReadSteps;
    size_t FetchSteps;
    /// Steps after which a caller that waits gives up.
    size_t Patience;
  };

  traffic(memory_shares &Shares, load Load)
      : Shares(Shares), Load(std::move(Load)), Transfers(this->Load.Callers) {}

  void step() {
    for (transfer &Each : Transfers)
      step(Each);
  }

  size_t longestWait() const { return LongestWait; }
  size_t served() const { return Served; }

private:
  void step(transfer &Each) {
    if (!Each.Memory)
      Each.Memory =
          Shares.open({Load.Service, Load.FirstTarget + Next++ % Load.Targets});
    if (Each.Read == 0 && !Each.Memory->tryGrowTo(Load.Bytes)) {
      LongestWait = std::max(LongestWait, ++Each.Waited);
      if (Each.Waited >= Load.Patience)
        Each = transfer();
      return;
    }
    if (++Each.Read == Load.ReadSteps)
      Each.Memory->setComplete();
    if (Each.Read < Load.ReadSteps || ++Each.Fetched < Load.FetchSteps)
      return;
    ++Served;
    Each = transfer();
  }

  memory_shares &Shares;
  const load Load;
  std::vector<transfer> Transfers;
  size_t Next = 0;
  size_t LongestWait = 0;
  size_t Served = 0;
};

} // namespace

// The load of six faulty targets whose responses are whole and very large, in
// front of a third of 624 MB.
TEST_CASE("48 callers of six targets that send 60 MB beside orders") {
  const auto Shares = memory_shares::create(208 * Mb);
  traffic Faulty(*Shares, {"reads", 48, 0, 6, 60 * Mb, 6, 3, 30});
  traffic Sound(*Shares, {"reads", 12, 6, 6, 2 * Mb, 1, 1, 30});
  traffic Orders(*Shares, {"orders", 10, 0, 10, 2 * Mb, 1, 1, 30});
  size_t Peak = 0;
  for (int Step = 0; Step < 2000; ++Step) {
    Faulty.step();
    Sound.step();
    Orders.step();
    Peak = std::max(Peak, Shares->used());
  }
  CHECK(Peak <= Shares->limit());
  // No order and no lookup at a sound target waits at all.
  CHECK(Orders.longestWait() == 0);
  CHECK(Sound.longestWait() == 0);
  CHECK(Orders.served() == 20'000);
  CHECK(Faulty.served() > 0);
}
