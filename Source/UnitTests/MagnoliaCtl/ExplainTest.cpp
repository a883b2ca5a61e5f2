#include "MagnoliaCtl/Explain.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include <doctest/doctest.h>

using namespace magnolia;

namespace {

std::string makeTempFile() {
  std::string Name = "/tmp/magnolia-explain-XXXXXX";
  close(mkstemp(Name.data()));
  return Name;
}

/// A temporary log file, removed by the destructor.
class log_file {
public:
  explicit log_file(const std::string &Content) : Name(makeTempFile()) {
    std::ofstream(Name) << Content;
  }
  ~log_file() { std::remove(Name.c_str()); }
  log_file(const log_file &) = delete;
  log_file &operator=(const log_file &) = delete;

  const std::string Name;
};

} // namespace

TEST_CASE("The explanation of a request") {
  const log_file One(
      "  0.1 edge-1 {\"time\":\"2026-01-01T00:00:02Z\",\"instance\":\"one\","
      "\"event\":\"answered\",\"id\":\"r1\",\"status\":200}\n"
      "not json r1\n"
      "{\"time\":\"2026-01-01T00:00:00Z\",\"instance\":\"one\","
      "\"event\":\"target chosen\",\"id\":\"r1\",\"gray\":0.02}\n"
      "{\"time\":\"2026-01-01T00:00:00Z\",\"instance\":\"one\","
      "\"event\":\"target chosen\",\"id\":\"r12\"}\n");
  const log_file Two("{\"time\":\"2026-01-01T00:00:01Z\",\"instance\":\"two\","
                     "\"event\":\"target showed\",\"id\":\"r1\","
                     "\"evidence\":\"succeeded\"}\n");
  std::ostringstream Out;
  std::ostringstream Error;

  SUBCASE("shows log entries of several instances ordered by time") {
    CHECK(ctl::explain("r1", {One.Name, Two.Name}, Out, Error) ==
          program::exit_code::Success);
    CHECK(Out.str() ==
          "2026-01-01T00:00:00Z one: target chosen gray=0.02\n"
          "2026-01-01T00:00:01Z two: target showed evidence=succeeded\n"
          "2026-01-01T00:00:02Z one: answered status=200\n");
  }
  SUBCASE("is an error when no log entry has its id") {
    CHECK(ctl::explain("r2", {One.Name, Two.Name}, Out, Error) ==
          program::exit_code::InvalidInput);
    CHECK(Error.str() == "no line names the request r2\n");
  }
  SUBCASE("is an error when a file cannot be read") {
    CHECK(ctl::explain("r1", {"/nowhere/at/all"}, Out, Error) ==
          program::exit_code::InvalidInput);
  }
}
