#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Admission/ConcurrencyLimits.h"
#include "Admission/FairQueue.h"

/// An event model of instances that share the slots of one service, driving the
/// library's own queue and limits with made-up time.
namespace magnolia::benchmarks {

/// Which queue stands in front of the slots.
enum class queue_kind : uint8_t {
  FirstCome,
  DeficitRoundRobin,
  StartTimeFair,
  /// Start-time fair, charged by request.
  StartTimeFairByRequest,
};

/// How much the instances let through.
enum class limit_kind : uint8_t { Additive, Gradient, FixedShare, None };

/// What a workspace's share of the slots follows from.
enum class weight_kind : uint8_t { Equal, SquareRootOfRate, Rate };

/// The callers of one workspace.
struct modelled_workspace {
  std::string Name;
  /// Requests per second that the contract allows.
  double Rate = 1;
  /// What it sends as a multiple of its rate.
  double Load = 1;
  /// Work of its requests relative to the usual.
  double Work = 1;
};

struct fleet_model {
  uint32_t Instances = 14;
  /// Instances that callers use, of those that share the targets.
  uint32_t EntryInstances = 14;
  uint32_t Targets = 6;
  uint32_t Slots = 6;
  /// Requests that wait inside a target; more are refused as not run.
  uint32_t TargetQueue = 6;
  std::chrono::microseconds Delay{500};
  std::chrono::microseconds MeanWork{20000};
  std::chrono::microseconds Timeout{1500000};
  std::chrono::seconds Duration{30};
  uint64_t Seed = 1;
  queue_kind Queue = queue_kind::StartTimeFair;
  limit_kind Limits = limit_kind::Additive;
  weight_kind Weights = weight_kind::SquareRootOfRate;
  std::vector<modelled_workspace> Workspaces;
};

struct modelled_result {
  std::string Name;
  uint64_t Sent = 0;
  uint64_t Succeeded = 0;
  /// Of successes, in milliseconds.
  double MedianMs = 0;
  double HighMs = 0;
};

struct fleet_result {
  std::vector<modelled_result> Workspaces;
  /// Refusals of targets, which cost an attempt each.
  uint64_t TargetRefusals = 0;
  /// Part of the slot time that was used.
  double Utilisation = 0;
};

fleet_result runModel(const fleet_model &Model);

} // namespace magnolia::benchmarks
