#pragma once

#include <functional>
#include <string>

#include <absl/status/statusor.h>

#include "Contract/Manifest.h"
#include "Platform/ConfigStore.h"
#include "Platform/Services.h"
#include "Routing/ConfigurationFormat.h"

namespace magnolia::ctl {

/// The configuration in force and the row that names it.
struct loaded_configuration {
  platform::config_head Head;
  contract::configuration Configuration;
};

/// Reads the configuration in force; Unavailable if the platform is.
absl::StatusOr<loaded_configuration>
loadConfiguration(const platform::services &Services);

using connect_hook = std::function<absl::StatusOr<platform::services>(
    const std::string &Address)>;

/// The format of manifests, whose version in force is in the platform that
/// \p Connect opens. Keys are no part of it.
routing::configuration_format manifestFormat(connect_hook Connect);

} // namespace magnolia::ctl
