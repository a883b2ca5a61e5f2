#include "Placement/Evacuations.h"

#include <doctest/doctest.h>

using namespace magnolia::placement;
using std::chrono::seconds;

namespace {

using domains = std::vector<std::string>;
using changes = std::vector<evacuation_change>;

} // namespace

TEST_CASE("Evacuations of failure domains") {
  const evacuation_settings Settings;
  evacuations Evacuations(Settings);
  boot_time Now(seconds(100));
  CHECK(Evacuations.replace({}, Now).empty());
  const changes TrnavaBegins = {{"Trnava", true}};
  const changes TrnavaEnds = {{"Trnava", false}};

  SUBCASE("begin and end with their rows") {
    CHECK(Evacuations.set("Trnava", true) == TrnavaBegins[0]);
    CHECK(Evacuations.contains("Trnava"));
    CHECK_FALSE(Evacuations.contains("Nitra"));

    SUBCASE("which may be written or removed again without effect") {
      CHECK_FALSE(Evacuations.set("Trnava", true).has_value());
      CHECK(Evacuations.set("Trnava", false) == TrnavaEnds[0]);
      CHECK_FALSE(Evacuations.set("Trnava", false).has_value());
      CHECK(Evacuations.empty());
    }
    SUBCASE("also when several changes were missed") {
      CHECK(Evacuations.replace(domains{"Nitra", "Senica"}, Now) ==
            changes{{"Nitra", true}, {"Senica", true}, {"Trnava", false}});
      CHECK(Evacuations.domains() == domains{"Nitra", "Senica"});
    }
  }
  SUBCASE("whose rows are missing from a restored store") {
    Evacuations.replace(domains{"Trnava"}, Now);
    Evacuations.beginRestored();
    CHECK(Evacuations.replace({}, Now).empty());
    Now += Settings.RestoredGrace - seconds(1);
    CHECK(Evacuations.advance(Now).empty());
    CHECK(Evacuations.contains("Trnava"));

    SUBCASE("hold until they are not written again in time") {
      CHECK(Evacuations.replace({}, Now).empty());
      CHECK(Evacuations.advance(Now + seconds(1)) == TrnavaEnds);
      CHECK(Evacuations.empty());
    }
    SUBCASE("go on when they are written again") {
      CHECK_FALSE(Evacuations.set("Trnava", true).has_value());
      CHECK(Evacuations.advance(Now + seconds(60)).empty());
      CHECK(Evacuations.replace({}, Now) == TrnavaEnds);
    }
    SUBCASE("end when they are taken back") {
      CHECK(Evacuations.set("Trnava", false) == TrnavaEnds[0]);
    }
    SUBCASE("hold anew when it is restored once more") {
      Evacuations.beginRestored();
      CHECK(Evacuations.replace({}, Now).empty());
      CHECK(Evacuations.advance(Now + seconds(2)).empty());
      CHECK(Evacuations.advance(Now + Settings.RestoredGrace) == TrnavaEnds);
    }
  }
  SUBCASE("that a restored store holds begin, also if they were over") {
    Evacuations.set("Trnava", true);
    Evacuations.set("Trnava", false);
    Evacuations.beginRestored();
    CHECK(Evacuations.replace(domains{"Trnava"}, Now) == TrnavaBegins);
    CHECK(Evacuations.advance(Now + seconds(60)).empty());
  }
}
