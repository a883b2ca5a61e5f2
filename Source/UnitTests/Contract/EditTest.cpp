#include "Contract/Edit.h"

#include <doctest/doctest.h>

#include "Contract/Snapshot.h"

using namespace magnolia::contract;

TEST_CASE("Keys of a configuration") {
  configuration Configuration;
  manifest Manifest;
  Manifest.Workspaces = {{"clubs", 10, 10}, {"riders", 10, 10}};
  replaceManifest(Configuration, Manifest);
  REQUIRE(issueKey(Configuration, {"k1", "d1", "clubs", false}).ok());
  REQUIRE(issueKey(Configuration, {"k2", "d2", "riders", false}).ok());

  SUBCASE("stay when the manifest is replaced") {
    replaceManifest(Configuration, Manifest);
    CHECK(snapshot(Configuration).findKey("d1") != nullptr);
  }

  SUBCASE("are not found after revocation but stay listed") {
    REQUIRE(revokeKey(Configuration, "k1").ok());
    CHECK(snapshot(Configuration).findKey("d1") == nullptr);
    CHECK(snapshot(Configuration).findKey("d2") != nullptr);
    CHECK(Configuration.Keys.size() == 2);

    SUBCASE("and cannot be made valid again by a manifest or a new issue") {
      replaceManifest(Configuration, Manifest);
      CHECK(absl::IsAlreadyExists(
          issueKey(Configuration, {"k1", "other", "clubs", false})));
      CHECK(absl::IsAlreadyExists(
          issueKey(Configuration, {"other", "d1", "clubs", false})));
      CHECK(snapshot(Configuration).findKey("d1") == nullptr);
      CHECK(snapshot(Configuration).findKey("other") == nullptr);
    }
  }

  SUBCASE("are revoked with their workspace, even if it is added again") {
    manifest Without = Manifest;
    Without.Workspaces.erase(Without.Workspaces.begin());
    replaceManifest(Configuration, Without);
    replaceManifest(Configuration, Manifest);
    CHECK(snapshot(Configuration).findKey("d1") == nullptr);
    CHECK(snapshot(Configuration).findKey("d2") != nullptr);
  }

  SUBCASE("are rejected without a workspace or with an invalid name") {
    CHECK(absl::IsNotFound(
        issueKey(Configuration, {"k3", "d3", "nobody", false})));
    CHECK(absl::IsInvalidArgument(
        issueKey(Configuration, {"a b", "d3", "clubs", false})));
    CHECK(absl::IsNotFound(revokeKey(Configuration, "k3")));
    CHECK(absl::IsAlreadyExists([&] {
      revokeKey(Configuration, "k1").IgnoreError();
      return revokeKey(Configuration, "k1");
    }()));
  }
}
