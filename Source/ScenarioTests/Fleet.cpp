#include "ScenarioTests/Fleet.h"

#include <cstring>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "Common/Digest.h"
#include "Common/YamlReader.h"

namespace magnolia::scenario {
namespace {

constexpr std::chrono::milliseconds PollStep{5};
constexpr size_t DirectoryBytes = 6;
constexpr const char *AnyPort = "127.0.0.1:0";
constexpr const char *Domains[] = {"Trnava", "Nitra", "Senica"};

std::string domainOf(int Index) { return Domains[(Index - 1) % 3]; }
std::string instanceName(int Index) { return absl::StrCat("i", Index); }
std::string targetName(int Index) { return absl::StrCat("t", Index); }

std::string headerOf(const nlohmann::json &Run, const std::string &Name) {
  for (const auto &Header : Run.at("headers"))
    if (Header.at("name") == Name)
      return Header.at("value");
  return "";
}

std::map<std::string, int> readPorts(const std::string &File) {
  std::map<std::string, int> Ports;
  std::istringstream Lines(common::readFile(File).value_or(""));
  std::string Name;
  int Port = 0;
  while (Lines >> Name >> Port)
    Ports[Name] = Port;
  return Ports;
}

} // namespace

bool await(const std::function<bool()> &Condition,
           std::chrono::milliseconds Limit) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollStep);
  }
  return true;
}

struct fleet::program_state {
  std::optional<process> Process;
  std::map<std::string, int> Ports;
};

fleet::fleet(const fleet_plan &Plan) : Plan(Plan) {
  const auto Root = std::filesystem::temp_directory_path();
  Directory = (Root / ("magnolia-" + common::randomHex(DirectoryBytes)));
  std::filesystem::create_directories(Directory);
  startPlatform();
  startTargets();
  if (Plan.BreakableLinks)
    startProxy();
  for (const std::string &Name : instances())
    launchInstance(Name);
  for (const std::string &Name : instances())
    finishInstance(Name);
}

fleet::~fleet() {
  Programs.clear();
  std::filesystem::remove_all(Directory);
}

std::string fleet::write(const std::string &Name, const std::string &Text) {
  std::string Path = absl::StrCat(Directory, "/", Name);
  std::ofstream(Path) << Text;
  return Path;
}

std::string fleet::logOf(const std::string &Name) const {
  return common::readFile(absl::StrCat(Directory, "/", Name, ".log"))
      .value_or("");
}

void fleet::launch(const std::string &Name, const std::string &Program,
                   const std::string &Settings) {
  const std::string SettingsFile = write(Name + ".yaml", Settings);
  const std::string PortFile = absl::StrCat(Directory, "/", Name, ".ports");
  std::filesystem::remove(PortFile);
  program_state &State = Programs[Name];
  State.Process.emplace(Program,
                        std::vector<std::string>{"--settings", SettingsFile,
                                                 "--port-file", PortFile},
                        absl::StrCat(Directory, "/", Name, ".log"));
}

void fleet::awaitPorts(const std::string &Name) {
  const std::string PortFile = absl::StrCat(Directory, "/", Name, ".ports");
  program_state &State = Programs.at(Name);
  const bool Started = await([&] {
    return std::filesystem::exists(PortFile) || State.Process->ended();
  });
  if (!Started || !std::filesystem::exists(PortFile))
    throw std::runtime_error(
        absl::StrCat(Name, " did not start: ", logOf(Name)));
  State.Ports = readPorts(PortFile);
}

std::string fleet::addressOf(const std::string &Name,
                             const std::string &Port) const {
  return absl::StrCat("127.0.0.1:", Programs.at(Name).Ports.at(Port));
}

void fleet::startPlatform() {
  std::string Names;
  for (const std::string &Name : instances())
    absl::StrAppend(&Names, Names.empty() ? "" : ", ", Name);
  launch("platform", "magnolia-platform",
         absl::StrCat("listen: ", AnyPort, "\ninstances: [", Names, "]\n"));
  awaitPorts("platform");
}

void fleet::startTargets() {
  for (int Index = 1; Index <= Plan.Targets; ++Index)
    launch(targetName(Index), "magnolia-target",
           absl::StrCat("listen: ", AnyPort, "\nname: ", targetName(Index),
                        "\nslots: ", Plan.Slots, "\nwork_time: ", Plan.WorkTime,
                        "\n"));
  for (int Index = 1; Index <= Plan.Targets; ++Index)
    awaitPorts(targetName(Index));
}

