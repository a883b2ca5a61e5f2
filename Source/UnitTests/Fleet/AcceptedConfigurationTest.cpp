#include "Fleet/AcceptedConfiguration.h"

#include <doctest/doctest.h>

using namespace magnolia::fleet;

TEST_CASE("The configuration in force") {
  accepted_configuration Accepted;
  constexpr uint64_t A = 100;
  constexpr uint64_t B = 200;
  constexpr uint64_t C = 300;
  REQUIRE(Accepted.offer({5, A, {1, 40}}) == offer_decision::Accepted);

  SUBCASE("is replaced by a later version") {
    CHECK(Accepted.offer({6, B, {1, 41}}) == offer_decision::Accepted);
    CHECK(Accepted.inForce()->Version == 6);
  }
  SUBCASE("is not replaced by an earlier version of a restored store") {
    CHECK(Accepted.offer({4, B, {2, 30}}) == offer_decision::Outdated);
    CHECK(Accepted.offer({5, A, {2, 31}}) == offer_decision::InForce);
    CHECK(Accepted.inForce()->Position == store_position{2, 31});
  }
  SUBCASE("is not replaced by another content in the same era") {
    CHECK(Accepted.offer({5, B, {1, 41}}) == offer_decision::Outdated);
  }
  SUBCASE("is replaced by another content that a restored store got") {
    CHECK(Accepted.offer({5, B, {2, 31}}) == offer_decision::Accepted);
    CHECK(Accepted.offer({5, A, {1, 40}}) == offer_decision::Outdated);

    SUBCASE("and does not return with a second restore") {
      CHECK(Accepted.offer({5, A, {3, 40}}) == offer_decision::Outdated);
      CHECK(Accepted.offer({5, C, {3, 41}}) == offer_decision::Accepted);
    }
  }
}
