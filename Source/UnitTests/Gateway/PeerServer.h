#pragma once

#include <map>
#include <memory>
#include <string>

#include "Net/Event/Listener.h"
#include "Net/Event/TcpStream.h"

namespace magnolia::gateway::testing {

/// How a peer answers those that fetch a table from it.
enum class peer_behavior : uint8_t {
  Serves,
  /// It accepts connections and sends nothing, as one that lost its power.
  Silent,
  /// It sends a byte now and then.
  Drips,
  SendsHalf,
  /// It sends bytes that are no table.
  SendsNonsense,
  HasNothing,
  IsBusy,
  Resets,
  RefusesConnections,
};

/// A peer from which tables are fetched, behind a real socket.
class peer_server {
public:
  peer_server(event::event_loop &Loop, peer_behavior Behavior);

  /// Sets the encoded content that it serves, by path.
  void setContent(const std::string &Path, std::string Content) {
    Contents[Path] = std::move(Content);
  }

  const std::string &address() const { return Address; }
  /// Requests received.
  size_t requests() const { return Requests; }
  peer_behavior Behavior;

private:
  using stream_ref = std::shared_ptr<event::tcp_stream>;

  void accept(int Descriptor);
  void onRequest(const stream_ref &Stream, std::string_view Request);
  void respond(const stream_ref &Stream, const std::string &Content);
  void drip(const stream_ref &Stream);

  event::event_loop &Loop;
  std::unique_ptr<event::listener> Listener;
  std::string Address;
  std::map<std::string, std::string> Contents;
  std::vector<stream_ref> Streams;
  size_t Requests = 0;
};

} // namespace magnolia::gateway::testing