void fleet::startProxy() {
  std::string Settings = "links:\n";
  const auto AddLink = [&](const std::string &Name,
                           const std::string &Forward) {
    absl::StrAppend(&Settings, "  - {name: ", Name, ", listen: \"", AnyPort,
                    "\", forward: \"", Forward, "\"}\n");
  };
  for (const std::string &Name : instances()) {
    AddLink("platform-" + Name, addressOf("platform", "platform"));
    // Points nowhere until the instance has bound its peer port.
    AddLink("peer-" + Name, "127.0.0.1:1");
  }
  for (int Index = 1; Index <= Plan.Targets; ++Index)
    AddLink("target-" + targetName(Index),
            addressOf(targetName(Index), "target"));
  launch("proxy", "magnolia-faultproxy", Settings);
  awaitPorts("proxy");
}

std::string fleet::instanceSettings(const std::string &Name) const {
  const auto Known = Programs.find(Name);
  const auto Listen = [&](const std::string &Port) {
    if (Known == Programs.end() || Known->second.Ports.empty())
      return std::string(AnyPort);
    return addressOf(Name, Port);
  };
  const int Index = std::stoi(Name.substr(1));
  std::string Settings = absl::StrCat(
      "instance:\n  name: ", Name, "\n  failure_domain: ", domainOf(Index),
      "\n  caller_listen: ", Listen("callers"),
      "\n  peer_listen: ", Listen("peers"),
      "\n  admin_listen: ", Listen("admin"), "\n");
  std::string Platform = addressOf("platform", "platform");
  if (Plan.BreakableLinks) {
    absl::StrAppend(&Settings,
                    "  peer_advertise: ", addressOf("proxy", "peer-" + Name),
                    "\n");
    Platform = addressOf("proxy", "platform-" + Name);
  }
  return absl::StrCat(Settings, "platform: ", Platform,
                      "\nrates:\n  settle: 700ms\n", Plan.ExtraSettings);
}

void fleet::launchInstance(const std::string &Name) {
  launch(Name, "magnoliad", instanceSettings(Name));
}

void fleet::finishInstance(const std::string &Name) {
  awaitPorts(Name);
  if (Plan.BreakableLinks)
    setLink("peer-" + Name,
            absl::StrCat("{\"forward\": \"", addressOf(Name, "peers"), "\"}"));
}

std::vector<std::string> fleet::instances() const {
  std::vector<std::string> Names;
  for (int Index = 1; Index <= Plan.Instances; ++Index)
    Names.push_back(instanceName(Index));
  return Names;
}

std::string fleet::manifest() const {
  std::string Targets;
  for (int Index = 1; Index <= Plan.Targets; ++Index) {
    const std::string Name = targetName(Index);
    const std::string Address = Plan.BreakableLinks
                                    ? addressOf("proxy", "target-" + Name)
                                    : addressOf(Name, "target");
    absl::StrAppend(&Targets, "      - {name: ", Name, ", address: \"", Address,
                    "\", failure_domain: ", domainOf(Index),
                    ", slots: ", Plan.Slots, "}\n");
  }
  const auto Route = [&](const char *Name, const char *Access,
                         const char *Repeatable) {
    return absl::StrCat("  - {name: ", Name, ", path_prefix: /", Name,
                        ", service: catalogue, access: ", Access,
                        ", repeatable: ", Repeatable,
                        ", timeout: ", Plan.RouteTimeout, "}\n");
  };
  return absl::StrCat("workspaces:\n", Plan.Workspaces,
                      "services:\n  - name: catalogue\n    floor: ", Plan.Floor,
                      "\n    targets:\n", Targets, "routes:\n",
                      Route("lookup", "keyed", "true"),
                      Route("order", "keyed", "false"),
                      Route("open", "open", "true"));
}

run_result fleet::control(std::vector<std::string> Arguments) {
  Arguments.insert(
      Arguments.begin(),
      {"--platform", addressOf("platform", "platform"), "--actor", "scenario"});
  return runProgram("magnoliactl", Arguments,
                    absl::StrCat(Directory, "/control", ++Runs, ".log"));
}

void fleet::applyManifest() {
  const auto Result =
      control({"apply", write("manifest.yaml", manifest()), "--wait", "60s"});
  if (Result.ExitCode != 0)
    throw std::runtime_error("apply failed: " + Result.Output);
}

