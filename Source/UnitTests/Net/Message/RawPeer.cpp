#include "RawPeer.h"

#include "Net/Event/Address.h"

namespace magnolia::message::testing {

raw_peer::raw_peer(event::event_loop &Loop, const std::string &Address) {
  auto Connected =
      event::tcp_stream::connect(Loop, *event::parseAddress(Address), hooks());
  Stream = std::move(*Connected);
}

raw_peer::raw_peer(event::event_loop &Loop, int Descriptor)
    : Stream(event::tcp_stream::adopt(Loop, Descriptor, hooks())) {}

event::stream_hooks raw_peer::hooks() {
  event::stream_hooks Hooks;
  Hooks.OnBytes = [this](std::string_view Bytes) { Received += Bytes; };
  Hooks.OnEnd = [this](event::stream_end) { Ended = true; };
  return Hooks;
}

void raw_peer::reset() { Stream->closeWithReset(); }

} // namespace magnolia::message::testing
