#pragma once

#include <memory>
#include <string>

#include "Net/Event/EventLoop.h"
#include "Net/Event/TcpStream.h"

namespace magnolia::message::testing {

/// A peer that sends and receives raw bytes.
class raw_peer {
public:
  /// Connects to \p Address.
  raw_peer(event::event_loop &Loop, const std::string &Address);
  /// Takes ownership of an accepted descriptor.
  raw_peer(event::event_loop &Loop, int Descriptor);

  void send(std::string_view Bytes) { Stream->write(Bytes); }
  void pauseReading(bool Paused) { Stream->pauseReading(Paused); }
  void finish() { Stream->finishWriting(); }
  void close() { Stream->close(); }
  /// Ends the connection with a reset.
  void reset();

  std::string Received;
  bool Ended = false;

private:
  event::stream_hooks hooks();

  std::shared_ptr<event::tcp_stream> Stream;
};

} // namespace magnolia::message::testing
