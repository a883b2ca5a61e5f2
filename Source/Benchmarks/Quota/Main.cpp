#include <cstdio>

#include <CLI/CLI.hpp>

#include "Experiment.h"

using namespace magnolia::quota::experiment;
using magnolia::quota::duration;

namespace {

struct arguments {
  std::vector<uint64_t> Seeds{1};
  double Seconds = 60;
};

struct workload {
  double Rate;
  double Burst;
  double Load;
};

const std::vector<workload> Workloads{
    {10, 4, 0.5},  {10, 4, 0.9},    {50, 20, 0.5},
    {50, 20, 0.9}, {200, 200, 0.9}, {50, 20, 10},
};

/// The mean over all seeds, printed as one line.
void report(const std::string &Name, scenario Scenario,
            const arguments &Arguments) {
  double Wrongful = 0;
  double Messages = 0;
  double Shortfall = 0;
  double Excess = -1e9;
  double Wait = 0;
  Scenario.Length = duration(static_cast<int64_t>(Arguments.Seconds * 1e6));
  for (const uint64_t Seed : Arguments.Seeds) {
    Scenario.Seed = Seed;
    const outcome Outcome = run(Scenario);
    Wrongful += Outcome.wrongfulPercent();
    Messages += Outcome.messagesPerRequest();
    Shortfall += Outcome.shortfallPercent();
    Excess = std::max(Excess, Outcome.WorstExcess);
    Wait = std::max(Wait, static_cast<double>(Outcome.Wait.count()) / 1000);
  }
  const auto Count = static_cast<double>(Arguments.Seeds.size());
  std::printf("%-34s rate %4.0f burst %4.0f load %4.1f  wrongful %6.2f %%  "
              "shortfall %6.2f %%  messages %5.2f/request  wait99 %6.2f ms  "
              "worst excess %7.2f\n",
              Name.c_str(), Scenario.Rate, Scenario.Burst, Scenario.Load,
              Wrongful / Count, Shortfall / Count, Messages / Count, Wait,
              Excess);
}

scenario make(const workload &Workload, uint32_t Homes, placement Placement) {
  scenario Scenario;
  Scenario.Rate = Workload.Rate;
  Scenario.Burst = Workload.Burst;
  Scenario.Load = Workload.Load;
  Scenario.Homes = Homes;
  Scenario.Placement = Placement;
  return Scenario;
}

const char *nameOf(placement Placement) {
  switch (Placement) {
  case placement::Anywhere:
    return "anywhere";
  case placement::Homes:
    return "at homes";
  case placement::OneInstance:
    return "one instance";
  }
  return "";
}

void reportHomes(const arguments &Arguments) {
  for (const workload &Workload : Workloads) {
    scenario Split = make(Workload, 14, placement::Anywhere);
    Split.Lending = false;
    report("equal split, no loans", Split, Arguments);
    for (const placement Placement :
         {placement::Anywhere, placement::Homes, placement::OneInstance})
      for (const uint32_t Homes : {1U, 2U, 4U, 14U})
        report(std::to_string(Homes) + " homes, " + nameOf(Placement),
               make(Workload, Homes, Placement), Arguments);
  }
}

void reportDeadHome(const arguments &Arguments) {
  for (const workload &Workload : Workloads)
    for (const uint32_t Homes : {2U, 4U, 14U}) {
      scenario Scenario = make(Workload, Homes, placement::Homes);
      Scenario.DeadHomes = 1;
      report(std::to_string(Homes) + " homes, one dead", Scenario, Arguments);
    }
}

/// One of three failure domains is lost: two of four homes at the worst.
void reportDeadDomain(const arguments &Arguments) {
  for (const workload &Workload : Workloads)
    for (const auto &[Homes, Dead] : {std::pair(4U, 2U), std::pair(14U, 5U)}) {
      scenario Scenario = make(Workload, Homes, placement::Homes);
      Scenario.DeadHomes = Dead;
      report(std::to_string(Homes) + " homes, " + std::to_string(Dead) +
                 " dead",
             Scenario, Arguments);
    }
}

void reportLostShare(const arguments &Arguments) {
  for (const workload &Workload : Workloads)
    for (const int Seconds : {2, 10, 30, 60}) {
      scenario Scenario = make(Workload, 4, placement::Homes);
      Scenario.DeadHomes = 1;
      Scenario.ShareLostFor = std::chrono::seconds(Seconds);
      report("4 homes, share lost for " + std::to_string(Seconds) + " s",
             Scenario, Arguments);
    }
}

void reportLoanTerm(const arguments &Arguments) {
  for (const workload &Workload : Workloads)
    for (const int Milliseconds : {100, 300, 1000, 3000}) {
      scenario Scenario = make(Workload, 4, placement::OneInstance);
      Scenario.LoanTerm = std::chrono::milliseconds(Milliseconds);
      report("loan term " + std::to_string(Milliseconds) + " ms", Scenario,
             Arguments);
    }
}

void reportReplacement(const arguments &Arguments) {
  for (const workload &Workload : Workloads) {
    scenario Scenario = make(Workload, 4, placement::Homes);
    Scenario.ReplaceEvery = std::chrono::seconds(5);
    report("4 homes, one replaced every 5 s", Scenario, Arguments);
  }
}

void reportTokensOnly(const arguments &Arguments) {
  for (const workload &Workload : Workloads) {
    scenario Scenario = make(Workload, 4, placement::OneInstance);
    Scenario.LendingRate = false;
    report("4 homes, one instance, no rate", Scenario, Arguments);
  }
}

} // namespace

int main(int Count, char **Values) {
  CLI::App App("Counts requests refused though one central bucket would admit "
               "them");
  arguments Arguments;
  std::string Part = "homes";
  App.add_option(
         "part", Part,
         "homes, dead-home, dead-domain, lost-share, loan-term, replacement or "
         "tokens-only")
      ->check(CLI::IsMember({"homes", "dead-home", "dead-domain", "lost-share",
                             "loan-term", "replacement", "tokens-only"}));
  App.add_option("--seed", Arguments.Seeds, "Seeds, one run each");
  App.add_option("--seconds", Arguments.Seconds, "Simulated time of a run");
  CLI11_PARSE(App, Count, Values);
  if (Part == "homes")
    reportHomes(Arguments);
  else if (Part == "dead-home")
    reportDeadHome(Arguments);
  else if (Part == "dead-domain")
    reportDeadDomain(Arguments);
  else if (Part == "lost-share")
    reportLostShare(Arguments);
  else if (Part == "loan-term")
    reportLoanTerm(Arguments);
  else if (Part == "replacement")
    reportReplacement(Arguments);
  else
    reportTokensOnly(Arguments);
  return 0;
}
