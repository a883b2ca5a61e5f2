#include "Placement/PreferredTargets.h"

#include <algorithm>
#include <map>

#include <doctest/doctest.h>

using namespace magnolia::placement;

namespace {

std::vector<std::string> namesOf(size_t Count) {
  std::vector<std::string> Names;
  for (size_t Index = 0; Index < Count; ++Index)
    Names.push_back("edge-" + std::to_string(Index));
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::vector<target_key> keysOf(size_t Count) {
  std::vector<target_key> Keys;
  for (size_t Index = 0; Index < Count; ++Index)
    Keys.push_back(static_cast<target_key>(Index * 2654435761U));
  std::sort(Keys.begin(), Keys.end());
  return Keys;
}

/// The parts of all instances.
std::map<std::string, std::vector<target_key>>
partsOf(const std::vector<std::string> &Names,
        const std::vector<target_key> &Keys) {
  std::map<std::string, std::vector<target_key>> Parts;
  for (const std::string &Name : Names)
    Parts[Name] = preferredPart(Name, Names, Keys);
  return Parts;
}

size_t instancesWithOtherPart(
    const std::map<std::string, std::vector<target_key>> &Before,
    const std::map<std::string, std::vector<target_key>> &After) {
  size_t Count = 0;
  for (const auto &[Name, Part] : After) {
    const auto Found = Before.find(Name);
    Count += Found != Before.end() && Found->second != Part ? 1 : 0;
  }
  return Count;
}

} // namespace

TEST_CASE("The targets of a failure domain are divided among its instances") {
  struct size {
    size_t Instances, Targets;
  };
  for (const size Size :
       {size{54, 49}, size{54, 54}, size{54, 58}, size{9, 58}, size{20, 3}}) {
    CAPTURE(Size.Instances);
    CAPTURE(Size.Targets);
    const auto Parts = partsOf(namesOf(Size.Instances), keysOf(Size.Targets));
    std::map<target_key, size_t> Owners;
    size_t Least = Size.Targets;
    size_t Most = 0;
    for (const auto &[Name, Part] : Parts) {
      Least = std::min(Least, Part.size());
      Most = std::max(Most, Part.size());
      for (const target_key Key : Part)
        ++Owners[Key];
    }
    CHECK(Least >= 1);
    CHECK(Most <= Least + 1);
    CHECK(Owners.size() == Size.Targets);
    const auto Few = (Size.Instances - 1) / Size.Targets;
    for (const auto &[Key, Count] : Owners)
      CHECK(Count <= Few + 1);
  }
}

TEST_CASE("An instance or a target that joins or leaves moves few parts") {
  const auto Names = namesOf(54);
  const auto Keys = keysOf(58);
  const auto Before = partsOf(Names, Keys);
  size_t Moved = 0;
  for (size_t Left = 0; Left < Names.size(); ++Left) {
    auto Others = Names;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Left));
    Moved += instancesWithOtherPart(Before, partsOf(Others, Keys));
  }
  MESSAGE("instances: " << Moved << " of " << Names.size());
  CHECK(Moved < 8 * Names.size());
  Moved = 0;
  for (size_t Left = 0; Left < Keys.size(); ++Left) {
    auto Others = Keys;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Left));
    Moved += instancesWithOtherPart(Before, partsOf(Names, Others));
  }
  MESSAGE("targets: " << Moved << " of " << Keys.size());
  CHECK(Moved < 8 * Keys.size());
}

TEST_CASE("An instance prefers a part of the targets") {
  CHECK(isOwnCountMeaningless(2, 166, 32));
  CHECK_FALSE(isOwnCountMeaningless(2, 64, 32));
  CHECK_FALSE(isOwnCountMeaningless(6, 48, 32));
  CHECK_FALSE(isOwnCountMeaningless(0, 48, 32));
  const auto Names = namesOf(3);
  const fleet_members Members{Names[0], Names, 3};
  preferred_targets Preferred;
  const auto CountFirst = [&](const std::vector<target_key> &Keys) {
    return std::count_if(Keys.begin(), Keys.end(), [&](target_key Key) {
      return Preferred.choiceOf(Key) == size_t{0};
    });
  };

  SUBCASE("none before it knows any, or if it is not among the instances") {
    CHECK(Preferred.size() == 0);
    CHECK_FALSE(Preferred.update(Members, {}));
    CHECK(preferredPart("edge-7", Names, keysOf(3)).empty());
  }
  SUBCASE("whatever the order in which it learned of them") {
    auto Keys = keysOf(9);
    CHECK(Preferred.update(Members, Keys));
    CHECK(CountFirst(Keys) == 3);
    std::reverse(Keys.begin(), Keys.end());
    CHECK_FALSE(Preferred.update(Members, Keys));
  }
  SUBCASE("and others, divided anew, for when it can't use those") {
    const auto Keys = keysOf(58);
    const auto Many = namesOf(54);
    std::map<target_key, size_t> Second;
    for (const std::string &Name : Many)
      for (const target_key Key : preferredPart(Name, Many, Keys, 1))
        ++Second[Key];
    CHECK(Second.size() == 58);
    CHECK(preferredPart(Many[0], Many, Keys, 0) !=
          preferredPart(Many[0], Many, Keys, 1));
  }
  SUBCASE("another one when the instances or the targets change") {
    Preferred.update(Members, keysOf(9));
    CHECK(Preferred.update({Names[0], {Names[0]}, 3}, keysOf(9)));
    CHECK(Preferred.size() == 9);
    CHECK(Preferred.update(Members, keysOf(2)));
    CHECK(CountFirst(keysOf(2)) == 1);
  }
}
