#include "Common/ErrorKind.h"

#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace magnolia::common;

TEST_CASE("The error table") {
  SUBCASE("gives each kind a name of its own and an error status") {
    std::set<std::string_view> Names;
    for (uint8_t Code = 0; Code < static_cast<uint8_t>(error_kind::Count);
         ++Code) {
      const error_response &Response =
          responseFor(static_cast<error_kind>(Code));
      CHECK(Names.insert(Response.Name).second);
      CHECK(Response.HttpStatus >= 400);
    }
  }

  SUBCASE("lets a kind travel in a status") {
    const absl::Status Status =
        makeError(error_kind::AnswerTruncated, "12 of 40 bytes came");
    CHECK(kindOf(Status) == error_kind::AnswerTruncated);
    CHECK(responseFor(kindOf(Status)).Execution == execution::Unknown);
  }

  SUBCASE("calls a status made elsewhere internal, which may have run") {
    const absl::Status Status = absl::NotFoundError("no row");
    CHECK(kindOf(Status) == error_kind::Internal);
    CHECK(responseFor(kindOf(Status)).Execution == execution::Unknown);
  }
}
