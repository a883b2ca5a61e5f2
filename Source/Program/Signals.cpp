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

signal_event awaitSignal() {
  const sigset_t Set = handledSignals();
  int Signal = 0;
  while (sigwait(&Set, &Signal) != 0) {
  }
  return Signal == SIGHUP ? signal_event::Reload : signal_event::Stop;
}

} // namespace magnolia::program
