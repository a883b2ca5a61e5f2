#include <csignal>
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>

#include "Common/YamlReader.h"
#include "MagnoliaLoad/Experiment.h"
#include "MagnoliaLoad/Report.h"
#include "MagnoliaLoad/Runner.h"
#include "Program/ExitCode.h"

using namespace magnolia;
using program::exit_code;

namespace {

struct invocation {
  std::string ExperimentFile;
  std::string ReportFile;
  uint64_t Seed = 0;
  double Seconds = 0;
  std::vector<std::string> Entries;
  bool CheckOnly = false;
};

void applyOverrides(const invocation &Invocation,
                    load::experiment &Experiment) {
  if (Invocation.Seed != 0)
    Experiment.Seed = Invocation.Seed;
  if (Invocation.Seconds > 0)
    Experiment.Duration = std::chrono::duration_cast<load::microseconds>(
        std::chrono::duration<double>(Invocation.Seconds));
  if (!Invocation.Entries.empty())
    Experiment.Entries = Invocation.Entries;
}

exit_code execute(const invocation &Invocation) {
  auto Experiment = load::readExperiment(Invocation.ExperimentFile);
  if (!Experiment.ok()) {
    std::cerr << Experiment.status().message() << "\n";
    return exit_code::InvalidInput;
  }
  if (Invocation.CheckOnly)
    return exit_code::Success;
  applyOverrides(Invocation, *Experiment);
  const load::run_result Result = load::runExperiment(*Experiment);
  load::printReport(std::cout, *Experiment, Result);
  if (Invocation.ReportFile.empty())
    return exit_code::Success;
  std::ofstream Report(Invocation.ReportFile);
  Report << load::jsonReport(*Experiment, Result);
  Report.close();
  if (Report.good())
    return exit_code::Success;
  std::cerr << "magnolia-load: cannot write " << Invocation.ReportFile << "\n";
  return exit_code::Failure;
}

} // namespace

int main(int Argc, char **Argv) {
  invocation Invocation;
  CLI::App App{"Open-loop load on a magnoliafall fleet", "magnolia-load"};
  App.set_version_flag("--version", "magnolia-load " MAGNOLIA_VERSION);
  App.add_option("experiment", Invocation.ExperimentFile,
                 "YAML experiment file")
      ->required();
  App.add_option("--report", Invocation.ReportFile, "file for a JSON report");
  App.add_option("--seed", Invocation.Seed, "replaces the file's seed");
  App.add_option("--seconds", Invocation.Seconds,
                 "replaces the file's duration");
  App.add_option("--entry", Invocation.Entries,
                 "replaces the file's entries; may be repeated")
      ->check([](const std::string &Address) {
        return common::isAddress(Address) ? std::string()
                                          : Address + " is no IPv4:port";
      });
  App.add_flag("--check", Invocation.CheckOnly,
               "checks the experiment file and exits");
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Error) {
    const int Code = App.exit(Error);
    return Code == 0 ? 0 : toInt(exit_code::Usage);
  }
  std::signal(SIGPIPE, SIG_IGN);
  return toInt(execute(Invocation));
}
