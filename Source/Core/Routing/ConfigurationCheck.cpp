#include "Routing/ConfigurationCheck.h"

#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "Common/Number.h"
#include "Routing/RouteTable.h"

namespace magnolia::routing {

/// One run of a check: its input and the findings that it adds.
class check_report {
public:
  check_report(const partial_configuration &Given, const check_options &Options,
               const named_check &Check, std::vector<finding> &Findings)
      : Given(Given), Options(Options), Check(Check), Findings(Findings) {}

  const configuration &config() const { return Given.Configuration; }
  const check_options &options() const { return Options; }

  /// Each adds a finding about a column of one entry.
  void add(const route &Route, std::string_view Column, std::string Message) {
    addRow("routes", rowOf(Route, config().Routes, Given.RouteRows), Route.Name,
           Column, std::move(Message));
  }
  void add(const service &Service, std::string_view Column,
           std::string Message) {
    addRow("services", rowOf(Service, config().Services, Given.ServiceRows),
           Service.Name, Column, std::move(Message));
  }
  void add(const workspace &Workspace, std::string_view Column,
           std::string Message) {
    addRow("workspaces",
           rowOf(Workspace, config().Workspaces, Given.WorkspaceRows),
           Workspace.Name, Column, std::move(Message));
  }
  /// Adds a finding about a table.
  void add(std::string_view Table, std::string_view Column,
           std::string Message) {
    addRow(Table, 0, "", Column, std::move(Message));
  }

private:
  template <typename Entry>
  static size_t rowOf(const Entry &Which, const std::vector<Entry> &Entries,
                      const std::vector<size_t> &Rows) {
    return Rows.at(static_cast<size_t>(&Which - Entries.data()));
  }

  void addRow(std::string_view Table, size_t Row, const std::string &Name,
              std::string_view Column, std::string Message) {
    Findings.push_back({Check.Severity,
                        Check.Name,
                        {0, std::string(Table), Row, Name, std::string(Column)},
                        std::move(Message),
                        Check.Remedy});
  }

