#include "Fleet/CollectorChoice.h"

#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The views of all instances of one failure domain.
class domain_views {
public:
  explicit domain_views(int Count) {
    for (int Own = 0; Own < Count; ++Own)
      Views.try_emplace(nameOf(Own), nameOf(Own), bootOf(Own), boot_time(),
                        peer_settings(), peer_hooks());
  }

  static std::string nameOf(int Number) {
    return "edge-" + std::to_string(Number);
  }

  instance_identity identityOf(const std::string &Name,
                               const std::string &Domain) const {
    instance_identity Identity = {Name, Domain, "10.0.0.1:7", "10.0.0.1:8"};
    if (!Strong.empty())
      Identity.Strength = Strong.contains(Name) ? machine_strength{500, 200000}
                                                : machine_strength{70, 10000};
    return Identity;
  }

  /// Names of instances on strong machines; the others are weak then.
  std::set<std::string> Strong;

  /// All others hear \p Name.
  void hear(int Number, boot_time At,
            instance_state State = instance_state::Ready,
            const std::string &Domain = "trnava") {
    hello_message Hello;
    Hello.Boot = bootOf(Number);
    Hello.Identity = identityOf(nameOf(Number), Domain);
    Hello.State = State;
    for (auto &[Name, View] : Views)
      View.apply(Hello, At);
  }

  /// The collectors that the instances choose in two rounds.
  std::map<std::string, int> collectors(boot_time Now,
                                        const std::set<std::string> &Except) {
    std::map<std::string, int> Chosen;
    for (const auto &[Name, View] : Views) {
      if (Except.contains(Name))
        continue;
      for (uint64_t Round = 0; Round < 2; ++Round) {
        const peer *Peer =
            chooseCollector(View, identityOf(Name, "trnava"), {}, Round, Now);
        ++Chosen[Peer == nullptr ? Name : Peer->Identity.Name];
      }
    }
    return Chosen;
  }

private:
  static uint64_t bootOf(int Number) {
    return 100 + static_cast<uint64_t>(Number);
  }

  std::map<std::string, peer_view> Views;
};

} // namespace

TEST_CASE("The collectors of a failure domain") {
  constexpr int Count = 36;
  const boot_time Now(seconds(100));
  domain_views Domain(Count);
  for (int Number = 0; Number < Count; ++Number)
    Domain.hear(Number, Now);
  const std::map<std::string, int> Usual = Domain.collectors(Now, {});

  SUBCASE("are two that all instances choose in turn") {
    REQUIRE(Usual.size() == 2);
    for (const auto &[Name, Updates] : Usual)
      CHECK(Updates == Count);
  }
  SUBCASE("are replaced when they fall silent") {
    const std::string Silent = Usual.begin()->first;
    const boot_time Later = Now + milliseconds(950);
    for (int Number = 0; Number < Count; ++Number)
      if (domain_views::nameOf(Number) != Silent)
        Domain.hear(Number, Later);
    const auto Next = Domain.collectors(Later, {Silent});
    CHECK(Next.size() == 2);
    CHECK_FALSE(Next.contains(Silent));

    SUBCASE("and return when they are heard again") {
      for (int Number = 0; Number < Count; ++Number)
        Domain.hear(Number, Later);
      CHECK(Domain.collectors(Later, {}) == Usual);
    }
  }
  SUBCASE("are no instances that drain or start") {
    for (int Number = 0; Number < Count; ++Number)
      if (Usual.contains(domain_views::nameOf(Number)))
        Domain.hear(Number, Now, instance_state::Draining);
    // An instance that drains does not choose itself in these views only.
    std::set<std::string> Leaving;
    for (const auto &[Name, Updates] : Usual)
      Leaving.insert(Name);
    for (const auto &[Name, Updates] : Domain.collectors(Now, Leaving))
      CHECK_FALSE(Usual.contains(Name));
  }
  SUBCASE("are those on strong machines") {
    Domain.Strong = {"edge-5", "edge-30"};
    for (int Number = 0; Number < Count; ++Number)
      Domain.hear(Number, Now);
    CHECK(Domain.collectors(Now, {}) ==
          std::map<std::string, int>{{"edge-30", Count}, {"edge-5", Count}});
  }
  SUBCASE("are instances of the own domain") {
    domain_views Mixed(2);
    Mixed.hear(0, Now);
    for (int Number = 2; Number < Count; ++Number)
      Mixed.hear(Number, Now, instance_state::Ready, "nitra");
    for (const auto &[Name, Updates] : Mixed.collectors(Now, {}))
      CHECK((Name == "edge-0" || Name == "edge-1"));
  }
  SUBCASE("are each instance itself while it knows no other") {
    domain_views Alone(1);
    CHECK(Alone.collectors(Now, {}) ==
          std::map<std::string, int>{{"edge-0", 2}});
  }
}
