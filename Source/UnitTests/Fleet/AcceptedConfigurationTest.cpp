#include "Fleet/AcceptedConfiguration.h"

#include <doctest/doctest.h>

using namespace magnolia::fleet;

TEST_CASE("The configuration in force") {
  accepted_configuration Accepted;
  constexpr uint64_t A = 100;
  constexpr uint64_t B = 200;
  constexpr uint64_t C = 300;
  constexpr auto Store = offer_source::Store;
  REQUIRE(Accepted.offer({5, A, {1, 40}}, Store) == offer_decision::Accepted);

  SUBCASE("is replaced by a later version") {
    CHECK(Accepted.offer({6, B, {1, 41}}, Store) == offer_decision::Accepted);
    CHECK(Accepted.inForce()->Version == 6);
  }
  SUBCASE("is not replaced by an earlier version of a restored store") {
    CHECK(Accepted.offer({4, B, {2, 30}}, Store) == offer_decision::Outdated);
    CHECK(Accepted.offer({5, A, {2, 31}}, Store) == offer_decision::InForce);
    CHECK(Accepted.inForce()->Position == store_position{2, 31});
  }
  SUBCASE("is not replaced by another content in the same era") {
    CHECK(Accepted.offer({5, B, {1, 41}}, Store) == offer_decision::Outdated);
  }
  SUBCASE("is replaced by another content that a restored store got") {
    CHECK(Accepted.offer({5, B, {2, 31}}, Store) == offer_decision::Accepted);
    CHECK(Accepted.offer({5, A, {1, 40}}, Store) == offer_decision::Outdated);

    SUBCASE("and does not return with a second restore") {
      CHECK(Accepted.offer({5, A, {3, 40}}, Store) == offer_decision::Outdated);
      CHECK(Accepted.offer({5, C, {3, 41}}, Store) == offer_decision::Accepted);
    }
  }
  SUBCASE("is in the store as long as that is not restored") {
    CHECK(!Accepted.missingFromStore());
    REQUIRE(Accepted.offer({6, B, {1, 41}}, Store) == offer_decision::Accepted);
    CHECK(!Accepted.missingFromStore());

    SUBCASE("and is missing there after a restore from an older copy") {
      Accepted.offer({5, A, {2, 31}}, Store);
      CHECK(Accepted.missingFromStore() == Accepted.inForce());

      SUBCASE("until the operator writes it again") {
        Accepted.offer({6, B, {2, 32}}, Store);
        CHECK(!Accepted.missingFromStore());
      }
    }
  }
  SUBCASE("is replaced by the later one of a peer, which the store lost") {
    CHECK(Accepted.decide({6, B, {1, 41}}) == offer_decision::Accepted);
    CHECK(Accepted.offer({6, B, {1, 41}}, offer_source::Peer) ==
          offer_decision::Accepted);
    CHECK(Accepted.missingFromStore()->Version == 6);
    CHECK(Accepted.offer({5, A, {2, 31}}, Store) == offer_decision::Outdated);
  }
}
