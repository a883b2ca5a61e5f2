#pragma once

#include <chrono>
#include <csignal>

/// Synchronous handling of signals by one thread, so that no code runs in a
/// signal handler.
namespace magnolia::program {

enum class signal_event { Stop, Reload, None };

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and the threads it starts,
/// and ignores SIGPIPE. Call before any other thread is started.
void blockSignals();

/// Waits for one of the blocked signals; None if there is none within \p
/// Timeout.
signal_event awaitSignal(std::chrono::milliseconds Timeout);

} // namespace magnolia::program
