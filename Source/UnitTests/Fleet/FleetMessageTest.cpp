#include "Fleet/FleetMessage.h"

#include <doctest/doctest.h>

using namespace magnolia::fleet;
using magnolia::placement::evidence;

TEST_CASE("Messages between instances") {
  SUBCASE("introduce an instance") {
    hello_message Hello;
    Hello.Boot = 4711;
    Hello.Identity = {
        "edge-1", "Trnava", "10.0.0.1:7", "10.0.0.1:8", {70, 10000}};
    Hello.State = instance_state::Draining;
    Hello.WantsReply = true;
    const auto Read = decode(encode(Hello));
    REQUIRE(Read.ok());
    const auto &Same = std::get<hello_message>(*Read);
    CHECK(Same.Boot == Hello.Boot);
    CHECK(Same.Identity == Hello.Identity);
    CHECK(Same.State == Hello.State);
    CHECK(Same.WantsReply);

    SUBCASE("with a few bytes for its machine") {
      hello_message Without = Hello;
      Without.Identity.Strength = {};
      CHECK(encode(Without).size() + 3 == encode(Hello).size());
      Hello.Identity.Strength = {MaxMillicores, MaxLinkKbits};
      CHECK(encode(Without).size() + 8 == encode(Hello).size());
    }
    SUBCASE("whose machine is unknown if no machine is so strong") {
      Hello.Identity.Strength = {70, MaxLinkKbits + 1};
      const auto Odd = decode(encode(Hello));
      REQUIRE(Odd.ok());
      CHECK(std::get<hello_message>(*Odd).Identity.Strength ==
            machine_strength{70, 0});
    }
  }
  SUBCASE("carry updates") {
    update_message Update;
    Update.Boot = 4711;
    Update.State = instance_state::Ready;
    Update.Tables = {{{{1, 12}, 3000000000U}, {{2, 400}, 7}}};
    Update.Reading = reading_state::Failing;
    Update.Workspaces = {{1, 20}, {4000000000U, 3}};
    Update.Services = {{7, 100, 9, 2}};
    Update.InFlight = {{99, 4}};
    Update.FirstEvent = 1000;
    Update.Events = {{99, evidence::Broken, 17}, {98, evidence::Accepted, 60}};
    Update.Limits = {{99, 2.8, 40, 7}, {98, std::nullopt, 0, 3}};
    Update.LostConfiguration = {12, 77, {2, 44}};
    Update.Suspects = {{7000000000000ULL, 300, {{99, 50, 20}, {98, 40, 0}}},
                       {8, std::nullopt, {}}};
    const auto Read = decode(encode(Update));
    REQUIRE(Read.ok());
    const auto &Same = std::get<update_message>(*Read);
    CHECK(Same.State == instance_state::Ready);
    CHECK(Same.Reading == reading_state::Failing);
    CHECK(Same.Tables == Update.Tables);
    REQUIRE(Same.Workspaces.size() == 2);
    CHECK(Same.Workspaces[1].Key == 4000000000U);
    CHECK(Same.Services.at(0).ExtraAttempts == 9);
    CHECK(Same.Services.at(0).Failed == 2);
    CHECK(Same.InFlight.at(0).Count == 4);
    CHECK(Same.FirstEvent == 1000);
    REQUIRE(Same.Events.size() == 2);
    CHECK(Same.Events[0].Evidence == evidence::Broken);
    CHECK(Same.Events[1].AgeMs == 60);
    REQUIRE(Same.Limits.size() == 2);
    CHECK(Same.Limits[0].PerSecond == 2.8);
    CHECK(Same.Limits[0].Requests == 7);
    CHECK_FALSE(Same.Limits[1].PerSecond.has_value());
    CHECK(Same.LostConfiguration == Update.LostConfiguration);
    REQUIRE(Same.Suspects.size() == 2);
    CHECK(Same.Suspects[0].Fingerprint == 7000000000000ULL);
    CHECK(Same.Suspects[0].CompletedAgeMs == 300);
    REQUIRE(Same.Suspects[0].Runs.size() == 2);
    CHECK(Same.Suspects[0].Runs[0].RanMs == 50);
    CHECK_FALSE(Same.Suspects[1].CompletedAgeMs.has_value());
    Update.Suspects.clear();
    Update.LostConfiguration.reset();
    CHECK(encode(Update).size() < 100);
  }
  SUBCASE("say nothing of the tables in few bytes") {
    update_message Update;
    const size_t Short = encode(Update).size();
    const auto Read = decode(encode(Update));
    REQUIRE(Read.ok());
    CHECK(std::get<update_message>(*Read).Tables == Update.Tables);
    Update.Tables = {{{{1, 100000}, 3000000000U}, {{1, 100000}, 3000000000U}}};
    CHECK(encode(Update).size() >= Short + 20);
  }
  SUBCASE("carry urgent evidence alone") {
    const auto Read = decode(
        encode(events_message{4711, 1000, {{99, evidence::Broken, 17}}}));
    REQUIRE(Read.ok());
    const auto &Same = std::get<events_message>(*Read);
    CHECK(Same.Boot == 4711);
    CHECK(Same.First == 1000);
    REQUIRE(Same.Events.size() == 1);
    CHECK(Same.Events[0].Evidence == evidence::Broken);
  }
  SUBCASE("are bundled unchanged") {
    const std::string Bytes = encode(update_message());
    const auto Read = decode(
        encode(bundle_message{bundle_route::ForwardInDomain,
                              {{"10.0.0.1:7", Bytes}, {"10.0.0.2:7", "x"}}}));
    REQUIRE(Read.ok());
    const auto &Same = std::get<bundle_message>(*Read);
    CHECK(Same.Route == bundle_route::ForwardInDomain);
    REQUIRE(Same.Messages.size() == 2);
    CHECK(Same.Messages[0].Origin == "10.0.0.1:7");
    CHECK(Same.Messages[0].Bytes == Bytes);
    CHECK(Same.Messages[1].Bytes == "x");
  }
  SUBCASE("carry rows and what peers fetch") {
    const std::vector<stored_row> Rows = {{"a", "v", 5, false},
                                          {"b", "", 6, true}};
    const auto Read = decode(encode(rows_message{table_id::Targets, 3, Rows}));
    REQUIRE(Read.ok());
    CHECK(std::get<rows_message>(*Read).Era == 3);
    CHECK(std::get<rows_message>(*Read).Rows == Rows);
    const auto Content = decodeContent(encodeContent({{3, 9}, true, Rows}));
    REQUIRE(Content.ok());
    CHECK(Content->Position == store_position{3, 9});
    CHECK(Content->ChangesOnly);
    CHECK(Content->Rows == Rows);
    CHECK_FALSE(decodeContent("no table").ok());
  }
  SUBCASE("are rejected if they nest deeply") {
    // An array in an array, and so on; each byte is one of them.
    for (const size_t Depth : {size_t{100}, size_t{60000}, size_t{1000000}}) {
      const std::string Nested(Depth, '\x81');
      CHECK_FALSE(decode(Nested + "\x01").ok());
      CHECK_FALSE(decodeContent(Nested + "\x01").ok());
    }
  }
  SUBCASE("are rejected if malformed") {
    CHECK_FALSE(decode("").ok());
    CHECK_FALSE(decode("hello").ok());
    CHECK_FALSE(decode(std::string_view("\x81\x09", 2)).ok());
    const std::string Bytes = encode(update_message());
    for (size_t Length = 0; Length < Bytes.size(); ++Length)
      CHECK_FALSE(decode(std::string_view(Bytes).substr(0, Length)).ok());
  }
}
