#include "Admission/UnfetchedAnswers.h"

#include <algorithm>
#include <map>
#include <string>

#include <doctest/doctest.h>

using namespace magnolia::admission;
using magnolia::common::boot_time;
using std::chrono::seconds;

namespace {

constexpr size_t Mb = size_t{1024} * 1024;
constexpr size_t Limit = 160 * Mb;
constexpr seconds FetchWithin{2};

/// Callers that fetch answers slowly, by name.
class callers {
public:
  /// Whether an answer of \p Service would be read now.
  bool canRead(const std::string &Service, size_t Bytes) {
    return Shares->open({Service, 1000})->tryGrowTo(Bytes);
  }

  /// Reads an answer of lookups for a caller that fetches only \p Fetched.
  void add(const std::string &Name, size_t Bytes, size_t Fetched = 0) {
    const std::shared_ptr Memory = Shares->open({"reads", Open.size()});
    REQUIRE(Memory->tryGrowTo(Bytes));
    auto &Answer = Open[Name];
    Answer = Answers->open({[=] { return Bytes - Fetched; },
                            [this, Name] {
                              GivenUp.push_back(Name);
                              Open.erase(Name);
                            }},
                           Now);
    Answer->add(Memory);
  }

  void fetchAll(const std::string &Name) { Open.erase(Name); }

  void giveUpAfter(seconds Passed) {
    Now += Passed;
    Answers->giveUpOverdue(Now);
  }

  const std::shared_ptr<memory_shares> Shares = memory_shares::create(Limit);
  const std::shared_ptr<unfetched_answers> Answers =
      unfetched_answers::create(Shares, FetchWithin);
  std::vector<std::string> GivenUp;
  boot_time Now{seconds(100)};

private:
  std::map<std::string, std::unique_ptr<unfetched_answers::answer>> Open;
};

} // namespace

// Guards against slow callers that hold the memory which answers of targets
// need, so that these stay unread and are cut off.
TEST_CASE("Answers that callers fetch slowly") {
  callers Callers;
  Callers.add("a", 20 * Mb);
  Callers.add("b", 30 * Mb, 29 * Mb);
  Callers.add("c", 15 * Mb);
  CHECK(Callers.Shares->unfetched() == 65 * Mb);

  SUBCASE("are kept for as long as there is room for others") {
    Callers.giveUpAfter(seconds(60));
    CHECK(Callers.GivenUp.empty());
  }
  SUBCASE("leave the other services their room") {
    CHECK(Callers.canRead("orders", 30 * Mb));
    CHECK_FALSE(Callers.canRead("reads", 30 * Mb));
    CHECK(Callers.canRead("reads", memory_shares::SmallBytes));
  }
  SUBCASE("are given up for an answer that waits") {
    const auto Waiting = Callers.Shares->open({"reads", 9});
    REQUIRE_FALSE(Waiting->tryGrowTo(20 * Mb));
    Callers.giveUpAfter(seconds(1));
    CHECK(Callers.GivenUp.empty());
    // The one that has most to fetch is enough.
    Callers.giveUpAfter(seconds(1));
    CHECK(Callers.GivenUp == std::vector<std::string>{"a"});
    CHECK(Waiting->tryGrowTo(20 * Mb));
    Callers.giveUpAfter(seconds(60));
    CHECK(Callers.GivenUp.size() == 1);
  }
  SUBCASE("are kept when the answer that waits would not fit without them") {
    const auto First = Callers.Shares->open({"orders", 1});
    REQUIRE(First->tryGrowTo(30 * Mb));
    const auto Second = Callers.Shares->open({"orders", 1});
    REQUIRE_FALSE(Second->tryGrowTo(80 * Mb));
    Callers.giveUpAfter(seconds(60));
    CHECK(Callers.GivenUp.empty());
  }
  SUBCASE("are free again when they are fetched") {
    for (const char *Name : {"a", "b", "c"})
      Callers.fetchAll(Name);
    CHECK(Callers.Shares->unfetched() == 0);
    CHECK(Callers.Shares->used() == 0);
    CHECK(Callers.Answers->size() == 0);
  }
}

TEST_CASE("Callers that fetch nothing, and ask again, beside others") {
  callers Callers;
  size_t Slow = 0;
  size_t Wait = 0;
  size_t LongestWait = 0;
  std::unique_ptr<memory_shares::holding> Lookup;
  for (size_t Second = 0; Second < 120; ++Second) {
    // A lookup of one who would fetch it at once waits some seconds at most.
    if (Lookup && Lookup->tryGrowTo(4 * Mb))
      Lookup = nullptr;
    Wait = Lookup ? Wait + 1 : 0;
    LongestWait = std::max(LongestWait, Wait);
    for (int Count = 0; Count < 8 && Callers.canRead("reads", 4 * Mb); ++Count)
      Callers.add("slow-" + std::to_string(++Slow), 4 * Mb);
    // Orders never wait, whatever the callers of lookups do.
    CHECK(Callers.canRead("orders", 4 * Mb));
    CHECK_FALSE(Callers.Shares->isNearlyUsedUp());
    if (!Lookup)
      Lookup = Callers.Shares->open({"reads", 2000});
    if (Lookup->tryGrowTo(4 * Mb))
      Lookup = nullptr;
    Callers.giveUpAfter(seconds(1));
  }
  CHECK(LongestWait <= static_cast<size_t>(FetchWithin.count()));
  CHECK(Callers.GivenUp.size() >= 40);
}
