#pragma once

#include <csignal>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

/// Real processes for scenarios: started, signalled and awaited by id.
namespace magnolia::scenario {

/// A running program of this project; killed when destroyed.
class process {
public:
  /// Starts Bin/\p Program, or the one at an absolute path. Its output goes to
  /// \p LogFile.
  process(const std::string &Program, const std::vector<std::string> &Arguments,
          const std::string &LogFile);
  ~process();
  process(process &&Other) noexcept;
  process &operator=(process &&Other) noexcept;
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  void signal(int Signal) const;

  /// Waits for the end; the exit code, or minus the signal that ended it.
  int wait();

  /// Whether it has ended.
  bool ended();

private:
  pid_t Id = -1;
  int Status = 0;
};

/// Output and exit code of a program that was run to its end.
struct run_result {
  int ExitCode = 0;
  std::string Output;
};

/// Runs Bin/\p Program to its end.
run_result runProgram(const std::string &Program,
                      const std::vector<std::string> &Arguments,
                      const std::string &LogFile);

} // namespace magnolia::scenario
