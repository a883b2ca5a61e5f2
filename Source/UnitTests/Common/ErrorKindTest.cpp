#include "Common/ErrorKind.h"

#include <set>
#include <string>

#include <doctest/doctest.h>

using namespace magnolia::common;

TEST_CASE("The error table") {
  SUBCASE("gives each kind a unique name and an error status") {
    std::set<std::string_view> Names;
    for (uint8_t Code = 0; Code < static_cast<uint8_t>(error_kind::Count);
         ++Code) {
      const error_response &Response =
          responseFor(static_cast<error_kind>(Code));
      CHECK(Names.insert(Response.Name).second);
      CHECK(Response.HttpStatus >= 400);
    }
  }

  SUBCASE("is looked up by the kind that a status carries") {
    const absl::Status Status =
        makeError(error_kind::AnswerTruncated, "received 12 of 40 bytes");
    CHECK(kindOf(Status) == error_kind::AnswerTruncated);
    CHECK(responseFor(kindOf(Status)).Execution == execution::Unknown);
  }

  SUBCASE("reports any other status as internal with unknown execution") {
    const absl::Status Status = absl::NotFoundError("no row");
    CHECK(kindOf(Status) == error_kind::Internal);
    CHECK(responseFor(kindOf(Status)).Execution == execution::Unknown);
  }
}
