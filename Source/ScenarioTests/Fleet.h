#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ScenarioTests/Http.h"
#include "ScenarioTests/Process.h"

/// A small fleet of real processes on loopback: platform, targets, instances,
/// and a fault proxy on the links that a scenario wants to break.
namespace magnolia::scenario {

/// What a scenario starts.
struct fleet_plan {
  int Instances = 3;
  int Targets = 3;
  int Slots = 4;
  std::string WorkTime = "2ms";
  /// Puts the fault proxy between instances and platform ("platform-NAME"),
  /// before each instance's peer port ("peer-NAME") and before each target
  /// ("target-NAME").
  bool BreakableLinks = false;
  /// Lines added to the settings of every instance.
  std::string ExtraSettings = {};
  /// Lines of the manifest below `workspaces:`.
  std::string Workspaces = "  - {name: hunters, rate: 1000, burst: 200}\n"
                           "  - {name: resellers, rate: 1000, burst: 200}\n";
  /// Share of the live targets that ejection leaves.
  std::string Floor = "0.5";
  std::string RouteTimeout = "5s";
};

/// One run of a request at a target, from its own log.
struct target_run {
  std::string Target;
  std::string Path;
  std::string RequestId;
  std::string Workspace;
  /// Value of the header X-Call.
  std::string CallId;
  /// When it started, in microseconds since 1970.
  int64_t StartedMicros = 0;
  /// Everything that the target saw of the request, as JSON.
  std::string Json;
};

/// The processes of one scenario in a directory of their own; all end with it.
/// Targets are t1..., instances i1....
class fleet {
public:
  explicit fleet(const fleet_plan &Plan);
  ~fleet();
  fleet(const fleet &) = delete;
  fleet &operator=(const fleet &) = delete;

  /// Runs magnoliactl against the platform.
  run_result control(std::vector<std::string> Arguments);

  /// Applies the plan's manifest and waits until it is in force everywhere.
  void applyManifest();

  /// Waits until every instance serves the key's workspace, then forgets the
  /// runs of that.
  void awaitServed(const std::string &Secret);

  /// Waits until the instances hold every share of the rates and none moved for
  /// a while. A share that changes hands starts empty, so before that requests
  /// within their rate may be refused.
  void awaitSharesSettled();

  /// Issues a key and returns its secret, once every instance serves it.
  std::string issueKey(const std::string &Workspace, const std::string &Id);

  /// "IPv4:port" of an instance for callers and for operators, of a target.
  std::string callers(const std::string &Instance) const;
  std::string admin(const std::string &Instance) const;
  std::string target(const std::string &Target) const;

  process &instanceProcess(const std::string &Instance);

  /// Ends an instance with \p Signal and waits for it.
  int endInstance(const std::string &Instance, int Signal);

  /// Starts an ended instance again on the ports that it had.
  void restartInstance(const std::string &Instance);

  /// Posts \p Json to the fault proxy's link, the target's or the platform's
  /// admin path.
  void setLink(const std::string &Link, const std::string &Json);
  void setTarget(const std::string &Target, const std::string &Path,
                 const std::string &Json = "{}");
  void setPlatform(const std::string &Json);

  /// Every run at every target.
  std::vector<target_run> runs();

  /// Writes a file below the fleet's directory and returns its path.
  std::string write(const std::string &Name, const std::string &Text);

  /// What the process \p Name wrote to its log.
  std::string logOf(const std::string &Name) const;

  std::string manifest() const;
  std::vector<std::string> instances() const;

private:
  struct program_state;

  /// Shares that each instance holds.
  std::vector<int> slotsHeld() const;
  void launch(const std::string &Name, const std::string &Program,
              const std::string &Settings);
  /// Waits until the launched program has told its ports.
  void awaitPorts(const std::string &Name);
  void startPlatform();
  void startTargets();
  void startProxy();
  void launchInstance(const std::string &Name);
  void finishInstance(const std::string &Name);
  std::string instanceSettings(const std::string &Name) const;
  std::string addressOf(const std::string &Name, const std::string &Port) const;
  void post(const std::string &Address, const std::string &Path,
            const std::string &Json);

  const fleet_plan Plan;
  std::string Directory;
  std::map<std::string, program_state> Programs;
  int Runs = 0;
};

/// Waits until \p Condition holds; false after \p Limit.
bool await(const std::function<bool()> &Condition,
           std::chrono::milliseconds Limit = std::chrono::seconds(60));

} // namespace magnolia::scenario
