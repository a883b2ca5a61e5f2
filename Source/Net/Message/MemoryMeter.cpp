#include "Net/Message/MemoryMeter.h"

#include <utility>

namespace magnolia::message {
namespace {

/// How long the largest message without a length waits for room.
constexpr std::chrono::milliseconds GiveUpAfter{100};

} // namespace

bool memory_meter::acquire(size_t Bytes, bool KnowsLength) {
  if (!Shares)
    return true;
  if (!Holding)
    Holding = Shares->open(Owner);
  LengthKnown = KnowsLength;
  if (Holding->tryGrowTo(Bytes)) {
    stopWaiting();
    return true;
  }
  wait();
  return false;
}

void memory_meter::wait() {
  if (!Waiting) {
    Waiting = std::make_shared<bool>(true);
    armGiveUp();
  }
  Holding->wait([this, Weak = std::weak_ptr(Waiting)] {
    if (!Weak.expired())
      Hooks.OnRoom();
  });
}

void memory_meter::armGiveUp() {
  GiveUpTimer = Loop.callAfter(GiveUpAfter, [this] {
    if (!LengthKnown && Holding->isLargest())
      Hooks.OnGiveUp();
    else
      armGiveUp();
  });
}

void memory_meter::stopWaiting() {
  if (!Waiting)
    return;
  Waiting.reset();
  Loop.cancel(GiveUpTimer);
}

std::shared_ptr<admission::memory_shares::holding> memory_meter::take() {
  stopWaiting();
  if (!Holding)
    return nullptr;
  Holding->setComplete();
  return std::shared_ptr<admission::memory_shares::holding>(
      std::exchange(Holding, nullptr));
}

void memory_meter::release() {
  stopWaiting();
  Holding.reset();
}

} // namespace magnolia::message
