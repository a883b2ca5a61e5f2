#include "Common/Log.h"

#include <array>
#include <chrono>
#include <fcntl.h>
#include <iostream>
#include <string>
#include <unistd.h>

#include <doctest/doctest.h>

using namespace magnolia::common;

namespace {

/// Replaces the standard output of this process with a pipe.
class piped_output {
public:
  piped_output() : Saved(dup(STDOUT_FILENO)) {
    // Buffered output of the test program must go to the old output.
    std::cout.flush();
    REQUIRE(pipe(Ends.data()) == 0);
    dup2(Ends[1], STDOUT_FILENO);
    close(Ends[1]);
    fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~piped_output() {
    dup2(Saved, STDOUT_FILENO);
    close(Saved);
    close(Ends[0]);
  }

  std::string drain() {
    std::string Text;
    std::array<char, 65536> Buffer{};
    ssize_t Count = 0;
    while ((Count = read(Ends[0], Buffer.data(), Buffer.size())) > 0)
      Text.append(Buffer.data(), static_cast<size_t>(Count));
    return Text;
  }

private:
  std::array<int, 2> Ends{};
  int Saved;
};

} // namespace

// A single case, since startLogging() may be called once per process.
TEST_CASE("Log lines are objects on standard output") {
  piped_output Output;
  startLogging("program", log_level::Info);
  setLogInstance("edge-1");
  log(log_level::Info, "Component", "it happened",
      {{"id", "a\"b\n"}, {"count", 7}, {"share", 0.5}, {"bytes", "\xff"}});
  log(log_level::Debug, "Component", "not logged");
  REQUIRE(stopLogging());
  const std::string Line = Output.drain();
  CHECK(Line.starts_with("{\"time\":\""));
  CHECK(Line.ends_with("}\n"));
  CHECK(Line.find("\"program\":\"program\",\"instance\":\"edge-1\","
                  "\"room\":\"Component\",\"event\":\"it happened\","
                  "\"id\":\"a\\\"b\\n\",\"count\":7,\"share\":0.5") !=
        std::string::npos);
  CHECK(Line.find("not logged") == std::string::npos);

  // A stalled reader: more lines than the pipe and the queue can hold.
  const std::string Long(300, 'x');
  const auto Begin = std::chrono::steady_clock::now();
  for (int Kind = 0; Kind < 200; ++Kind)
    for (int Count = 0; Count < 100; ++Count)
      log(log_level::Info, "Component", "kind " + std::to_string(Kind),
          {{"long", Long}});
  const auto Elapsed = std::chrono::steady_clock::now() - Begin;
  CHECK(droppedLogLines() > 10000);
  // The reader never reads, so a log() that waits for a write would block.
  CHECK(Elapsed < std::chrono::seconds(10));
  CHECK_FALSE(stopLogging());

  // The reader resumes.
  bool Written = false;
  for (int Round = 0; Round < 1000 && !Written; ++Round) {
    Output.drain();
    Written = stopLogging();
  }
  CHECK(Written);
}
