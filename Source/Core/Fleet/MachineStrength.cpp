#include "Fleet/MachineStrength.h"

#include <algorithm>

namespace magnolia::fleet {
namespace {

bool isHalf(uint32_t Value, uint32_t Largest) {
  return Value >= Largest - Largest / 2;
}

} // namespace

void strength_classes::add(const machine_strength &Strength) {
  Largest.Millicores = std::max(Largest.Millicores, Strength.Millicores);
  Largest.LinkKbits = std::max(Largest.LinkKbits, Strength.LinkKbits);
}

bool strength_classes::isStrong(const machine_strength &Strength) const {
  return isHalf(Strength.Millicores, Largest.Millicores) &&
         isHalf(Strength.LinkKbits, Largest.LinkKbits);
}

} // namespace magnolia::fleet
