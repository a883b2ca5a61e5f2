#include "Routing/SplitChooser.h"

#include <map>
#include <random>

#include <doctest/doctest.h>

using namespace magnolia::routing;

TEST_CASE("A split route's requests are divided by weight") {
  std::mt19937_64 Random(7);
  route Route;
  Route.Name = "r";
  Route.Parts = {{"big", 90}, {"small", 10}};
  split_chooser Chooser;
  const auto Draw = [&](int Count) {
    std::map<std::string, int> Drawn;
    for (int Index = 0; Index < Count; ++Index)
      ++Drawn[*Chooser.next(Route, Random)];
    return Drawn;
  };

  SUBCASE("within one request of the exact share over every run") {
    for (int Run = 0; Run < 20; ++Run) {
      const auto Drawn = Draw(10);
      CHECK(Drawn.at("big") >= 8);
    }
    auto Drawn = Draw(1000);
    CHECK(Drawn["small"] >= 99);
    CHECK(Drawn["small"] <= 101);
  }
  SUBCASE("over many instances with few requests each") {
    std::map<std::string, int> Drawn;
    for (int Instance = 0; Instance < 400; ++Instance) {
      split_chooser Own;
      for (int Index = 0; Index < 5; ++Index)
        ++Drawn[*Own.next(Route, Random)];
    }
    CHECK(Drawn["small"] > 120);
    CHECK(Drawn["small"] < 280);
  }
  SUBCASE("by the new weights as soon as they change") {
    Draw(50);
    Route.Parts = {{"big", 0}, {"small", 10}};
    CHECK(Draw(20)["small"] == 20);
  }
  SUBCASE("and a route without parts or weights has no service") {
    Route.Parts.clear();
    CHECK(Chooser.next(Route, Random) == nullptr);
    Route.Parts = {{"a", 0}, {"b", 0}};
    CHECK(Chooser.next(Route, Random) == nullptr);
  }
}
