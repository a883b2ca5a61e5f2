#include "Placement/HomeRegions.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;

namespace {

using regions = std::vector<std::string>;

} // namespace

TEST_CASE("Home regions decide in which failure domains a request may run") {
  const region_map Map(
      {{"trnava", "west"}, {"nitra", "west"}, {"vilnius", "north"}});
  const auto Allowed = [&](const regions &Route, const regions &Workspace) {
    const domain_filter Filter = Map.domainsIn(Route, Workspace);
    regions Domains;
    for (const char *Domain : {"trnava", "nitra", "vilnius", "unknown"})
      if (Filter.allows(Domain))
        Domains.emplace_back(Domain);
    return Domains;
  };

  SUBCASE("everywhere without any") {
    CHECK(Allowed({}, {}).size() == 4);
    CHECK_FALSE(Map.domainsIn({}, {}).isLimited());
  }
  SUBCASE("in those of the route or of the workspace") {
    CHECK(Allowed({"west"}, {}) == regions{"trnava", "nitra"});
    CHECK(Allowed({}, {"north"}) == regions{"vilnius"});
    CHECK(Allowed({"west", "north"}, {}).size() == 3);
  }
  SUBCASE("in those that both allow") {
    CHECK(Allowed({"west", "north"}, {"north"}) == regions{"vilnius"});
    CHECK(Allowed({"west"}, {"north"}).empty());
  }
  SUBCASE("and to which instances its caller is sent") {
    const auto ForCaller = [&](const std::vector<regions> &Homes,
                               const std::string &Region,
                               const std::string &Domain) {
      const domain_filter Filter = Map.domainsForCaller(Homes, Region, Domain);
      regions Domains;
      for (const char *Each : {"trnava", "nitra", "vilnius"})
        if (Filter.allows(Each))
          Domains.emplace_back(Each);
      return Domains;
    };
    CHECK(ForCaller({}, "west", "trnava").size() == 3);
    CHECK(ForCaller({{"north"}}, "east", "") == regions{"vilnius"});
    CHECK(ForCaller({{"west"}}, "west", "trnava") ==
          regions{"trnava", "nitra"});
    // Its own region as well, also if only its failure domain is known.
    CHECK(ForCaller({{"west"}}, "north", "vilnius").size() == 3);
    CHECK(ForCaller({{"west"}}, "", "vilnius").size() == 3);
    CHECK(ForCaller({{"west", "north"}, {"north"}}, "east", "") ==
          regions{"vilnius"});
  }
  SUBCASE("nowhere if they are unknown") {
    CHECK(Allowed({"east"}, {}).empty());
  }
}
