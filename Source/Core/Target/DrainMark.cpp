#include "Target/DrainMark.h"

#include <tuple>

namespace magnolia::target {

bool drain_mark::merge(const drain_mark &Other) {
  if (std::tie(Other.Incarnation, Other.Sequence, Other.Draining) <=
      std::tie(Incarnation, Sequence, Draining))
    return false;
  *this = Other;
  return true;
}

bool drain_mark::report(bool IsDraining, uint64_t ReportedIncarnation) {
  if (ReportedIncarnation != 0 && ReportedIncarnation < Incarnation)
    return false;
  if (ReportedIncarnation > Incarnation) {
    *this = {ReportedIncarnation, 0, IsDraining};
    return true;
  }
  if (IsDraining == Draining)
    return false;
  Draining = IsDraining;
  ++Sequence;
  return true;
}

bool drain_mark::reportLate(bool IsDraining, uint64_t ReportedIncarnation) {
  if (!IsDraining && ReportedIncarnation <= Incarnation)
    return false;
  return report(IsDraining, ReportedIncarnation);
}

} // namespace magnolia::target
