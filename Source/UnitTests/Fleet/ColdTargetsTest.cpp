#include "Fleet/ColdTargets.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Step{25};
/// Time after which an instance knows that it does not hear another one, and
/// between two looks at the others.
constexpr milliseconds SilentAfter{2500};
constexpr milliseconds ViewPeriod{500};

/// Instances in three failure domains that all press to send to targets of one
/// domain, which are cold from the beginning. Each hears the instances of its
/// own group.
class pressing_fleet {
public:
  pressing_fleet(size_t Instances, size_t TargetCount, double PerSecond)
      : PerSecond(PerSecond), Fleet(Instances), Sent(TargetCount),
        Groups(Instances, 0), Before(Groups) {
    for (size_t Index = 0; Index < Instances; ++Index)
      restart(Index);
    for (size_t Index = 0; Index < Instances; ++Index)
      look(Index);
    Now += seconds(5);
  }

  void setLimit(double Changed) { PerSecond = Changed; }

  /// Cuts connections between instances of different groups; a negative group
  /// means that the instance has ended.
  void regroup(std::vector<int> Changed) {
    Before = std::exchange(Groups, std::move(Changed));
    RegroupedAt = Now;
  }

  void restart(size_t Instance) {
    Fleet[Instance] =
        std::make_unique<cold_targets>(cold_settings(), nameOf(Instance));
    RestartedAt[Instance] = Now;
  }

  void run(milliseconds Length) {
    for (const boot_time End = Now + Length; Now < End; Now += Step)
      for (size_t Index = 0; Index < Fleet.size(); ++Index)
        if (Groups[Index] >= 0)
          press(Index);
  }

  /// The most requests to one target within a second from \p Since on.
  size_t most(boot_time Since = boot_time()) const {
    size_t Most = 0;
    for (const auto &Times : Sent)
      for (auto First = std::lower_bound(Times.begin(), Times.end(), Since);
           First != Times.end(); ++First)
        Most = std::max(
            Most, static_cast<size_t>(std::lower_bound(First, Times.end(),
                                                       *First + seconds(1)) -
                                      First));
    return Most;
  }

  /// The fewest requests to one target from \p Since on.
  size_t fewest(boot_time Since) const {
    size_t Fewest = SIZE_MAX;
    for (const auto &Times : Sent)
      Fewest = std::min(
          Fewest, static_cast<size_t>(
                      Times.end() -
                      std::lower_bound(Times.begin(), Times.end(), Since)));
    return Fewest;
  }

  boot_time Now{seconds(100)};

private:
  static std::string nameOf(size_t Index) {
    return "edge-" + std::to_string(Index);
  }
  static std::string domainOf(size_t Index) {
    return "domain-" + std::to_string(Index % 3);
  }

  bool hears(size_t Index, size_t Other) const {
    const auto Restarted = RestartedAt.find(Index);
    if (Restarted != RestartedAt.end() && Now - Restarted->second < ViewPeriod)
      return false;
    // They do not notice it at the same time.
    const auto Noticed = SilentAfter + milliseconds(Index * 137 % 1000);
    const auto &Known = Now - RegroupedAt < Noticed ? Before : Groups;
    return Known[Index] == Known[Other];
  }

  void look(size_t Index) {
    std::vector<fleet_member> Members;
    for (size_t Other = 0; Other < Groups.size(); ++Other)
      Members.push_back({nameOf(Other), domainOf(Other),
                         Other == Index || hears(Index, Other)
                             ? member_state::Active
                             : member_state::Silent});
    Fleet[Index]->setMembers(std::move(Members), Now);
  }

  void press(size_t Index) {
    const auto Phase = Now.time_since_epoch() / Step + static_cast<long>(Index);
    const bool Looks = Phase % (ViewPeriod / Step) == 0;
    if (Looks || !Fleet[Index]->size()) {
      look(Index);
      for (size_t Key = 0; Key < Sent.size(); ++Key)
        Fleet[Index]->put(
            {static_cast<uint32_t>(Key + 1), "domain-1", PerSecond}, Now);
    }
    for (size_t Key = 0; Key < Sent.size(); ++Key) {
      const auto Target = static_cast<uint32_t>(Key + 1);
      const auto Next = Fleet[Index]->nextUse(Target, Now);
      if (!Next || *Next > Now)
        continue;
      Fleet[Index]->countUse(Target, Now);
      Sent[Key].push_back(Now);
    }
  }

  double PerSecond;
  std::vector<std::unique_ptr<cold_targets>> Fleet;
  std::vector<std::vector<boot_time>> Sent;
  std::vector<int> Groups;
  std::vector<int> Before;
  boot_time RegroupedAt;
  absl::flat_hash_map<size_t, boot_time> RestartedAt;
};