std::vector<int> fleet::slotsHeld() const {
  constexpr const char *Metric = "\nmagnolia_rate_slots_held ";
  call Call;
  Call.Path = "/metrics";
  std::vector<int> Held;
  for (const std::string &Instance : instances()) {
    const std::string Page = send(admin(Instance), Call).Body;
    const size_t Found = Page.find(Metric);
    Held.push_back(Found == std::string::npos
                       ? 0
                       : std::stoi(Page.substr(Found + std::strlen(Metric))));
  }
  return Held;
}

void fleet::awaitSharesSettled() {
  // The layout of a fresh table: 64 partitions of four slots.
  constexpr int AllSlots = 256;
  // Longer than the time between two steps of a keeper.
  constexpr std::chrono::seconds Quiet{5};
  auto Since = std::chrono::steady_clock::now();
  std::vector<int> Before;
  const bool Settled = await([&] {
    const auto Now = std::chrono::steady_clock::now();
    const std::vector<int> Held = slotsHeld();
    if (Held != Before ||
        std::accumulate(Held.begin(), Held.end(), 0) != AllSlots)
      Since = Now;
    Before = Held;
    return Now - Since >= Quiet;
  });
  if (!Settled)
    throw std::runtime_error("the shares do not settle");
}

void fleet::awaitServed(const std::string &Secret) {
  call Call;
  Call.Path = "/lookup/ready";
  Call.Secret = Secret;
  for (const std::string &Instance : instances())
    if (!await([&] { return send(callers(Instance), Call).ok(); }))
      throw std::runtime_error(Instance + " does not serve");
  Call = {};
  Call.Method = "DELETE";
  Call.Path = "/admin/runs";
  for (int Index = 1; Index <= Plan.Targets; ++Index)
    send(target(targetName(Index)), Call);
}

std::string fleet::issueKey(const std::string &Workspace,
                            const std::string &Id) {
  const auto Result =
      control({"key", "issue", Workspace, "--id", Id, "--wait", "60s"});
  std::istringstream Words(Result.Output);
  std::string Word;
  while (Words >> Word)
    if (Word == "secret" && Words >> Word) {
      awaitServed(Word);
      return Word;
    }
  throw std::runtime_error("no secret in: " + Result.Output);
}

std::string fleet::callers(const std::string &Instance) const {
  return addressOf(Instance, "callers");
}

std::string fleet::admin(const std::string &Instance) const {
  return addressOf(Instance, "admin");
}

std::string fleet::target(const std::string &Target) const {
  return addressOf(Target, "target");
}

process &fleet::instanceProcess(const std::string &Instance) {
  return *Programs.at(Instance).Process;
}

int fleet::endInstance(const std::string &Instance, int Signal) {
  process &Process = instanceProcess(Instance);
  Process.signal(Signal);
  return Process.wait();
}

void fleet::restartInstance(const std::string &Instance) {
  launchInstance(Instance);
  finishInstance(Instance);
}

void fleet::post(const std::string &Address, const std::string &Path,
                 const std::string &Json) {
  call Call;
  Call.Method = "POST";
  Call.Path = Path;
  Call.Body = Json;
  const call_result Result = send(Address, Call);
  if (Result.Status / 100 != 2)
    throw std::runtime_error(
        absl::StrCat("POST ", Path, ": ", Result.Status, " ", Result.Body));
}

void fleet::setLink(const std::string &Link, const std::string &Json) {
  post(addressOf("proxy", "admin"), "/admin/links/" + Link, Json);
}

void fleet::setTarget(const std::string &Target, const std::string &Path,
                      const std::string &Json) {
  post(target(Target), Path, Json);
}

void fleet::setPlatform(const std::string &Json) {
  post(addressOf("platform", "platform"), "/admin/faults", Json);
}

std::vector<target_run> fleet::runs() {
  std::vector<target_run> All;
  for (int Index = 1; Index <= Plan.Targets; ++Index) {
    const std::string Name = targetName(Index);
    call Call;
    Call.Path = "/admin/runs";
    const auto Json = nlohmann::json::parse(send(target(Name), Call).Body);
    for (const auto &Run : Json)
      All.push_back({Name, Run.value("path", ""), Run.value("request_id", ""),
                     Run.value("workspace", ""), headerOf(Run, "X-Call"),
                     Run.value("started_us", int64_t{0}), Run.dump()});
  }
  return All;
}

} // namespace magnolia::scenario
