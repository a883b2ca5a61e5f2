#include "Routing/RouteTable.h"

#include <doctest/doctest.h>

using namespace magnolia::routing;

namespace {

route routeOf(std::string Name, std::string Host, std::string Prefix) {
  route Route;
  Route.Name = std::move(Name);
  Route.Host = std::move(Host);
  Route.Prefix = std::move(Prefix);
  return Route;
}

std::string nameAt(const route_table &Table, std::string_view Host,
                   std::string_view Path) {
  const route *Route = Table.find(Host, Path);
  return Route == nullptr ? "" : Route->Name;
}

} // namespace

TEST_CASE("The home regions of a host are those of its routes") {
  configuration Configuration;
  route West;
  West.Host = "a.example";
  West.Prefix = "/west/";
  West.HomeRegions = {"west"};
  route Anywhere = West;
  Anywhere.Prefix = "/";
  Anywhere.HomeRegions = {};
  Configuration.Routes = {West, Anywhere};
  const auto Table = route_table::build(std::move(Configuration));
  CHECK(Table->homesOf("A.example:80") ==
        std::vector<std::vector<std::string>>{{"west"}});
  CHECK(Table->homesOf("b.example").empty());
}

TEST_CASE("A route table finds the route of a request") {
  configuration Configuration;
  Configuration.Version = 4;
  Configuration.Routes = {routeOf("all", "a.example", "/"),
                          routeOf("shop", "a.example", "/shop/"),
                          routeOf("gloves", "a.example", "/shop/gloves/"),
                          routeOf("other", "b.example", "/shop/")};
  const auto Table = route_table::build(Configuration);

  SUBCASE("by the longest prefix of its host") {
    CHECK(nameAt(*Table, "a.example", "/shop/gloves/7") == "gloves");
    CHECK(nameAt(*Table, "a.example", "/shop/7") == "shop");
    CHECK(nameAt(*Table, "a.example", "/elsewhere") == "all");
    CHECK(nameAt(*Table, "b.example", "/shop/gloves/7") == "other");
  }
  SUBCASE("and not by a prefix that ends within a segment") {
    CHECK(nameAt(*Table, "a.example", "/shop/glovesandmore") == "shop");
    CHECK(nameAt(*Table, "b.example", "/shopping/7").empty());
  }
  SUBCASE("ignoring the case of the host and its port") {
    CHECK(nameAt(*Table, "A.Example:8080", "/shop/") == "shop");
  }
  SUBCASE("and none for a host or path that no route has") {
    CHECK(nameAt(*Table, "c.example", "/shop/").empty());
    CHECK(nameAt(*Table, "b.example", "/").empty());
    CHECK(nameAt(*Table, "b.example", "").empty());
  }
}

TEST_CASE("A route table finds the workspace of a key") {
  configuration Configuration;
  Configuration.Workspaces = {{"club", {"old", "new"}, 0, 5, 5},
                              {"shop", {"mine"}, 1, 5, 5}};
  const auto Table = route_table::build(Configuration);
  REQUIRE(Table->workspaceOf("new") != nullptr);
  CHECK(Table->workspaceOf("new")->Name == "club");
  CHECK(Table->workspaceOf("old") == Table->workspaceOf("new"));
  CHECK(Table->workspaceOf("mine")->Name == "shop");
  CHECK(Table->workspaceOf("nobody's") == nullptr);
  CHECK(Table->workspaceOf("") == nullptr);
}

TEST_CASE("A route table finds a service") {
  configuration Configuration;
  Configuration.Services = {{.Name = "orders", .WarmupPerSecond = 3}};
  const auto Table = route_table::build(Configuration);
  REQUIRE(Table->serviceOf("orders") != nullptr);
  CHECK(Table->serviceOf("orders")->WarmupPerSecond == 3);
  CHECK(Table->serviceOf("reads") == nullptr);
}