/// Half as much again as the limit, and eight requests.
size_t boundOf(double PerSecond) {
  return static_cast<size_t>(1.5 * PerSecond + 8);
}

} // namespace

TEST_CASE("Targets that all become cold at one moment, while a fleet presses") {
  const auto ForEach = [](const auto &Play) {
    for (const size_t Instances : {size_t{3}, size_t{40}, size_t{166}})
      for (const double PerSecond : {0.5, 3.0, 20.0}) {
        CAPTURE(Instances);
        CAPTURE(PerSecond);
        pressing_fleet Fleet(Instances, 12, PerSecond);
        std::vector<int> Groups(Instances, 0);
        Play(Fleet, Groups, PerSecond);
        CHECK(Fleet.most() <= boundOf(PerSecond));
      }
  };
  const auto IsHalfUsed = [](const pressing_fleet &Fleet, double PerSecond) {
    return Fleet.fewest(Fleet.Now - seconds(4)) >=
           static_cast<size_t>(0.4 * 4 * PerSecond);
  };

  SUBCASE("never get more than they bear, and most of it") {
    ForEach([](pressing_fleet &Fleet, auto &, double PerSecond) {
      const boot_time Start = Fleet.Now;
      Fleet.run(seconds(10));
      CHECK(static_cast<double>(Fleet.fewest(Start)) >= 0.8 * 10 * PerSecond);
    });
  }
  SUBCASE("nor while a failure domain is cut off, and half of it") {
    ForEach([&](pressing_fleet &Fleet, auto &Groups, double PerSecond) {
      const std::vector<int> Together = Groups;
      for (size_t Index = 1; Index < Groups.size(); Index += 3)
        Groups[Index] = 1;
      Fleet.run(seconds(2));
      Fleet.regroup(Groups);
      Fleet.run(seconds(8));
      CHECK(IsHalfUsed(Fleet, PerSecond));
      Fleet.regroup(Together);
      Fleet.run(seconds(6));
    });
  }
  SUBCASE("nor while none hears any other") {
    ForEach([&](pressing_fleet &Fleet, auto &Groups, double PerSecond) {
      for (size_t Index = 0; Index < Groups.size(); ++Index)
        Groups[Index] = static_cast<int>(Index);
      Fleet.regroup(Groups);
      Fleet.run(seconds(8));
      CHECK(IsHalfUsed(Fleet, PerSecond));
    });
  }
  SUBCASE("nor while a third of the instances has ended, and half of it") {
    ForEach([&](pressing_fleet &Fleet, auto &Groups, double PerSecond) {
      for (size_t Index = 0; Index < Groups.size(); Index += 3)
        Groups[Index] = -1;
      Fleet.run(seconds(2));
      Fleet.regroup(Groups);
      Fleet.run(seconds(8));
      CHECK(IsHalfUsed(Fleet, PerSecond));
    });
  }
  SUBCASE("nor while all instances restart in turn") {
    ForEach([](pressing_fleet &Fleet, auto &Groups, double) {
      for (size_t Index = 0; Index < Groups.size(); ++Index) {
        Fleet.run(milliseconds(100));
        Fleet.restart(Index);
      }
      Fleet.run(seconds(2));
    });
  }
  SUBCASE("nor while all instances restart at once") {
    ForEach([](pressing_fleet &Fleet, auto &Groups, double) {
      Fleet.run(milliseconds(1700));
      for (size_t Index = 0; Index < Groups.size(); ++Index)
        Fleet.restart(Index);
      Fleet.run(seconds(3));
    });
  }
  SUBCASE("nor when the limit falls") {
    ForEach([](pressing_fleet &Fleet, auto &, double PerSecond) {
      Fleet.run(seconds(3));
      Fleet.setLimit(PerSecond / 4);
      Fleet.run(seconds(3));
      const boot_time Known = Fleet.Now;
      Fleet.run(seconds(8));
      CHECK(Fleet.most(Known) <= boundOf(PerSecond / 4));
    });
  }
}

