#pragma once

#include <cstdint>

namespace magnolia::fleet {

/// No machine has more: 1,024 cores and 1 Tbit/s.
inline constexpr uint32_t MaxMillicores = 1024 * 1000;
inline constexpr uint32_t MaxLinkKbits = 1000 * 1000 * 1000;

/// What the settings of an instance say of its machine; zero where they say
/// nothing.
struct machine_strength {
  /// Processor time in thousandths of one core.
  uint32_t Millicores = 0;
  /// Bandwidth of its link in kilobits per second.
  uint32_t LinkKbits = 0;

  friend bool operator==(const machine_strength &,
                         const machine_strength &) = default;
};

/// Tells the strong machines among some from the weak ones: those with at least
/// half of the processor and of the bandwidth of the strongest. All are strong
/// if they are alike or nothing is known of them. Load pattern: in each failure
/// domain two machines with half a core and 200 Mbit/s beside fifty with a
/// fourteenth of one and 10 Mbit/s, of which any one is to send each change of
/// the store to all others.
class strength_classes {
public:
  /// Adds a machine to those that are compared.
  void add(const machine_strength &Strength);

  bool isStrong(const machine_strength &Strength) const;

private:
  machine_strength Largest;
};

} // namespace magnolia::fleet
