#include "Net/Platform/PlatformClient.h"

#include <atomic>
#include <memory>
#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <httplib.h>

#include "Common/Digest.h"
#include "Platform/MemoryPlatform.h"
#include "StandIns/Platform/PlatformServer.h"

using namespace magnolia;

TEST_CASE("The platform over HTTP") {
  platform::memory_platform Platform;
  auto Server = stand_ins::platform_server::create("127.0.0.1:0", Platform);
  REQUIRE(Server.ok());
  net::platform_client_options Options;
  Options.Address = absl::StrCat("127.0.0.1:", (*Server)->port());
  const auto Services = net::connectPlatform(Options);
  REQUIRE(Services.ok());
  const platform::table_service &Table = Services->Table;
  httplib::Client Admin("127.0.0.1", (*Server)->port());

  SUBCASE("stores rows under conditions") {
    const std::string Key = "a/b &=?%+\xc3\xa9";
    CHECK(Table.Get(Key)->Version == 0);
    REQUIRE(Table.Commit({{Key, 0}}, {{Key, "one\n\"two\""}}).ok());
    const auto Row = Table.Get(Key);
    REQUIRE(Row.ok());
    CHECK(Row->Value == "one\n\"two\"");
    CHECK(absl::IsAborted(Table.Commit({{Key, 0}}, {{Key, "x"}})));
    REQUIRE(Table.Commit({}, {{"a/a", "1"}, {"b", "2"}}).ok());
    CHECK(Table.Scan("a/")->size() == 2);
    REQUIRE(Table.Commit({{Key, Row->Version}}, {{Key, std::nullopt}}).ok());
    CHECK(Table.Get(Key)->Version == 0);
  }

  SUBCASE("refuses a value that is not UTF-8 before it is sent") {
    const uint64_t Calls = Platform.callCount();
    CHECK(absl::IsInvalidArgument(Table.Commit({}, {{"k", "\xff"}})));
    CHECK(Platform.callCount() == Calls);
  }

  SUBCASE("stores objects under their digest") {
    const std::string Bytes("a\0b\xff", 4);
    const std::string Digest = common::sha256Hex(Bytes);
    CHECK(absl::IsNotFound(Services->Objects.Get(Digest).status()));
    REQUIRE(Services->Objects.Put(Digest, Bytes).ok());
    CHECK(*Services->Objects.Get(Digest) == Bytes);
    CHECK_FALSE(Services->Objects.Put(Digest, "other").ok());
  }

  SUBCASE("lists instances") {
    const auto Reply = Admin.Post("/admin/instances",
                                  R"([{"name":"t-1","leaving":false},
                       {"name":"t-2","leaving":true}])",
                                  "application/json");
    CHECK(Reply->status == 200);
    const auto List = Services->Instances.Read();
    REQUIRE(List->size() == 2);
    CHECK(List->back().Name == "t-2");
    CHECK(List->back().Draining);
  }

  SUBCASE("that loses a reply leaves the outcome unknown") {
    SUBCASE("on a new connection") {}
    SUBCASE("on a connection that was used before") {
      REQUIRE(Table.Get("k").ok());
    }
    const uint64_t Calls = Platform.callCount();
    REQUIRE(Admin.Post("/admin/faults", R"({"lose_replies":1})",
                       "application/json"));
    CHECK(absl::IsUnknown(Table.Commit({}, {{"k", "v"}})));
    CHECK_MESSAGE(Platform.callCount() == Calls + 1, "the commit was resent");
    CHECK(Table.Get("k")->Value == "v");
    CHECK(Table.Commit({}, {{"k", "w"}}).ok());
  }

  SUBCASE("that is down rejects calls without effect") {
    REQUIRE(
        Admin.Post("/admin/faults", R"({"down":true})", "application/json"));
    CHECK(absl::IsUnavailable(Table.Commit({}, {{"k", "v"}})));
    CHECK(absl::IsUnavailable(Table.Get("k").status()));
    REQUIRE(
        Admin.Post("/admin/faults", R"({"down":false})", "application/json"));
    CHECK(Table.Get("k")->Version == 0);
  }

  SUBCASE("that responds too late leaves the outcome of a commit unknown") {
    Options.ResponseTimeout = std::chrono::milliseconds(20);
    const auto ShortTimeout = net::connectPlatform(Options);
    platform::platform_faults Faults;
    Faults.Delay = std::chrono::milliseconds(500);
    Platform.setFaults(Faults);
    CHECK(absl::IsUnknown(ShortTimeout->Table.Commit({}, {{"k", "v"}})));
    CHECK(absl::IsUnavailable(ShortTimeout->Table.Get("k").status()));
  }

  SUBCASE("that is not running is unavailable, for commits too") {
    Server->reset();
    CHECK(absl::IsUnavailable(Table.Commit({}, {{"k", "v"}})));
    CHECK(absl::IsUnavailable(Table.Get("k").status()));
  }

  SUBCASE("serves more concurrent calls than there are connections") {
    constexpr int Callers = 12;
    constexpr int CallsEach = 25;
    std::atomic<int> Succeeded = 0;
    std::vector<std::thread> Threads;
    Threads.reserve(Callers);
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([&, Caller] {
        const std::string Key = absl::StrCat("row-", Caller);
        for (int Call = 0; Call < CallsEach; ++Call)
          Succeeded += Table.Commit({}, {{Key, "v"}}).ok() ? 1 : 0;
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    CHECK(Succeeded == Callers * CallsEach);
  }

  SUBCASE("rejects host names and unknown faults") {
    Options.Address = "platform:80";
    CHECK(absl::IsInvalidArgument(net::connectPlatform(Options).status()));
    CHECK(Admin.Post("/admin/faults", R"({"doom":1})", "application/json")
              ->status == 400);
  }
}
