#pragma once

namespace magnolia::placement {

/// Learns how the gray targets of a deployment fail: they reset requests at
/// once, or they accept requests and never respond. In the second case a target
/// that accepts a request has shown nothing, and only the missing response
/// shows that it is gray; how much it shows depends on how often healthy
/// targets are as slow, above all under load. Load pattern: a third of the
/// targets are gray at any time, and all of them fail in the same way, which
/// differs between deployments. Not thread-safe.
class failure_mode {
public:
  /// Records a failed request; \p AfterAcceptance: it had been accepted and got
  /// no response by its deadline, instead of a reset at once.
  void observe(bool AfterAcceptance);

  /// Records a successful response; \p Late: its request had stalled before.
  void observeResponse(bool Late);

  /// Whether gray targets mostly accept requests and never respond.
  bool targetsHang() const;

  /// Recent failures of each kind, the latest with the weight one and earlier
  /// ones with less.
  double recentHangs() const { return Hangs; }
  double recentResets() const { return Resets; }

  /// Fraction of the recent responses that came after a stall; above zero.
  double lateFraction() const { return LateFraction; }

private:
  // Weights of recent failures.
  double Resets = 0;
  double Hangs = 0;
  double LateFraction = 0.08;
};

} // namespace magnolia::placement
