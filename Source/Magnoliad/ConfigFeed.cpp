#include "Magnoliad/ConfigFeed.h"

namespace magnolia::daemon {

config_feed::config_feed(platform::services Services, apply_hook Apply)
    : Store(std::move(Services)), Apply(std::move(Apply)) {}

absl::Status config_feed::poll(common::boot_time Now) {
  const auto Head = Store.readHead();
  if (!Head.ok())
    return Head.status();
  const contract::snapshot_ptr Old = Current.load();
  const uint64_t OldVersion = Old ? Old->version() : 0;
  if (Head->Version > OldVersion) {
    auto Configuration = Store.load(*Head);
    if (!Configuration.ok())
      return Configuration.status();
    auto New =
        std::make_shared<const contract::snapshot>(std::move(*Configuration));
    Current.store(New);
    Apply(New);
  }
  // The answer can be as old as the question.
  ConfirmedAt.store(Now);
  return absl::OkStatus();
}

} // namespace magnolia::daemon
