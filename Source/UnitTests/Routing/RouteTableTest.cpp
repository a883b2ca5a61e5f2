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

// Guards against a row that cannot be read and whose requests fall to another
// route or workspace.
TEST_CASE("Routes that cannot be read") {
  configuration Configuration;
  const auto Add = [&](const char *Host, const char *Prefix, bool Closed) {
    route Route;
    Route.Host = Host;
    Route.Prefix = Prefix;
    Route.Closed = Closed;
    Configuration.Routes.push_back(Route);
  };
  Add("a.example", "/", false);
  Add("a.example", "/paid/", true);
  const auto IsClosed = [&](const char *Host, const char *Path) {
    const auto Table = route_table::build(Configuration);
    const route *Found = Table->find(Host, Path);
    return Found != nullptr && Found->Closed;
  };

  SUBCASE("match their requests and no others") {
    CHECK(IsClosed("a.example", "/paid/1"));
    CHECK_FALSE(IsClosed("a.example", "/1"));
  }
  SUBCASE("hold beside a route for the same requests, in either order") {
    Add("a.example", "/paid/", false);
    Add("a.example", "/", true);
    CHECK(IsClosed("a.example", "/paid/1"));
    CHECK(IsClosed("a.example", "/1"));
  }
  SUBCASE("match their whole host without a prefix") {
    Add("b.example", "/", false);
    Add("A.example", "", true);
    CHECK(IsClosed("a.example:80", "/1"));
    CHECK_FALSE(IsClosed("b.example", "/1"));
  }
  SUBCASE("match everything without a host") {
    Add("", "/x/", true);
    CHECK(IsClosed("a.example", "/1"));
    CHECK(IsClosed("c.example", "/1"));
  }
  SUBCASE("leave keys to the closed one of two workspaces") {
    for (const bool Closed : {false, true, false}) {
      workspace Workspace;
      Workspace.Keys = {"key"};
      Workspace.Closed = Closed;
      Configuration.Workspaces.push_back(Workspace);
    }
    const auto Table = route_table::build(Configuration);
    CHECK(Table->workspaceOf("key")->Closed);
    CHECK_FALSE(Table->mayMissKeys());
  }
}