  const partial_configuration &Given;
  const check_options &Options;
  const named_check &Check;
  std::vector<finding> &Findings;
};

namespace {

/// A larger rank is likely a mistake: few ranks can be told apart by their
/// treatment.
constexpr int MaxRank = 9;
/// How far the rates of all workspaces may exceed what the targets execute,
/// since workspaces rarely use their rates at the same time.
constexpr double MaxRateOvercommit = 3;

std::string print(duration Duration) {
  return absl::FormatDuration(absl::FromChrono(Duration));
}

/// Reports each entry whose name an earlier one has.
template <typename Entry>
void reportRepeatedNames(check_report &Report,
                         const std::vector<Entry> &Entries) {
  absl::flat_hash_set<std::string_view> Names;
  for (const Entry &Each : Entries)
    if (!Names.insert(Each.Name).second)
      Report.add(Each, "name", "an earlier row has the same name");
}

void checkNames(check_report &Report) {
  reportRepeatedNames(Report, Report.config().Routes);
  reportRepeatedNames(Report, Report.config().Services);
  reportRepeatedNames(Report, Report.config().Workspaces);
}

void checkAnyRoute(check_report &Report) {
  if (Report.config().Routes.empty())
    Report.add("routes", "", "every request is refused: there is no route");
}

/// Of two routes with the same host and prefix, the later one gets all
/// requests.
void checkShadowedRoutes(check_report &Report) {
  absl::flat_hash_map<std::pair<std::string, std::string_view>, const route *>
      Later;
  const auto &Routes = Report.config().Routes;
  for (auto Route = Routes.rbegin(); Route != Routes.rend(); ++Route) {
    const auto [Found, Added] = Later.try_emplace(
        {normalizedHost(Route->Host), Route->Prefix}, &*Route);
    if (!Added)
      Report.add(*Route, "prefix",
                 absl::StrCat("never matches: the later route '",
                              Found->second->Name,
                              "' has the same host and prefix"));
  }
}

bool isHostCharacter(unsigned char Character) {
  return absl::ascii_isalnum(Character) || Character == '.' ||
         Character == '-' || Character == '_';
}

void checkHosts(check_report &Report) {
  for (const route &Route : Report.config().Routes) {
    const std::string Host = normalizedHost(Route.Host);
    // A format without hosts leaves them empty.
    if (Route.Host.empty() ||
        (!Host.empty() &&
         std::all_of(Host.begin(), Host.end(), isHostCharacter)))
      continue;
    Report.add(Route, "host",
               "never matches: a host consists of letters, digits, '.', '-' "
               "and '_'");
  }
}

/// Whether a path in a request line can contain \p Character.
bool isPathCharacter(unsigned char Character) {
  return absl::ascii_isgraph(Character) && Character != '?' && Character != '#';
}

void checkPrefixes(check_report &Report) {
  for (const route &Route : Report.config().Routes) {
    const std::string &Prefix = Route.Prefix;
    if (!Prefix.starts_with('/') || !Prefix.ends_with('/'))
      Report.add(Route, "prefix",
                 "never matches: a prefix begins and ends with a slash");
    else if (!std::all_of(Prefix.begin(), Prefix.end(), isPathCharacter))
      Report.add(Route, "prefix",
                 "never matches: no path contains a space, '?', '#' or letters "
                 "beyond ASCII");
  }
}

bool hasService(const route &Route) {
  return std::any_of(Route.Parts.begin(), Route.Parts.end(),
                     [](const split_part &Part) { return Part.Weight > 0; });
}

void checkRoutesHaveServices(check_report &Report) {
  for (const route &Route : Report.config().Routes) {
    if (Route.Parts.empty())
      Report.add(Route, "service", "its requests fail: it names no service");
    else if (!hasService(Route))
      Report.add(Route, "split", "its requests fail: all weights are zero");
  }
}

void checkZeroWeights(check_report &Report) {
  for (const route &Route : Report.config().Routes) {
    if (!hasService(Route))
      continue;
    for (const split_part &Part : Route.Parts)
      if (Part.Weight == 0)
        Report.add(Route, "split",
                   absl::StrCat("service '", Part.Service,
                                "' has the weight 0 and gets no request"));
  }
}

void checkRepeatedParts(check_report &Report) {
  for (const route &Route : Report.config().Routes) {
    absl::flat_hash_set<std::string_view> Services;
    for (const split_part &Part : Route.Parts)
      if (!Services.insert(Part.Service).second)
        Report.add(Route, "split",
                   absl::StrCat("service '", Part.Service,
                                "' is named more than once"));
  }
}

void checkListedServices(check_report &Report) {
  absl::flat_hash_set<std::string_view> Listed;
  for (const service &Service : Report.config().Services)
    Listed.insert(Service.Name);
  for (const route &Route : Report.config().Routes)
    for (const split_part &Part : Route.Parts)
      if (!Listed.contains(Part.Service))
        Report.add(Route, Route.Parts.size() > 1 ? "split" : "service",
                   absl::StrCat("service '", Part.Service, "' is not listed"));
}

/// New services may get their targets later.
void checkTargets(check_report &Report) {
  if (!Report.options().ServicesWithTargets)
    return;
  for (const service &Service : Report.config().Services)
    if (!Report.options().ServicesWithTargets->contains(Service.Name))
      Report.add(Service, "name", "it has no target now");
}

void checkUsedServices(check_report &Report) {
  absl::flat_hash_set<std::string_view> Used;
  for (const route &Route : Report.config().Routes)
    for (const split_part &Part : Route.Parts)
      Used.insert(Part.Service);
  for (const service &Service : Report.config().Services)
    if (!Used.contains(Service.Name))
      Report.add(Service, "name", "no route uses it");
}

/// Calls \p OnRepeated with each workspace that repeats a key and the one that
/// lists it first.
template <typename Hook>
void forRepeatedKeys(const configuration &Configuration,
                     const Hook &OnRepeated) {
  absl::flat_hash_map<std::string_view, const workspace *> HolderOf;
  for (const workspace &Workspace : Configuration.Workspaces)
    for (const std::string &Key : Workspace.Keys) {
      const auto [Found, Added] = HolderOf.try_emplace(Key, &Workspace);
      if (!Added)
        OnRepeated(Workspace, *Found->second);
    }
}

void checkSharedKeys(check_report &Report) {
  forRepeatedKeys(Report.config(), [&](const workspace &Workspace,
                                       const workspace &First) {
    if (&Workspace != &First)
      Report.add(Workspace, "keys",
                 absl::StrCat("takes over a key of workspace '", First.Name,
                              "', whose requests with it count as this one's"));
  });
}

void checkRepeatedKeys(check_report &Report) {
  forRepeatedKeys(
      Report.config(), [&](const workspace &Workspace, const workspace &First) {
        if (&Workspace == &First)
          Report.add(Workspace, "keys", "lists a key more than once");
      });
}

void checkKeyless(check_report &Report) {
  if (!Report.config().RequiresKeys)
    return;
  for (const workspace &Workspace : Report.config().Workspaces)
    if (Workspace.Keys.empty())
      Report.add(Workspace, "keys", "no request can belong to it: no key");
}

void checkAnyKey(check_report &Report) {
  const configuration &Configuration = Report.config();
  const bool NeedsKey =
      Configuration.RequiresKeys &&
      std::any_of(Configuration.Routes.begin(), Configuration.Routes.end(),
                  [](const route &Route) { return !Route.Public; });
  const bool HasKey = std::any_of(
      Configuration.Workspaces.begin(), Configuration.Workspaces.end(),
      [](const workspace &Workspace) { return !Workspace.Keys.empty(); });
  if (NeedsKey && !HasKey)
    Report.add("workspaces", "keys",
               "requests on routes that are not public are refused: there is "
               "no key");
}

void checkTimeouts(check_report &Report) {
  for (const route &Route : Report.config().Routes)
    if (Route.Timeout <= duration::zero())
      Report.add(Route, "timeout", "its requests fail: the timeout is zero");
}

void checkObjectives(check_report &Report) {
  for (const route &Route : Report.config().Routes)
    if (Route.Timeout > duration::zero() &&
        Route.Timeout < Route.LatencyObjective)
      Report.add(Route, "timeout",
                 absl::StrCat("the timeout ", print(Route.Timeout),
                              " is below the latency objective ",
                              print(Route.LatencyObjective)));
}

void checkAttempts(check_report &Report) {
  for (const route &Route : Report.config().Routes)
    if (Route.MaxAttempts == 0)
      Report.add(Route, "max_attempts", "its requests are sent to no target");
}

void checkSingleAttempts(check_report &Report) {
  for (const route &Route : Report.config().Routes)
    if (Route.Repeatability == repeatability::Repeatable &&
        Route.MaxAttempts == 1)
      Report.add(Route, "max_attempts",
                 "its requests may run again, but one attempt leaves no room "
                 "for a retry or a second send");
}

void checkRanks(check_report &Report) {
  const auto Message = [](double Rank) {
    return absl::StrCat("rank ", common::printNumber(Rank),
                        " is not from 0 to ", MaxRank);
  };
  const auto IsOdd = [](double Rank) { return Rank < 0 || Rank > MaxRank; };
  for (const route &Route : Report.config().Routes)
    if (IsOdd(Route.Priority))
      Report.add(Route, "priority", Message(Route.Priority));
  for (const workspace &Workspace : Report.config().Workspaces)
    if (Workspace.Priority && IsOdd(*Workspace.Priority))
      Report.add(Workspace, "priority", Message(*Workspace.Priority));
}

void checkBursts(check_report &Report) {
  for (const workspace &Workspace : Report.config().Workspaces)
    if (Workspace.RatePerSecond > 0 && Workspace.Burst < 1)
      Report.add(Workspace, "burst",
                 absl::StrCat("a rate with the burst ",
                              common::printNumber(Workspace.Burst),
                              ", which counts as one request"));
}

void checkBurstsHaveRates(check_report &Report) {
  for (const workspace &Workspace : Report.config().Workspaces)
    if (Workspace.Burst > 0 && Workspace.RatePerSecond <= 0)
      Report.add(Workspace, "burst",
                 "has no effect: without a rate there is no limit");
}

void checkRates(check_report &Report) {
  if (!Report.options().FleetRate)
    return;
  double Sum = 0;
  for (const workspace &Workspace : Report.config().Workspaces)
    Sum += Workspace.RatePerSecond;
  const double Room = *Report.options().FleetRate;
  if (Sum > MaxRateOvercommit * Room)
    Report.add("workspaces", "rate",
               absl::StrCat("the rates add up to ", Sum,
                            " requests per second, but the targets execute ",
                            Room));
}

void checkBodyLimit(check_report &Report) {
  if (!Report.options().MessageBytes)
    return;
  const caller_limits &Limits = Report.config().Limits;
  const size_t Most = *Report.options().MessageBytes;
  if (Limits.BodyBytes > Most || Limits.HeadBytes > Most - Limits.BodyBytes)
    Report.add("limits", "body_bytes",
               absl::StrCat("a request of ", Limits.HeadBytes, " + ",
                            Limits.BodyBytes,
                            " bytes is more than an instance may hold, ", Most,
                            " bytes"));
}

constexpr auto Error = severity::Error;
constexpr auto Warning = severity::Warning;

void checkWarmups(check_report &Report) {
  for (const service &Service : Report.config().Services)
    if (Service.Warmup > duration::zero() && Service.WarmupPerSecond == 0)
      Report.add(
          Service, "warmup_per_second",
          "targets warm up, but what they take meanwhile is not limited");
}

constexpr named_check Checks[] = {
    {"repeated-name", Error, false, "give each entry its own name", checkNames},
    {"no-route", Warning, true, "add a route", checkAnyRoute},
    {"shadowed-route", Error, false,
     "remove one of the routes or change its prefix", checkShadowedRoutes},
    {"unmatchable-host", Error, false, "correct the host", checkHosts},
    {"unmatchable-prefix", Error, false, "correct the prefix", checkPrefixes},
    {"route-without-service", Error, false,
     "name a service with a weight above zero", checkRoutesHaveServices},
    {"unlisted-service", Error, true, "list the service or correct its name",
     checkListedServices},
    {"zero-weight", Warning, false, "remove the part or raise its weight",
     checkZeroWeights},
    {"repeated-part", Warning, false, "add up the weights in one part",
     checkRepeatedParts},
    {"service-without-target", Warning, false,
     "start targets before routes use it", checkTargets},
    {"unused-service", Warning, true, "remove the service or add a route",
     checkUsedServices},
    {"shared-key", Error, false, "give each workspace its own key",
     checkSharedKeys},
    {"repeated-key", Warning, false, "list the key once", checkRepeatedKeys},
    {"workspace-without-key", Warning, false, "add a key", checkKeyless},
    {"no-key", Warning, true, "add a key or make the routes public",
     checkAnyKey},
    {"zero-timeout", Error, false, "set a timeout above zero", checkTimeouts},
    {"timeout-below-objective", Warning, false,
     "raise the timeout or lower the objective", checkObjectives},
    {"no-attempt", Error, false, "allow at least one attempt", checkAttempts},
    {"single-attempt", Warning, false,
     "allow two attempts, or accept that failures reach callers",
     checkSingleAttempts},
    {"odd-rank", Warning, false, "use ranks from 0, the most urgent",
     checkRanks},
    {"burst-below-one", Warning, false, "set a burst of at least one request",
     checkBursts},
    {"burst-without-rate", Warning, false, "set a rate or remove the burst",
     checkBurstsHaveRates},
    {"rates-above-capacity", Warning, true, "lower the rates or add targets",
     checkRates},
    {"unlimited-warm-up", Warning, false,
     "set the requests per second that a cold target takes", checkWarmups},
    {"limits-above-memory", Warning, false,
     "lower the limits or use instances with more memory", checkBodyLimit},
};

} // namespace

std::span<const named_check> namedChecks() { return Checks; }

std::vector<finding> checkConfiguration(const partial_configuration &Given,
                                        const check_options &Options) {
  std::vector<finding> Findings;
  for (const named_check &Check : Checks) {
    if (Check.NeedsWhole && !Given.Whole)
      continue;
    check_report Report(Given, Options, Check, Findings);
    Check.Run(Report);
  }
  return Findings;
}

} // namespace magnolia::routing
