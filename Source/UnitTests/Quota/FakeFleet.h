#pragma once

#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "Quota/RateLimiter.h"
#include "Quota/ShareKeeper.h"
#include "UnitTests/Quota/FakeTable.h"

namespace magnolia::quota::testing {

/// True time, which no instance can read.
using true_time = std::chrono::microseconds;

/// Terms and faults of a fake fleet.
struct fleet_options {
  uint64_t Seed = 1;
  size_t Instances = 5;
  layout_row Layout{2, 2};
  duration LeaseTerm = milliseconds(3000);
  duration RenewPeriod = milliseconds(500);
  duration RefreshPeriod = milliseconds(200);
  duration LoanTerm = milliseconds(300);
  duration HandoverPeriod = milliseconds(1000);
  duration ClockSkew = milliseconds(100);
  /// The drift that limiters and keepers are configured with.
  double ClockDrift = 0.02;
  /// Largest actual drift of a clock; less than half of ClockDrift.
  double TrueDrift = 0.0098;
  /// Probabilities for each message.
  double Lost = 0;
  double Late = 0;
  double Duplicated = 0;
  /// Probabilities for each table call.
  double TableRefused = 0;
  double ReplyLost = 0;
};

/// One fake machine and the process that runs on it.
struct fake_instance {
  std::string Name;
  std::string FailureDomain;
  double Speed = 1;
  duration WallError{};
  bool Running = false;
  /// A suspended process does nothing while its clocks run on.
  bool Suspended = false;
  /// The table refuses this instance's calls.
  bool TableDown = false;
  std::unique_ptr<rate_limiter> Limiter;
  std::unique_ptr<share_keeper> Keeper;
  share_view_ptr Shares;
  expiry Lease;
  /// Permits waiting in a queue.
  std::vector<permit> Permits;
  uint64_t Processes = 0;
};

/// Several rate limiters and share keepers over one fake table and an
/// unreliable network. All randomness comes from the seed.
class fake_fleet {
public:
  explicit fake_fleet(fleet_options Options);

  void setWorkspaces(std::vector<contract::workspace> Workspaces);
  void start(size_t Index);
  void crash(size_t Index);
  /// A graceful shutdown; the process ends at once.
  void stop(size_t Index);

  /// Advances time, with one tick of every instance each millisecond.
  void run(duration Length, const std::function<void()> &EachTick = nullptr);

  /// Requests a permit for one request of the workspace; it may wait in a
  /// queue.
  void request(size_t Index, const std::string &Workspace);

  /// True times at which requests of the workspace were written to targets.
  const std::vector<true_time> &written(const std::string &Workspace) {
    return Written[Workspace];
  }

  /// Number of requests by which the worst window exceeds burst + rate *
  /// window.
  double worstExcess(const std::string &Workspace, double Rate, double Burst);

  /// Number of the partition's slots that running instances may use now.
  uint32_t slotsInUse(uint32_t Partition) const;

  size_t size() const { return Instances.size(); }
  fake_instance &at(size_t Index) { return *Instances[Index]; }
  fake_table &table() { return Table; }
  std::mt19937_64 &random() { return Random; }
  bool chance(double Probability);
  instant clockOf(size_t Index) const;
  true_time now() const { return Now; }

  /// Messages from the first to the second instance are lost.
  std::vector<std::pair<size_t, size_t>> Cuts;
  /// Fraction of permits that wait before they are spent.
  double Queued = 0.3;

private:
  struct delivery {
    true_time At;
    uint64_t Order = 0;
    size_t From = 0;
    size_t To = 0;
    std::vector<uint8_t> Bytes;
    bool operator<(const delivery &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  void send(size_t From, const std::string &Peer, const message &Message);
  void deliver();
  void tick(size_t Index);
  void stepKeeper(size_t Index);
  void use(size_t Index, permit Permit);
  void spend(size_t Index, const permit &Permit);
  void spendQueued(size_t Index);
  std::vector<owner_candidate> live() const;

  fleet_options Options;
  std::mt19937_64 Random;
  fake_table Table;
  true_time Now{std::chrono::hours(1)};
  /// The instance whose calls reach the table now.
  size_t TableCaller = 0;
  uint64_t NextOrder = 0;
  std::vector<std::unique_ptr<fake_instance>> Instances;
  std::vector<contract::workspace> Workspaces;
  std::priority_queue<delivery> Network;
  std::map<std::string, std::vector<true_time>> Written;
};

} // namespace magnolia::quota::testing
