#include "Instance/StopPlan.h"

#include <array>

namespace magnolia::instance {
namespace {

constexpr std::array<std::string_view, static_cast<size_t>(stop_step::Count)>
    StepNames = {"serving", "announcing", "serving_kept", "finishing", "done"};

} // namespace

std::string_view nameOf(stop_step Step) {
  return StepNames[static_cast<size_t>(Step)];
}

void stop_plan::enter(stop_step Next, boot_time Now) {
  Step = Next;
  EnteredAt = Now;
}

void stop_plan::begin(boot_time Now) {
  if (Step != stop_step::Serving)
    return;
  StartedAt = Now;
  enter(stop_step::Announcing, Now);
}

stop_step stop_plan::advance(const stop_progress &Progress, boot_time Now) {
  if (Step == stop_step::Announcing &&
      (Progress.PeersConfirmed || Now - StartedAt >= Settings.AnnounceTimeout))
    enter(stop_step::ServingKept, Now);
  // No directory response that lists this instance is newer than this step.
  if (Step == stop_step::ServingKept &&
      Now - EnteredAt >= Settings.DirectoryTtl + Settings.Slack)
    enter(stop_step::Finishing, Now);
  const bool Returned =
      Progress.RightsReturned || Now - StartedAt >= Settings.ReturnTimeout;
  if (Step == stop_step::Finishing && Returned &&
      Progress.RequestsInFlight == 0)
    enter(stop_step::Done, Now);
  return Step;
}

} // namespace magnolia::instance
