#include "ScenarioTests/Process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <utility>

#include "Common/YamlReader.h"

extern char **environ;

namespace magnolia::scenario {
namespace {

constexpr mode_t LogFileMode = 0644;

pid_t spawn(const std::string &Program,
            const std::vector<std::string> &Arguments,
            const std::string &LogFile) {
  const std::string Path = Program.starts_with('/')
                               ? Program
                               : std::string(MAGNOLIA_BIN_DIR) + "/" + Program;
  std::vector<char *> Raw{const_cast<char *>(Path.c_str())};
  for (const std::string &Argument : Arguments)
    Raw.push_back(const_cast<char *>(Argument.c_str()));
  Raw.push_back(nullptr);

  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, LogFileMode);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  pid_t Id = -1;
  posix_spawn(&Id, Path.c_str(), &Actions, nullptr, Raw.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  return Id;
}

int codeOf(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

} // namespace

process::process(const std::string &Program,
                 const std::vector<std::string> &Arguments,
                 const std::string &LogFile)
    : Id(spawn(Program, Arguments, LogFile)) {}

process::~process() {
  if (Id < 0)
    return;
  kill(Id, SIGKILL);
  waitpid(Id, &Status, 0);
}

process::process(process &&Other) noexcept
    : Id(std::exchange(Other.Id, -1)), Status(Other.Status) {}

process &process::operator=(process &&Other) noexcept {
  std::swap(Id, Other.Id);
  std::swap(Status, Other.Status);
  return *this;
}

void process::signal(int Signal) const {
  if (Id >= 0)
    kill(Id, Signal);
}

int process::wait() {
  if (Id >= 0) {
    waitpid(Id, &Status, 0);
    Id = -1;
  }
  return codeOf(Status);
}

bool process::ended() {
  if (Id < 0)
    return true;
  if (waitpid(Id, &Status, WNOHANG) != Id)
    return false;
  Id = -1;
  return true;
}

run_result runProgram(const std::string &Program,
                      const std::vector<std::string> &Arguments,
                      const std::string &LogFile) {
  process Process(Program, Arguments, LogFile);
  run_result Result;
  Result.ExitCode = Process.wait();
  Result.Output = common::readFile(LogFile).value_or("");
  return Result;
}

} // namespace magnolia::scenario
