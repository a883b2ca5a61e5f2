#include "MagnoliaCtl/Check.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <unistd.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "Common/YamlReader.h"
#include "MagnoliaCtl/ManifestFormat.h"
#include "Platform/MemoryPlatform.h"

using namespace magnolia;
using program::exit_code;

namespace {

const std::string Manifest = MAGNOLIA_EXAMPLES "/sk-west/manifest.yaml";

struct fixture {
  platform::memory_platform Platform;
  std::ostringstream Out;
  std::ostringstream Error;
  ctl::command_context Context;
  ctl::check_request Request;
  std::vector<routing::configuration_format> Formats;
  std::filesystem::path Directory;

  fixture() {
    Context.Services = Platform.bind();
    Context.Actor = "ana";
    Context.Out = &Out;
    Context.Error = &Error;
    Formats = {ctl::manifestFormat([this](const std::string &Address)
                                       -> absl::StatusOr<platform::services> {
      if (Address != "here")
        return absl::UnavailableError("no platform");
      return Context.Services;
    })};
    std::string Name =
        (std::filesystem::temp_directory_path() / "check-XXXXXX").string();
    REQUIRE(mkdtemp(Name.data()) != nullptr);
    Directory = Name;
    Request.File = write("new.yaml", *common::readFile(Manifest));
  }
  ~fixture() { std::filesystem::remove_all(Directory); }

  std::string write(const std::string &Name, const std::string &Text) const {
    std::string Path = (Directory / Name).string();
    std::ofstream(Path) << Text;
    return Path;
  }
  /// Replaces a part of the checked file.
  void edit(const std::string &Old, const std::string &New) const {
    std::string Text = *common::readFile(Request.File);
    REQUIRE(Text.find(Old) != std::string::npos);
    write("new.yaml", Text.replace(Text.find(Old), Old.size(), New));
  }
  exit_code run() {
    Out.str("");
    return ctl::check(Context, Request, Formats);
  }
  bool printed(const std::string &Text) const {
    return Out.str().find(Text) != std::string::npos;
  }
};

constexpr const char *UnusedService =
    "services:\n  - name: unused\n    targets: [{name: u-1, address: "
    "\"127.0.0.1:9\", failure_domain: x}]\n";

} // namespace

TEST_CASE_FIXTURE(fixture, "An operator checks a manifest") {
  SUBCASE("that is valid") {
    CHECK(run() == exit_code::Success);
    CHECK(printed("0 errors, 0 warnings (manifest)"));
  }
  SUBCASE("with a warning, which fails only a strict check") {
    edit("services:\n", UnusedService);
    CHECK(run() == exit_code::Success);
    CHECK(printed("warning: services, row 1 'unused', name: no route uses it; "
                  "remove the service or add a route [unused-service]"));
    Request.Strict = true;
    CHECK(run() == exit_code::InvalidInput);
  }
  SUBCASE("with rates far above what its targets execute") {
    Request.FleetRate = 0.001;
    CHECK(run() == exit_code::Success);
    CHECK(printed("[rates-above-capacity]"));
  }
  SUBCASE("with errors, all of which are shown with their places") {
    write("new.yaml", "workspaces:\n  - name: a\n    rate: 0\n    burst: 1\n"
                      "routes:\n  - name: r\n    path_prefix: x\n"
                      "    service: none\n");
    Request.Json = true;
    CHECK(run() == exit_code::InvalidInput);
    const auto Printed = nlohmann::json::parse(Out.str());
    REQUIRE(Printed["errors"] == 3);
    CHECK(Printed["findings"][0]["table"] == "workspaces");
    CHECK(Printed["findings"][0]["column"] == "rate");
    CHECK(Printed["findings"][1]["line"] == 7);
    CHECK(Printed["findings"][1]["row"] == 1);
    CHECK(Printed["findings"][2]["message"] == "there is no service 'none'");
  }
  SUBCASE("that cannot be opened") {
    Request.File = "/nonexistent";
    CHECK(run() == exit_code::InvalidInput);
    CHECK(Error.str() == "cannot read /nonexistent\n");
    Request.File = Directory.string();
    CHECK(run() == exit_code::InvalidInput);
  }
}

TEST_CASE_FIXTURE(fixture, "An operator compares a manifest") {
  SUBCASE("with a file") {
    Request.Against = Manifest;
    CHECK(run() == exit_code::Success);
    CHECK(printed(": 0 changes"));
    edit("services:\n", UnusedService);
    CHECK(run() == exit_code::Success);
    CHECK(printed(": 2 changes\n+ service unused: "));
    Request.Against = write("odd.yaml", "routes: 7\n");
    CHECK(run() == exit_code::InvalidInput);
    CHECK(printed("not compared: "));
  }
  SUBCASE("with the version in force") {
    REQUIRE(ctl::apply(Context, Manifest) == exit_code::Success);
    Request.Store = "here";
    edit("services:\n", UnusedService);
    CHECK(run() == exit_code::Success);
    CHECK(printed("against here version 1: 2 changes"));
    edit("services:\n", "based_on: 7\nservices:\n");
    CHECK(run() == exit_code::InvalidInput);
    CHECK(printed("based on version 7, but version 1 is in force"));
  }
  SUBCASE("with a platform that is unavailable") {
    Request.Store = "elsewhere";
    CHECK(run() == exit_code::Unavailable);
    CHECK(printed("not compared: no platform"));
  }
}

// Whatever a file contains, the operator gets findings or a clean result.
TEST_CASE_FIXTURE(fixture, "Damaged manifests are read to the end") {
  const std::string Valid = *common::readFile(Manifest);
  const std::string Letters = "{}[]:-,'\"#&*!|>%@` \n\t\x01\xff"
                              "09aZ";
  for (uint32_t Seed = 1; Seed <= 300; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    std::string Text = Valid;
    for (size_t Count = Random() % 4 + 1; Count > 0; --Count)
      Text[Random() % Text.size()] = Letters[Random() % Letters.size()];
    if (Seed % 5 == 0)
      Text.resize(Random() % Text.size());
    write("new.yaml", Text);
    const bool Accepted =
        ctl::validate(Context, Request.File) == exit_code::Success;
    const exit_code Code = run();
    CHECK((Code == exit_code::InvalidInput) == printed("error: "));
    // What is refused when it is applied is found.
    CHECK((Accepted || Code == exit_code::InvalidInput));
  }
}
