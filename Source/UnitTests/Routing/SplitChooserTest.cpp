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
    Route.Parts = {{"a", 0}};
    CHECK(Chooser.next(Route, Random) == nullptr);
  }
}

// Guards against weights that are no whole numbers, or very large or small
// ones, and divide the requests in another ratio than the operator's.
TEST_CASE("Only the ratio of a split route's weights counts") {
  std::mt19937_64 Random(11);
  route Route;
  Route.Name = "r";
  constexpr double Smallest = 5e-324;
  const auto UseWeights = [&](double Big, double Small) {
    Route.Parts = {{"big", Big}, {"small", Small}};
  };
  const auto Draw = [&](split_chooser &Chooser, int Count) {
    int Small = 0;
    for (int Index = 0; Index < Count; ++Index)
      Small += *Chooser.next(Route, Random) == "small" ? 1 : 0;
    return Small;
  };

  SUBCASE("at one instance, over any number of requests") {
    for (const auto &Weights :
         {std::pair(9.0, 1.0), std::pair(0.9, 0.1), std::pair(0.009, 0.001),
          std::pair(9e-300, 1e-300), std::pair(9 * Smallest, Smallest),
          std::pair(9e307, 1e307), std::pair(1.62e308, 1.8e307)}) {
      CAPTURE(Weights.first);
      UseWeights(Weights.first, Weights.second);
      split_chooser Chooser;
      int Drawn = 0;
      for (int Count = 1; Count <= 1000; ++Count) {
        Drawn += Draw(Chooser, 1);
        REQUIRE(std::abs(Drawn - 0.1 * Count) < 1);
      }
    }
  }
  SUBCASE("over many instances, from the first request on") {
    for (const auto &Weights :
         {std::pair(9.0, 1.0), std::pair(0.9, 0.1), std::pair(9e-300, 1e-300),
          std::pair(9e307, 1e307)}) {
      CAPTURE(Weights.first);
      UseWeights(Weights.first, Weights.second);
      constexpr int Instances = 4000;
      std::vector<split_chooser> Fleet(Instances);
      for (int Request = 1; Request <= 5; ++Request) {
        CAPTURE(Request);
        int Drawn = 0;
        for (split_chooser &Chooser : Fleet)
          Drawn += Draw(Chooser, 1);
        // 400 are expected; the bounds are five standard deviations off.
        CHECK(Drawn > 305);
        CHECK(Drawn < 495);
      }
    }
  }
  SUBCASE("of more than two parts too") {
    Route.Parts = {{"a", 0.5}, {"none", 0}, {"b", 0.3}, {"c", 0.2}, {"d", 0}};
    std::map<std::string, int> First;
    for (int Instance = 0; Instance < 4000; ++Instance) {
      split_chooser Chooser;
      ++First[*Chooser.next(Route, Random)];
    }
    CHECK(First["a"] > 1840);
    CHECK(First["a"] < 2160);
    CHECK(First["b"] > 1055);
    CHECK(First["b"] < 1345);
    split_chooser Chooser;
    std::map<std::string, int> Drawn;
    for (int Count = 1; Count <= 1000; ++Count) {
      ++Drawn[*Chooser.next(Route, Random)];
      // The parts before one may each be off by one.
      REQUIRE(std::abs(Drawn["a"] - 0.5 * Count) < 1);
      REQUIRE(std::abs(Drawn["b"] - 0.3 * Count) < 2);
      REQUIRE(std::abs(Drawn["c"] - 0.2 * Count) < 2);
    }
    CHECK(Drawn.count("none") == 0);
    CHECK(Drawn.count("d") == 0);
  }
  SUBCASE("so the sequence goes on if the same ratio is written otherwise") {
    split_chooser Chooser;
    UseWeights(9, 1);
    // After one of the small part nine of the big one follow.
    while (Draw(Chooser, 1) == 0)
      continue;
    for (int Round = 0; Round < 20; ++Round) {
      UseWeights(0.9, 0.1);
      CHECK(Draw(Chooser, 4) == 0);
      UseWeights(90, 10);
      CHECK(Draw(Chooser, 5) == 0);
      UseWeights(9e307, 1e307);
      CHECK(Draw(Chooser, 1) == 1);
    }
  }
}
