#include "Request/RefusalPlan.h"

#include <algorithm>

namespace magnolia::request {

after_refusal decideAfterRefusal(const refusal_limits &Limits,
                                 const refused_request &Request) {
  size_t Limit = Request.LoadIsTold ? Limits.IfLoadIsTold : Limits.Usual;
  if (!Request.HasRoom || Request.YieldsRoom)
    Limit = std::min(Limit, Limits.WithoutRoom);
  if (Request.Refusals >= Limit)
    return after_refusal::GiveUp;
  return Request.HasRoom && Request.HasUntriedTarget ? after_refusal::SendNow
                                                     : after_refusal::SendLater;
}

} // namespace magnolia::request
