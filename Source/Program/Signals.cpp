#include "Program/Signals.h"

namespace magnolia::program {
namespace {

sigset_t handledSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGHUP);
  return Set;
}

} // namespace

void blockSignals() {
  const sigset_t Set = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

signal_event awaitSignal(std::chrono::milliseconds Timeout) {
  const sigset_t Set = handledSignals();
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(Timeout);
  timespec Wait{};
  Wait.tv_sec = Seconds.count();
  Wait.tv_nsec = std::chrono::nanoseconds(Timeout - Seconds).count();
  const int Signal = sigtimedwait(&Set, nullptr, &Wait);
  if (Signal < 0)
    return signal_event::None;
  return Signal == SIGHUP ? signal_event::Reload : signal_event::Stop;
}

} // namespace magnolia::program
