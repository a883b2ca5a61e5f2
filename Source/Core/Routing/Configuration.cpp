#include "Routing/Configuration.h"

namespace magnolia::routing {

std::string_view nameOf(unreadable_effect Effect) {
  switch (Effect) {
  case unreadable_effect::VersionRejected:
    return "version_rejected";
  case unreadable_effect::EntryClosed:
    return "entry_closed";
  case unreadable_effect::ValueAdjusted:
    return "value_adjusted";
  case unreadable_effect::ValueOmitted:
    break;
  }
  return "value_omitted";
}

} // namespace magnolia::routing
