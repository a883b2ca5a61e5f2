#include "Quota/TokenBucket.h"

#include <doctest/doctest.h>

using namespace magnolia;
using namespace magnolia::quota;

namespace {

common::boot_time at(int64_t Milliseconds) {
  return common::boot_time(std::chrono::milliseconds(Milliseconds));
}

} // namespace

TEST_CASE("A token bucket") {
  token_bucket Bucket(10 * OneToken, 2 * OneToken, 0, at(0));

  SUBCASE("fills by its rate up to its capacity") {
    Bucket.accrue(at(100));
    CHECK(Bucket.available() == OneToken);
    Bucket.accrue(at(int64_t{1000} * 3600 * 24 * 365));
    CHECK(Bucket.available() == 2 * OneToken);
  }

  SUBCASE("counts a reserved token against the capacity until it is spent") {
    Bucket.accrue(at(1000));
    Bucket.reserve(2 * OneToken, at(1000));
    Bucket.accrue(at(2000));
    CHECK(Bucket.available() == 0);
    Bucket.settle(2 * OneToken, at(3000));
    CHECK(Bucket.available() == 0);
    Bucket.accrue(at(3100));
    CHECK(Bucket.available() == OneToken);
  }

  SUBCASE("returns the time until an amount is available") {
    CHECK(Bucket.timeUntil(OneToken) == std::chrono::milliseconds(100));
    CHECK(Bucket.timeUntil(3 * OneToken) == duration::max());
  }
}
