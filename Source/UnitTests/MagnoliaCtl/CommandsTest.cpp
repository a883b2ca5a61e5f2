#include "MagnoliaCtl/Commands.h"

#include <sstream>

#include <doctest/doctest.h>

#include "Common/Digest.h"
#include "Platform/InstanceRow.h"
#include "Platform/MemoryPlatform.h"
#include "Request/LostClaims.h"

using namespace magnolia;
using program::exit_code;

namespace {

const std::string Manifest = MAGNOLIA_EXAMPLES "/sk-west/manifest.yaml";

struct fixture {
  platform::memory_platform Platform;
  std::ostringstream Out;
  std::ostringstream Error;
  ctl::command_context Context;

  fixture() {
    Context.Services = Platform.bind();
    Context.Actor = "ana";
    Context.Out = &Out;
    Context.Error = &Error;
    Context.Sleep = [](std::chrono::milliseconds) {};
    Context.StoreHooks.Sleep = Context.Sleep;
  }

  void confirm(const std::string &Name, uint64_t Version,
               std::chrono::seconds Age = {}) {
    platform::instance_row Row;
    Row.Name = Name;
    Row.Version = Version;
    Row.Updated = common::wallNow() - Age;
    REQUIRE(Context.Services.Table
                .Commit({}, {{platform::instanceRowKey(Name),
                              platform::encode(Row)}})
                .ok());
  }

  bool printed(const std::string &Text) const {
    return Out.str().find(Text) != std::string::npos;
  }

  bool printedError(const std::string &Text) const {
    return Error.str().find(Text) != std::string::npos;
  }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "An operator") {
  SUBCASE("validates both example manifests") {
    CHECK(ctl::validate(Context, Manifest) == exit_code::Success);
    CHECK(ctl::validate(Context, MAGNOLIA_EXAMPLES "/bengal/manifest.yaml") ==
          exit_code::Success);
  }

  SUBCASE("gets an error for a missing file") {
    CHECK(ctl::apply(Context, "/nonexistent") == exit_code::InvalidInput);
    CHECK(Context.Services.Table.Scan("")->empty());
  }

  SUBCASE("must name the author of a change") {
    Context.Actor.clear();
    CHECK(ctl::apply(Context, Manifest) == exit_code::InvalidInput);
    CHECK(printedError("--actor"));
    CHECK(Context.Services.Table.Scan("")->empty());
  }

  SUBCASE("applies a manifest") {
    REQUIRE(ctl::apply(Context, Manifest) == exit_code::Success);
    CHECK(printed("accepted version 1 change "));

    SUBCASE("a second time without effect") {
      REQUIRE(ctl::apply(Context, Manifest) == exit_code::Success);
      CHECK(printed("unchanged version 1 change "));
    }

    SUBCASE("and sees which instances have not confirmed it") {
      Platform.setInstances({{"t-1"}, {"t-2"}, {"t-3", true}, {"t-4"}});
      confirm("t-1", 1);
      confirm("t-2", 0);
      confirm("t-5", 0, std::chrono::hours(1));
      Context.Wait = std::chrono::seconds(1);
      CHECK(ctl::apply(Context, Manifest) == exit_code::Unavailable);
      CHECK(printedError("2 of 3 instances have not confirmed it: t-2 (version "
                         "0 at "));
      CHECK(printedError("t-4 (never reported)"));
      confirm("t-2", 1);
      confirm("t-4", 1);
      CHECK(ctl::apply(Context, Manifest) == exit_code::Success);
      CHECK(printed("version 1 is in force on all 3 instances"));

      CHECK(ctl::printStatus(Context) == exit_code::Success);
      CHECK(printed("silent"));
      CHECK(printed("never reported"));
      CHECK(printed("current"));
    }

    SUBCASE("and issues a key whose secret only the operator sees") {
      REQUIRE(ctl::issueKey(Context, "clubs", "k1") == exit_code::Success);
      const std::string Text = Out.str();
      const size_t Start = Text.rfind("secret ") + 7;
      const std::string Secret = Text.substr(Start, 64);
      const auto Head = platform::config_store(Context.Services).readHead();
      const auto Object = Context.Services.Objects.Get(Head->Digest);
      CHECK(Object->find(common::sha256Hex(Secret)) != std::string::npos);
      CHECK(Object->find(Secret) == std::string::npos);
      const auto Rows = Context.Services.Table.Scan("");
      for (const platform::row &Row : *Rows)
        CHECK(Row.Value.find(Secret) == std::string::npos);

      SUBCASE("and revokes it permanently") {
        CHECK(ctl::revokeKey(Context, "k1") == exit_code::Success);
        CHECK(ctl::revokeKey(Context, "k1") == exit_code::Success);
        CHECK(printed("unchanged version 3"));
        CHECK(ctl::issueKey(Context, "clubs", "k1") == exit_code::InvalidInput);
        CHECK(ctl::printAudit(Context, 10) == exit_code::Success);
        CHECK(printed("by ana: key revoke k1"));
      }
    }
  }

  SUBCASE("settles the claims that a restored table has lost") {
    CHECK(ctl::settleClaims(Context) != exit_code::Success);
    CHECK(printedError("never restored"));
    const auto &Table = Context.Services.Table;
    Platform.restoreTable(Platform.copyTable());
    const auto Now = common::wallNow();
    CHECK(!request::readCoverage(Table, Now, std::chrono::hours(1))
               ->isComplete());
    CHECK(ctl::settleClaims(Context) == exit_code::Success);
    CHECK(
        request::readCoverage(Table, Now, std::chrono::hours(1))->isComplete());
  }

  SUBCASE("gets an error when the platform is down") {
    Platform.setFaults({true, {}, 0, 0});
    CHECK(ctl::apply(Context, Manifest) == exit_code::Unavailable);
    CHECK(ctl::printStatus(Context) == exit_code::Unavailable);
  }
}
