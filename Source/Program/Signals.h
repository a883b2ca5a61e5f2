#pragma once

#include <csignal>

/// Signals taken synchronously by one thread, so that no code runs in a signal
/// handler.
namespace magnolia::program {

enum class signal_event { Stop, Reload };

/// Blocks SIGTERM, SIGINT and SIGHUP for this thread and those it starts, and
/// ignores SIGPIPE. Call before any other thread starts.
void blockSignals();

/// Waits for one of the blocked signals.
signal_event awaitSignal();

} // namespace magnolia::program