TEST_CASE("The senders to a cold target") {
  std::vector<fleet_member> Members;
  for (const char *Name : {"a", "b", "c", "d", "e", "f", "g", "h", "i"})
    Members.push_back({Name, Members.size() % 3 == 0 ? "Nitra" : "Trnava"});
  const cold_settings Settings;
  const auto Choose = [&](std::string_view Domain, double PerSecond) {
    return chooseColdSenders(Members, 7, Domain, PerSecond, Settings);
  };
  const cold_senders Usual = Choose("Trnava", 3);

  SUBCASE("are few, of its failure domain, and share its limit") {
    CHECK(Usual.Members.size() == 4);
    CHECK(Usual.PerSecond == 0.75);
    for (const size_t Index : Usual.Members)
      CHECK(Members[Index].FailureDomain == "Trnava");
  }
  SUBCASE("are more for a larger limit, and at most all") {
    CHECK(Choose("Trnava", 9).Members.size() == 6);
    CHECK(Choose("Trnava", 1000).Members.size() == 9);
  }
  SUBCASE("are of another failure domain too if its own has few") {
    CHECK(Choose("Nitra", 3).Members.size() == 4);
    CHECK(Choose("Senica", 3).Members.size() == 4);
  }
  SUBCASE("are replaced when they take no requests") {
    const size_t Leaving = Usual.Members[0];
    Members[Leaving].State = member_state::Inactive;
    const cold_senders Others = Choose("Trnava", 3);
    CHECK(Others.Members.size() == 4);
    CHECK(Others.PerSecond == 0.75);
    CHECK(std::find(Others.Members.begin(), Others.Members.end(), Leaving) ==
          Others.Members.end());
  }
  SUBCASE("are replaced when they are silent, and then send half, since those "
          "may be cut off and send too") {
    const size_t Lost = Usual.Members[0];
    Members[Lost].State = member_state::Silent;
    const cold_senders Others = Choose("Trnava", 3);
    CHECK(Others.Members.size() == 4);
    CHECK(Others.PerSecond == 0.375);
    CHECK(std::find(Others.Members.begin(), Others.Members.end(), Lost) ==
          Others.Members.end());
  }
  SUBCASE("are those by the registrations alone where most are silent") {
    for (size_t Index = 0; Index < Members.size(); ++Index)
      if (Index != Usual.Members[1])
        Members[Index].State = member_state::Silent;
    const cold_senders Alone = Choose("Trnava", 3);
    CHECK(Alone.Members == Usual.Members);
    CHECK(Alone.PerSecond == 0.375);
  }
}

TEST_CASE("An instance that has just started and a cold target") {
  cold_targets Cold(cold_settings(), "a");
  const boot_time Now(seconds(100));
  CHECK(Cold.put({7, "Trnava", 3}, Now));

  SUBCASE("do nothing while the instances are unknown") {
    CHECK_FALSE(Cold.nextUse(7, Now));
    CHECK(Cold.senderFraction(7) == 1);
  }
  SUBCASE("wait then, since its predecessor may have sent") {
    Cold.setMembers({{"a", "Trnava"}}, Now);
    CHECK_FALSE(Cold.put({7, "Trnava", 3}, Now));
    CHECK(Cold.nextUse(7, Now) == Now + seconds(1));
  }
}

TEST_CASE("An instance and a cold target") {
  cold_targets Cold(cold_settings(), "a");
  boot_time Now(seconds(100));
  const auto Put = [&](double PerSecond) {
    return Cold.put({7, "Trnava", PerSecond}, Now);
  };
  Cold.setMembers({{"a", "Trnava"}}, Now);
  Now += seconds(5);
  CHECK(Cold.nextUse(7, Now) == Now);
  SUBCASE("share nothing alone, at even distances") {
    CHECK(Put(4));
    CHECK_FALSE(Put(4));
    CHECK(Cold.size() == 1);
    CHECK(Cold.nextUse(7, Now) == Now);
    Cold.countUse(7, Now);
    CHECK(Cold.nextUse(7, Now) == Now + milliseconds(250));

    SUBCASE("that follow a changed limit at once") {
      Put(2);
      CHECK(Cold.nextUse(7, Now) == Now + milliseconds(500));
    }
    SUBCASE("counted from when the request was sent") {
      Cold.countUse(7, Now + milliseconds(90));
      CHECK(Cold.nextUse(7, Now) == Now + milliseconds(340));
    }
    SUBCASE("until it is warm") {
      CHECK(Cold.remove(7));
      CHECK_FALSE(Cold.remove(7));
      CHECK(Cold.nextUse(7, Now) == Now);
    }
    SUBCASE("until it is gone") {
      Cold.keepOnly({8});
      CHECK(Cold.size() == 0);
    }
  }
  SUBCASE("wait when the instance takes another one's place") {
    std::vector<fleet_member> Members = {{"a", "Nitra"}};
    for (const char *Name : {"b", "c", "d", "e"})
      Members.push_back({Name, "Trnava"});
    Cold.setMembers(Members, Now);
    Put(2);
    CHECK_FALSE(Cold.nextUse(7, Now));
    CHECK(Cold.senderFraction(7) == 0.8);
    Members[1].State = member_state::Inactive;
    Cold.setMembers(Members, Now);
    Put(2);
    // The last of four.
    CHECK(Cold.nextUse(7, Now) == Now + seconds(1) + milliseconds(1500));
  }
  SUBCASE("agree also on a limit of nearly nothing") {
    Put(1e-12);
    Cold.countUse(7, Now);
    CHECK(*Cold.nextUse(7, Now) > Now + std::chrono::hours(1));
  }
}
