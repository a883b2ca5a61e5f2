#include "Contract/ManifestParser.h"

#include <string>

#include <doctest/doctest.h>

using namespace magnolia::contract;

namespace {

constexpr char Valid[] = R"(based_on: 7
workspaces:
  - { name: clubs, rate: 12.5, burst: 4 }
services:
  - name: orders
    floor: 0.6
    targets:
      - { name: a, address: "127.0.0.1:9001", failure_domain: nitra, slots: 6 }
routes:
  - { name: orders, path_prefix: /orders, service: orders, timeout: 250ms }
  - { name: cards, path_prefix: /, service: orders, access: open, repeatable: true }
)";

std::string errorsIn(const std::string &Text) {
  return std::string(parseManifest(Text, "m.yaml").status().message());
}

} // namespace

TEST_CASE("A manifest") {
  SUBCASE("without errors is read with its defaults") {
    const auto Parsed = parseManifest(Valid, "m.yaml");
    REQUIRE(Parsed.ok());
    const manifest &Manifest = Parsed->Manifest;
    CHECK(Parsed->BasedOn == 7);
    REQUIRE(Manifest.Workspaces.size() == 1);
    CHECK(Manifest.Workspaces[0].Rate == 12.5);
    REQUIRE(Manifest.Services.size() == 1);
    CHECK(Manifest.Services[0].QueueLimit == 256);
    CHECK(Manifest.Services[0].Targets[0].Slots == 6);
    REQUIRE(Manifest.Routes.size() == 2);
    CHECK(Manifest.Routes[0].Access == route_access::Keyed);
    CHECK_FALSE(Manifest.Routes[0].Repeatable);
    CHECK(Manifest.Routes[0].Timeout == std::chrono::milliseconds(250));
    CHECK(Manifest.Routes[1].Access == route_access::Open);
  }

  SUBCASE("with errors reports all of them with file, line and key") {
    const std::string Errors = errorsIn(R"(workspaces:
  - { name: clubs, rate: 0, burst: 0.5 }
  - { name: clubs, rate: -1, burst: 4 }
  - { name: "a b", rate: nan, burst: inf }
services:
  - name: orders
    floor: 1.5
    targets:
      - { name: a, address: "localhost:1", failure_domain: nitra, slots: 0 }
      - { name: a, address: "127.0.0.1:0", failure_domain: nitra }
      - { name: b, address: "127.0.0.1:5", failure_domain: nitra }
      - { name: c, address: "127.0.0.1:5", failure_domain: nitra }
  - { name: empty }
routes:
  - { name: r, path_prefix: orders/, service: order, access: all, timeout: 0s }
  - { name: s, path_prefix: /a/../b, service: orders }
  - { name: t, path_prefix: /same, service: orders, color: red }
  - { name: u, path_prefix: /same, service: orders }
)");
    for (const char *Error :
         {"m.yaml:2: workspaces[0].rate: must be above zero",
          "m.yaml:2: workspaces[0].burst: must be at least one",
          "m.yaml:3: workspaces[1].name: 'clubs' is used more than once",
          "m.yaml:3: workspaces[1].rate: must be above zero",
          "m.yaml:4: workspaces[2].name: 'a b' is not a valid name",
          "m.yaml:4: workspaces[2].rate: must be above zero",
          "m.yaml:4: workspaces[2].burst: must be at least one",
          "m.yaml:7: services[0].floor: must be above 0 and at most 1",
          "m.yaml:9: services[0].targets[0].address: 'localhost:1'",
          "m.yaml:9: services[0].targets[0].slots: must be from 1",
          "m.yaml:10: services[0].targets[1].name: 'a' is used more than once",
          "m.yaml:10: services[0].targets[1].address: must have a port",
          ("m.yaml:12: services[0].targets[3].address: '127.0.0.1:5' is "
           "already used by another target"),
          "m.yaml:13: services[1].targets: must list at least one",
          "m.yaml:15: routes[0].path_prefix: 'orders/' is not a plain path",
          "m.yaml:15: routes[0].service: there is no service 'order'",
          "m.yaml:15: routes[0].access: must be keyed or open",
          "m.yaml:15: routes[0].timeout: must be from 1ms",
          "m.yaml:16: routes[1].path_prefix: '/a/../b' is not a plain path",
          "m.yaml:17: routes[2].color: is not a known key",
          ("m.yaml:18: routes[3].path_prefix: '/same' is already used by "
           "another route")}) {
      INFO(Errors);
      CHECK_MESSAGE(Errors.find(Error) != std::string::npos, Error);
    }
  }

  SUBCASE("of another structure is rejected completely") {
    for (const char *Text : {"workspaces: 5", "- a", "a: [", "routes: {}",
                             "workspaces: [5]", "workspaces: [{name: [x]}]"})
      CHECK_FALSE(errorsIn(Text).empty());
  }
}
