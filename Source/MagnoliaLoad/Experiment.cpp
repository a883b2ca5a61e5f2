#include "MagnoliaLoad/Experiment.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include "Common/YamlReader.h"

namespace magnolia::load {
namespace {

using common::yaml_section;

constexpr std::chrono::minutes LongestDuration{60};
constexpr int64_t MostRequests = 20'000'000;
constexpr int64_t MostThreads = 512;
constexpr int64_t LargestBody = 16'000'000;

std::vector<std::string> readAddresses(yaml_section &Section,
                                       std::string_view Key) {
  std::vector<std::string> Addresses = Section.texts(Key);
  for (const std::string &Address : Addresses)
    if (!common::isAddress(Address))
      Section.fail(Key,
                   absl::StrCat("'", Address, "' is no IPv4:port address"));
  return Addresses;
}

/// An integer within bounds.
int64_t bounded(yaml_section &Section, std::string_view Key, int64_t Default,
                int64_t Least, int64_t Most) {
  const int64_t Value = Section.integer(Key, Default);
  if (Value < Least || Value > Most)
    Section.fail(Key, absl::StrCat("must be from ", Least, " to ", Most));
  return Value;
}

double positive(yaml_section &Section, std::string_view Key,
                std::optional<double> Default = std::nullopt) {
  const double Value = Section.number(Key, Default);
  if (!(Value > 0))
    Section.fail(Key, "must be above zero");
  return Value;
}

request_kind readRequest(yaml_section &Section) {
  request_kind Request;
  Request.Method = Section.text("method", "GET");
  if (Request.Method != "GET" && Request.Method != "POST")
    Section.fail("method", "must be GET or POST");
  Request.Path = Section.text("path");
  Request.Weight = positive(Section, "weight", 1);
  Request.BodyBytes =
      static_cast<size_t>(bounded(Section, "body_bytes", 0, 0, LargestBody));
  Request.IdempotencyKey = Section.boolean("idempotency_key", false);
  Section.finish();
  return Request;
}

/// The key stands in the file or, so that it need not be committed, in a file
/// of its own.
std::string readKey(yaml_section &Section) {
  std::string Key = Section.text("key", "");
  const std::string File = Section.text("key_file", "");
  if (File.empty())
    return Key;
  auto Text = common::readFile(File);
  if (!Text.ok()) {
    Section.fail("key_file", std::string(Text.status().message()));
    return {};
  }
  return std::string(absl::StripAsciiWhitespace(*Text));
}

workspace_load readWorkspace(yaml_section &Section) {
  workspace_load Workspace;
  Workspace.Name = Section.text("name");
  Workspace.Key = readKey(Section);
  Workspace.Rate = positive(Section, "rate");
  Workspace.Burst = positive(Section, "burst");
  Workspace.Load = positive(Section, "load", 1);
  Workspace.Callers =
      static_cast<uint32_t>(bounded(Section, "callers", 8, 1, 10000));
  if (Section.has("entry"))
    Workspace.Entry = Section.address("entry");
  for (yaml_section &Request : Section.sections("requests"))
    Workspace.Requests.push_back(readRequest(Request));
  if (Workspace.Requests.empty())
    Section.fail("requests", "needs at least one request");
  Section.finish();
  return Workspace;
}

scheduled_event readEvent(yaml_section &Section) {
  scheduled_event Event;
  Event.At = Section.duration("at");
  Event.Address = Section.address("address");
  Event.Method = Section.text("method", "POST");
  Event.Path = Section.text("path");
  Event.Body = Section.text("body", "");
  Event.Gray = Section.texts("gray");
  Section.finish();
  return Event;
}

direct_load readDirect(yaml_section Section) {
  direct_load Direct;
  Direct.Rate = Section.number("rate", 0);
  Direct.Targets = readAddresses(Section, "targets");
  Direct.Path = Section.text("path", "/");
  if (Direct.Rate < 0 || (Direct.Rate > 0 && Direct.Targets.empty()))
    Section.fail("targets", "a direct rate needs targets");
  Section.finish();
  return Direct;
}

void readBounds(yaml_section &Root, experiment &Experiment) {
  Experiment.Duration = Root.duration("duration", std::chrono::seconds(10));
  if (Experiment.Duration > LongestDuration)
    Root.fail("duration", "must be an hour at most");
  Experiment.WarmUp = Root.duration("warm_up", microseconds(0));
  Experiment.MaxRequests = static_cast<uint64_t>(
      bounded(Root, "max_requests", 1'000'000, 1, MostRequests));
  Experiment.Threads =
      static_cast<uint32_t>(bounded(Root, "threads", 64, 1, MostThreads));
  Experiment.Timeout = Root.duration("timeout", std::chrono::seconds(10));
  Experiment.ClientDelay = Root.duration("client_delay", microseconds(0));
}

experiment readRoot(yaml_section &Root) {
  experiment Experiment;
  Experiment.Name = Root.text("name");
  Experiment.Seed = static_cast<uint64_t>(Root.integer("seed", 1));
  readBounds(Root, Experiment);
  Experiment.Entries = readAddresses(Root, "entries");
  Experiment.Metrics = readAddresses(Root, "metrics");
  for (yaml_section &Workspace : Root.sections("workspaces"))
    Experiment.Workspaces.push_back(readWorkspace(Workspace));
  for (yaml_section &Event : Root.sections("events"))
    Experiment.Events.push_back(readEvent(Event));
  Experiment.Direct = readDirect(Root.section("direct"));
  if (!Experiment.Workspaces.empty() && Experiment.Entries.empty())
    Root.fail("entries", "needs at least one address");
  Root.finish();
  return Experiment;
}

} // namespace

absl::StatusOr<experiment> readExperiment(const std::string &Path) {
  const auto Text = common::readFile(Path);
  if (!Text.ok())
    return Text.status();
  common::yaml_errors Errors(Path);
  yaml_section Root = common::parseYaml(*Text, Errors);
  experiment Experiment = readRoot(Root);
  if (!Errors.status().ok())
    return Errors.status();
  return Experiment;
}

} // namespace magnolia::load
