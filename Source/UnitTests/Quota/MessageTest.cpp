#include "Quota/Message.h"

#include <doctest/doctest.h>

using namespace magnolia::quota;

TEST_CASE("Loan messages") {
  loan_grant Grant;
  Grant.Request = {~uint64_t{0}, 1};
  Grant.Loan = {7, uint64_t{3} << 56};
  Grant.Workspace = "gloves";
  Grant.Rate = 5 * OneToken;
  Grant.Capacity = 2 * OneToken;
  Grant.Tokens = 1;
  Grant.Term = std::chrono::seconds(1);

  SUBCASE("are unchanged after encoding and decoding") {
    const auto Read = decode(encode(Grant));
    REQUIRE(Read.ok());
    const auto &Same = std::get<loan_grant>(*Read);
    CHECK(Same.Request == Grant.Request);
    CHECK(Same.Loan == Grant.Loan);
    CHECK(Same.Workspace == Grant.Workspace);
    CHECK(Same.Rate == Grant.Rate);
    CHECK(Same.Capacity == Grant.Capacity);
    CHECK(Same.Tokens == Grant.Tokens);
    CHECK(Same.Term == Grant.Term);
  }

  SUBCASE("are rejected when truncated anywhere") {
    const std::vector<uint8_t> Encoded = encode(Grant);
    for (size_t Length = 0; Length < Encoded.size(); ++Length)
      CHECK_FALSE(decode({Encoded.data(), Length}).ok());
  }

  SUBCASE("are rejected with negative amounts") {
    loan_return Return{{7, 1}, "gloves", -1};
    CHECK_FALSE(decode(encode(Return)).ok());
  }
}
