#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <absl/status/status.h>

/// A TCP proxy that makes the network fail in chosen ways while it runs.
namespace magnolia::stand_ins {

/// How one link fails at present. "Up" is from the side that connects to the
/// side that listens.
struct link_faults {
  std::chrono::microseconds DelayUp{0};
  std::chrono::microseconds DelayDown{0};
  /// Bytes of one direction are swallowed and connections stay open. What a
  /// connection loses is lost for good, also after the cut.
  bool CutUp = false;
  bool CutDown = false;
  /// Nothing moves, and goes on where it was afterwards.
  bool Freeze = false;
  /// New connections are refused.
  bool Refuse = false;
  /// Closes a connection when the first bytes come down, instead of passing
  /// them on.
  bool DropReplies = false;
};

/// A change of one link. Reset ends all connections at once, with a reset.
struct link_command {
  link_faults Faults;
  bool Reset = false;
  /// Where later connections go, "IPv4:port"; empty: as before.
  std::string Forward;
};

/// Reads {"delay_up_ms": 5, "cut_down": true, "reset": true,
/// "forward": "127.0.0.1:80", ...} over \p
/// Command; what is not named stays. "clear": true first ends all faults.
absl::Status applyJson(std::string_view Json, link_command &Command);

/// The faults in the form that applyJson reads.
std::string toJson(const link_faults &Faults);

} // namespace magnolia::stand_ins
