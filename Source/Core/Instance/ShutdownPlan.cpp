#include "Instance/ShutdownPlan.h"

#include <array>

namespace magnolia::instance {
namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(shutdown_step::Count)>
    StepNames = {"serving", "announcing", "serving_kept", "finishing", "done"};

} // namespace

std::string_view nameOf(shutdown_step Step) {
  return StepNames[static_cast<size_t>(Step)];
}

void shutdown_plan::enter(shutdown_step Next, boot_time Now) {
  Step = Next;
  EnteredAt = Now;
}

void shutdown_plan::begin(boot_time Now) {
  if (Step != shutdown_step::Serving)
    return;
  StartedAt = Now;
  enter(shutdown_step::Announcing, Now);
}

shutdown_step shutdown_plan::advance(const shutdown_progress &Progress,
                                     boot_time Now) {
  if (Step == shutdown_step::Announcing &&
      (Progress.PeersConfirmed || Now - StartedAt >= Settings.AnnounceTimeout))
    enter(shutdown_step::ServingKept, Now);
  // No directory response that lists this instance is newer than this step.
  if (Step == shutdown_step::ServingKept &&
      Now - EnteredAt >= Settings.DirectoryTtl + Settings.Slack)
    enter(shutdown_step::Finishing, Now);
  const bool Returned =
      Progress.RightsReturned || Now - StartedAt >= Settings.ReturnTimeout;
  if (Step == shutdown_step::Finishing && Returned &&
      Progress.RequestsInFlight == 0)
    enter(shutdown_step::Done, Now);
  return Step;
}

} // namespace magnolia::instance
