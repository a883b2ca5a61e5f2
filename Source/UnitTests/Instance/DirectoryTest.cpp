#include "Instance/Directory.h"

#include <set>

#include <doctest/doctest.h>

using namespace magnolia::instance;

namespace {

const std::vector<std::string> Domains = {"Kolkata", "Howrah", "Siliguri"};

std::vector<member> fleetOf(size_t Count) {
  std::vector<member> Members(Count);
  for (size_t I = 0; I < Count; ++I) {
    Members[I].Info.Name = "i" + std::to_string(I);
    Members[I].Info.CallerAddress = "10.0.0." + std::to_string(I);
    Members[I].Info.FailureDomain = Domains[I % 3];
  }
  return Members;
}

std::set<std::string> addresses(const directory_response &Response) {
  std::set<std::string> Addresses;
  for (const directory_entry &Each : Response.Instances)
    Addresses.insert(Each.Address);
  return Addresses;
}

} // namespace

TEST_CASE("The directory") {
  std::vector<member> Members = fleetOf(14);
  const directory_settings Settings;
  const std::vector<std::string> Owners = {"i4", "i8", "i12"};
  directory_query Query;
  Query.Owners = Owners;
  Query.CallerSeed = 1;
  const auto Resolve = [&] { return queryDirectory(Members, Query, Settings); };

  SUBCASE("lists the owners first, then others in all failure domains") {
    const directory_response First = Resolve();
    REQUIRE(First.Instances.size() == Settings.MaxInstances);
    std::set<std::string> Front;
    std::set<std::string> Rest;
    for (size_t I = 0; I < 3; ++I) {
      Front.insert(First.Instances[I].Address);
      Rest.insert(First.Instances[I + 3].FailureDomain);
    }
    CHECK(Front == std::set<std::string>{"10.0.0.4", "10.0.0.8", "10.0.0.12"});
    CHECK(Rest.size() == 3);
    CHECK(First.Ttl == Settings.Ttl);
  }

  SUBCASE("starts in the caller's failure domain") {
    Query.FailureDomain = "Siliguri";
    CHECK(Resolve().Instances[0].FailureDomain == "Siliguri");
  }

  SUBCASE("orders the instances differently for different callers") {
    std::set<std::string> Firsts;
    for (Query.CallerSeed = 0; Query.CallerSeed < 40; ++Query.CallerSeed)
      Firsts.insert(Resolve().Instances[0].Address);
    CHECK(Firsts.size() == 3);
  }

  SUBCASE("omits draining and suspect instances") {
    Members[4].Presence = presence::Draining;
    Members[8].Presence = presence::Suspect;
    for (Query.CallerSeed = 0; Query.CallerSeed < 40; ++Query.CallerSeed) {
      const auto Named = addresses(Resolve());
      CHECK_FALSE(Named.contains("10.0.0.4"));
      CHECK_FALSE(Named.contains("10.0.0.8"));
    }
  }

  SUBCASE("lists suspect instances after itself when it may be cut off") {
    for (size_t I = 1; I < Members.size(); ++I)
      Members[I].Presence = presence::Suspect;
    const directory_response Alone = Resolve();
    CHECK(Alone.Instances.size() == Settings.MaxInstances);
    CHECK(Alone.Instances[0].Address == "10.0.0.0");
    CHECK(Alone.Ttl == Settings.IsolatedTtl);
  }

  SUBCASE("lists a draining instance rather than none") {
    for (member &Each : Members)
      Each.Presence = presence::Gone;
    Members[5].Presence = presence::Draining;
    CHECK(addresses(Resolve()) == std::set<std::string>{"10.0.0.5"});
  }
}
