#include "Admission/TargetBytes.h"

#include <algorithm>
#include <deque>

#include <doctest/doctest.h>

using namespace magnolia::admission;

namespace {

constexpr size_t Mb = size_t{1024} * 1024;

} // namespace

// Guards against a target that ends because one instance sent it more bodies
// than it can hold.
TEST_CASE("Bytes of requests at targets") {
  const auto Bytes = target_bytes::create(8 * Mb);

  SUBCASE("are bounded for each target by itself") {
    const auto First = Bytes->add(1, 5 * Mb);
    CHECK(Bytes->withoutRoomFor(3 * Mb).empty());
    CHECK(Bytes->withoutRoomFor(3 * Mb + 1) == std::vector<uint32_t>{1});
    const auto Second = Bytes->add(2, 8 * Mb);
    CHECK(Bytes->withoutRoomFor(1) == std::vector<uint32_t>{2});
    CHECK(Bytes->most() == 8 * Mb);
  }
  SUBCASE("are free again with the request") {
    auto First = Bytes->add(1, 8 * Mb);
    First.reset();
    CHECK(Bytes->withoutRoomFor(8 * Mb).empty());
    CHECK(Bytes->most() == 0);
  }
  SUBCASE("never hold back a request without a body") {
    const auto Full = Bytes->add(1, 8 * Mb);
    CHECK(Bytes->withoutRoomFor(0).empty());
    CHECK(Bytes->add(1, 0) == nullptr);
  }
  SUBCASE("of a body above the bound fit nowhere") {
    CHECK(Bytes->canEverHold(8 * Mb));
    CHECK_FALSE(Bytes->canEverHold(8 * Mb + 1));
  }
  SUBCASE("have no bound without the setting") {
    const auto Unbounded = target_bytes::create(std::nullopt);
    const auto Large = Unbounded->add(1, 1000 * Mb);
    CHECK(Unbounded->withoutRoomFor(1000 * Mb).empty());
    CHECK(Unbounded->canEverHold(1000 * Mb));
  }
}

TEST_CASE("Uploads that come faster than three targets finish them") {
  constexpr size_t Limit = 8 * Mb;
  constexpr size_t Upload = 2 * Mb;
  const auto Bytes = target_bytes::create(Limit);
  // One upload arrives in each step, and each target ends one in six.
  std::vector<std::deque<std::unique_ptr<target_bytes::use>>> Running(3);
  size_t Waiting = 0;
  size_t Sent = 0;
  size_t Most = 0;
  for (size_t Step = 0; Step < 600; ++Step) {
    ++Waiting;
    for (auto &Target : Running)
      if (Step % 6 == 0 && !Target.empty())
        Target.pop_front();
    for (uint32_t Target = 0; Target < Running.size() && Waiting > 0;
         ++Target) {
      const auto Full = Bytes->withoutRoomFor(Upload);
      if (std::find(Full.begin(), Full.end(), Target) != Full.end())
        continue;
      Running[Target].push_back(Bytes->add(Target, Upload));
      --Waiting;
      ++Sent;
    }
    Most = std::max(Most, Bytes->most());
  }
  CHECK(Most == Limit);
  // Half of what arrives is what they can finish; all of that is sent.
  CHECK(Sent >= 300);
}
