#include "Contract/Snapshot.h"

#include <doctest/doctest.h>

using namespace magnolia::contract;

TEST_CASE("A snapshot finds the route of a path") {
  configuration Configuration;
  for (const char *Prefix : {"/", "/orders", "/orders/status"}) {
    route Route;
    Route.Name = Route.PathPrefix = Prefix;
    Configuration.Manifest.Routes.push_back(Route);
  }
  const snapshot Snapshot(Configuration);
  const auto RouteOf = [&](std::string_view Path) {
    const route *Route = Snapshot.findRoute(Path);
    return Route ? Route->Name : "none";
  };

  SUBCASE("by the longest prefix that ends at a segment") {
    CHECK(RouteOf("/orders") == "/orders");
    CHECK(RouteOf("/orders/7") == "/orders");
    CHECK(RouteOf("/orders/status/7?full=1") == "/orders/status");
    CHECK(RouteOf("/orders/statuses") == "/orders");
    CHECK(RouteOf("/ordersx") == "/");
    CHECK(RouteOf("/?a=//..") == "/");
  }

  SUBCASE("and none for a path that a target could resolve elsewhere") {
    for (const char *Path :
         {"", "orders", "//orders", "/x/../orders", "/x/%2e%2E/orders", "/./x",
          "/x/.", "/x%2forders", "/x\\orders", "/x%5Corders", "/orders//"})
      CHECK_MESSAGE(RouteOf(Path) == "none", Path);
  }

  SUBCASE("and none if no prefix matches") {
    CHECK(snapshot(configuration{}).findRoute("/orders") == nullptr);
  }
}