// Guards against a single row that cannot be read and takes all routes of its
// host, or of all hosts, out of service.
TEST_CASE("A host that a route without a prefix closes") {
  configuration Configuration;
  const auto Add = [&](const char *Prefix, const char *Service) -> route & {
    Configuration.Routes.push_back(routeOf(Prefix, "a.example", Prefix));
    Configuration.Routes.back().Parts = {{Service, 1}};
    return Configuration.Routes.back();
  };
  Add("/", "reads");
  Add("/paid/", "orders");
  const auto Before = route_table::build(Configuration);
  route Closed;
  Closed.Host = "a.example";
  Closed.Closed = true;
  Configuration.Routes.push_back(Closed);
  const auto ServiceAt = [&](const char *Path) -> std::string {
    const auto Table = route_table::build(Configuration, Before);
    const route *Found = Table->find("a.example", Path);
    if (Found == nullptr || Found->Closed)
      return Found == nullptr ? "none" : "closed";
    return Found->Parts.front().Service;
  };

  SUBCASE("goes on serving what the table before served in the same way") {
    CHECK(ServiceAt("/1") == "reads");
    CHECK(ServiceAt("/paid/1") == "orders");

    SUBCASE("also after further tables with such a route") {
      const auto Second = route_table::build(Configuration, Before);
      const auto Third = route_table::build(Configuration, Second);
      CHECK(nameAt(*Third, "a.example", "/paid/1") == "/paid/");
      CHECK(Third->version() == Second->version());
    }
    SUBCASE("also where the route has no host") {
      Configuration.Routes.back().Host.clear();
      CHECK(ServiceAt("/paid/1") == "orders");
    }
  }
  SUBCASE("is closed to all if nothing is known of before") {
    const auto Table = route_table::build(Configuration);
    CHECK(Table->find("a.example", "/1")->Closed);
    CHECK(Table->find("a.example", "/paid/1")->Closed);
    const auto Next = route_table::build(Configuration, Table);
    CHECK(Next->find("a.example", "/1")->Closed);
  }
  SUBCASE("serves nothing that no route allows now") {
    Configuration.Routes.erase(Configuration.Routes.begin());
    CHECK(ServiceAt("/1") == "closed");
    CHECK(ServiceAt("/paid/1") == "orders");
  }
  SUBCASE("serves nothing at another route than before") {
    Configuration.Routes.erase(Configuration.Routes.begin() + 1);
    CHECK(ServiceAt("/paid/1") == "closed");
    CHECK(ServiceAt("/1") == "reads");
  }
  SUBCASE("serves no new route") {
    Add("/paid/cards/", "reads");
    CHECK(ServiceAt("/paid/cards/1") == "closed");
    CHECK(ServiceAt("/paid/1") == "orders");
  }
  SUBCASE("opens nothing") {
    route &Paid = Configuration.Routes[1];
    SUBCASE("by another service") { Paid.Parts = {{"orders", 1}, {"new", 1}}; }
    SUBCASE("without a key") { Paid.Public = true; }
    SUBCASE("in other regions") { Paid.HomeRegions = {"west"}; }
    SUBCASE("more than once") {
      Paid.Repeatability = repeatability::Repeatable;
    }
    SUBCASE("though it is closed itself") { Paid.Closed = true; }
    CHECK(ServiceAt("/paid/1") == "closed");
    CHECK(ServiceAt("/1") == "reads");
  }
  SUBCASE("serves less than before") {
    route &Paid = Configuration.Routes[1];
    Paid.Timeout = std::chrono::seconds(1);
    Paid.MaxAttempts = 7;
    CHECK(ServiceAt("/paid/1") == "orders");
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

TEST_CASE("The ranks of a service") {
  configuration Configuration;
  const auto AddRoute = [&](const char *Name, int Priority, bool Public) {
    route Route;
    Route.Name = Name;
    Route.Host = "a.example";
    Route.Prefix = std::string("/") + Name + "/";
    Route.Priority = Priority;
    Route.Public = Public;
    Route.Parts = {{"shop", 1}};
    Configuration.Routes.push_back(Route);
  };
  AddRoute("order", 1, false);
  const auto RankOf = [&](size_t Route, const workspace *Workspace) {
    return rank_table(Configuration)
        .rankOf("shop", Configuration.Routes[Route], Workspace);
  };
  const auto Count = [&] { return rank_table(Configuration).countOf("shop"); };

  SUBCASE("are one if all routes and workspaces have the same priority") {
    AddRoute("list", 1, false);
    Configuration.Workspaces = {{"club", {"a"}, 3}, {"team", {"b"}, 3}};
    CHECK(Count() == 1);
  }
  SUBCASE("differ with the routes'") {
    AddRoute("list", 0, false);
    Configuration.Workspaces = {{"club", {"a"}, std::nullopt}};
    CHECK(Count() == 2);
    CHECK(RankOf(0, &Configuration.Workspaces[0]) == 1);
    CHECK(RankOf(1, &Configuration.Workspaces[0]) == 0);
  }
  SUBCASE("follow the workspace's priority before the route's, also if it is "
          "zero") {
    AddRoute("list", 0, false);
    Configuration.Workspaces = {{"club", {"a"}, 2}, {"team", {"b"}, 0}};
    CHECK(Count() == 4);
    CHECK(RankOf(1, &Configuration.Workspaces[1]) == 0);
    CHECK(RankOf(0, &Configuration.Workspaces[1]) == 1);
    CHECK(RankOf(1, &Configuration.Workspaces[0]) == 2);
    CHECK(RankOf(0, &Configuration.Workspaces[0]) == 3);
  }
  SUBCASE("are those of the routes where no key is needed") {
    Configuration.Workspaces = {{"club", {"a"}, 0}};
    AddRoute("open", 2, true);
    CHECK(Count() == 2);
    CHECK(RankOf(1, nullptr) == 1);
  }
  SUBCASE("are one for a service without routes") {
    CHECK(rank_table(Configuration).countOf("other") == 1);
  }
}
