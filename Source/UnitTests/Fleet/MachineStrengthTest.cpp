#include "Fleet/MachineStrength.h"

#include <doctest/doctest.h>

using namespace magnolia::fleet;

TEST_CASE("Strong and weak machines") {
  strength_classes Classes;

  SUBCASE("that say nothing are all strong") {
    Classes.add({});
    CHECK(Classes.isStrong({}));
  }
  SUBCASE("that are much alike are all strong") {
    Classes.add({480, 2400000});
    Classes.add({530, 2700000});
    CHECK(Classes.isStrong({480, 2400000}));
    CHECK(Classes.isStrong({530, 2700000}));
  }
  SUBCASE("differ by the processor") {
    Classes.add({500, 200000});
    CHECK(Classes.isStrong({250, 200000}));
    CHECK_FALSE(Classes.isStrong({70, 200000}));
  }
  SUBCASE("differ by the link") {
    Classes.add({500, 200000});
    CHECK_FALSE(Classes.isStrong({500, 11000}));
  }
  SUBCASE("of which one says nothing") {
    Classes.add({500, 200000});
    CHECK_FALSE(Classes.isStrong({}));
  }
}
