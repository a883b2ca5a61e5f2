#pragma once

#include <chrono>
#include <csignal>

/// Signals taken synchronously by one thread, so that no code runs in a signal
/// handler.
namespace magnolia::program {

enum class signal_event { Stop, Reload, None };

/// Blocks SIGTERM, SIGINT and SIGHUP for this thread and those it starts, and
/// ignores SIGPIPE. Call before any other thread starts.
void blockSignals();

/// Waits for one of the blocked signals; None when none came within \p Timeout.
signal_event awaitSignal(std::chrono::milliseconds Timeout);

} // namespace magnolia::program
