#include "Fleet/ReaderDecision.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

peer_hooks emptyHooks() {
  peer_hooks Hooks;
  Hooks.OnAppeared = [](const peer &) {};
  Hooks.OnWorkspaceUse = [](uint32_t, uint64_t) {};
  Hooks.OnEarlierUse = [](uint32_t, uint64_t) {};
  Hooks.OnServiceUse = [](const service_total &) {};
  Hooks.OnEvent = [](const target_event &) {};
  Hooks.OnUpdate = [](const peer &, const update_message &) {};
  return Hooks;
}

/// One instance's view of a fleet of ten whose members reach each other.
class member_view {
public:
  explicit member_view(int Own)
      : Own(Own),
        View(nameOf(Own), bootOf(Own), boot_time(), {}, emptyHooks()) {}

  void receive(int From, reading_state Reading, boot_time Now) {
    hello_message Hello;
    Hello.Boot = bootOf(From);
    Hello.Identity = identityOf(From);
    View.apply(Hello, Now);
    update_message Update;
    Update.Boot = bootOf(From);
    Update.State = instance_state::Ready;
    Update.Reading = Reading;
    View.apply(Update, Now);
  }

  reader_decision decide(boot_time Now) const {
    return decideReader(View, identityOf(Own), {}, Now);
  }

  /// The decision among the instances of its own failure domain.
  reader_decision decideInDomain(boot_time Now) const {
    return decideReader(View, identityOf(Own), {}, Now, domainOf(Own));
  }

  static std::string domainOf(int Number) {
    return Number % 2 == 0 ? "trnava" : "nitra";
  }

  static std::string nameOf(int Number) {
    return "edge-" + std::to_string(Number);
  }

  /// What machine an instance has; alike unless a test says otherwise.
  static inline std::function<machine_strength(int Number)> StrengthOf;

private:
  static instance_identity identityOf(int Number) {
    return {nameOf(Number), domainOf(Number), "", "",
            StrengthOf ? StrengthOf(Number) : machine_strength{}};
  }

  static uint64_t bootOf(int Number) {
    return 100 + static_cast<uint64_t>(Number);
  }

  int Own;
  peer_view View;
};

} // namespace

TEST_CASE("Which instances read the store") {
  constexpr int Count = 10;
  const boot_time Now(seconds(100));
  std::vector<member_view> Fleet;
  Fleet.reserve(Count);
  for (int Own = 0; Own < Count; ++Own)
    Fleet.emplace_back(Own);
  const auto ReceiveAll = [&](reading_state Reading, boot_time At) {
    for (int Own = 0; Own < Count; ++Own)
      for (int From = 0; From < Count; ++From)
        if (From != Own)
          Fleet[static_cast<size_t>(Own)].receive(From, Reading, At);
  };
  const auto Uncovered = [&](boot_time At) {
    std::vector<int> Readers;
    for (int Own = 0; Own < Count; ++Own)
      if (!Fleet[static_cast<size_t>(Own)].decide(At).Covered)
        Readers.push_back(Own);
    return Readers;
  };

  SUBCASE("all that reach no other") { CHECK(Uncovered(Now).size() == Count); }

  ReceiveAll(reading_state::Steady, Now);
  const std::vector<int> Readers = Uncovered(Now);

  SUBCASE("two once all read steadily") { CHECK(Readers.size() == 2); }
  SUBCASE("another as soon as one of them fails") {
    for (int Own = 0; Own < Count; ++Own) {
      auto &View = Fleet[static_cast<size_t>(Own)];
      for (int From = 0; From < Count; ++From) {
        if (From == Own)
          continue;
        const bool Reads = From == Readers[1];
        View.receive(From,
                     From == Readers[0] ? reading_state::Failing
                                        : (Reads ? reading_state::Steady
                                                 : reading_state::NotReading),
                     Now);
      }
    }
    CHECK(Uncovered(Now).size() == Count);

    SUBCASE("the next in the order soonest") {
      std::vector<duration> Delays;
      Delays.reserve(Count);
      for (const member_view &View : Fleet)
        Delays.push_back(View.decide(Now).TakeOverDelay);
      std::sort(Delays.begin(), Delays.end());
      CHECK(Delays[2] + milliseconds(30) <= Delays[3]);
    }
  }
  SUBCASE("the first of each failure domain after a start") {
    std::vector<std::string> First;
    for (int Own = 0; Own < Count; ++Own) {
      const auto Decision = Fleet[static_cast<size_t>(Own)].decideInDomain(Now);
      CHECK(Decision.ReachableBefore < Count / 2);
      if (Decision.ReachableBefore == 0)
        First.push_back(member_view::domainOf(Own));
    }
    std::sort(First.begin(), First.end());
    CHECK(First == std::vector<std::string>{"nitra", "trnava"});
  }
  SUBCASE("another when a reader becomes unreachable") {
    const boot_time Later = Now + milliseconds(900);
    const int Silent = Readers[0];
    for (int Own = 0; Own < Count; ++Own)
      for (int From = 0; From < Count; ++From)
        if (From != Own && From != Silent)
          Fleet[static_cast<size_t>(Own)].receive(
              From,
              From == Readers[1] ? reading_state::Steady
                                 : reading_state::NotReading,
              Later);
    CHECK(Uncovered(Later).size() == Count);
  }
}

TEST_CASE("Which of unequal instances read the store") {
  constexpr int Count = 10;
  const boot_time Now(seconds(100));
  const machine_strength Strong = {500, 200000};
  const machine_strength Weak = {70, 10000};
  std::vector<member_view> Fleet;
  std::set<int> Silent;
  const auto Readers = [&] {
    Fleet.clear();
    for (int Own = 0; Own < Count; ++Own)
      Fleet.emplace_back(Own);
    std::vector<int> Found;
    for (int Own = 0; Own < Count; ++Own) {
      auto &View = Fleet[static_cast<size_t>(Own)];
      for (int From = 0; From < Count; ++From)
        if (From != Own && !Silent.contains(From))
          View.receive(From, reading_state::Steady, Now);
      if (!View.decide(Now).Covered && !Silent.contains(Own))
        Found.push_back(Own);
    }
    return Found;
  };
  member_view::StrengthOf = nullptr;
  const std::vector<int> OfEqual = Readers();

  SUBCASE("are the strong ones") {
    member_view::StrengthOf = [&](int Number) {
      return Number == 4 || Number == 7 ? Strong : Weak;
    };
    CHECK(Readers() == std::vector<int>{4, 7});

    SUBCASE("and another when one of these is lost") {
      Silent = {4};
      const std::vector<int> Left = Readers();
      CHECK(Left.size() == 2);
      CHECK(std::count(Left.begin(), Left.end(), 7) == 1);
    }
    SUBCASE("and the usual ones when both are lost") {
      Silent = {4, 7};
      CHECK(Readers().size() == 2);
    }
  }
  SUBCASE("are others while a strong one says nothing of its machine") {
    member_view::StrengthOf = [&](int Number) {
      if (Number == 4)
        return machine_strength{};
      return Number == 7 ? Strong : Weak;
    };
    const std::vector<int> Found = Readers();
    CHECK(Found.size() == 2);
    CHECK(std::count(Found.begin(), Found.end(), 7) == 1);
  }
  SUBCASE("are the usual ones while they differ little") {
    member_view::StrengthOf = [](int Number) {
      return machine_strength{480 + 5 * static_cast<uint32_t>(Number), 200000};
    };
    CHECK(Readers() == OfEqual);
  }
  SUBCASE("are one more, at most, when one overstates its strength") {
    member_view::StrengthOf = [&](int Number) {
      return Number == 3 ? machine_strength{MaxMillicores, MaxLinkKbits} : Weak;
    };
    const std::vector<int> Found = Readers();
    CHECK(Found.size() == 2);
    CHECK(std::count(Found.begin(), Found.end(), 3) == 1);
  }
  member_view::StrengthOf = nullptr;
}
