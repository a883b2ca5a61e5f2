#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include "Common/Time.h"
#include "Common/TimerService.h"
#include "Net/Peer/PeerSession.h"
#include "Net/Peer/PeerSocket.h"
#include "Net/Peer/PeerTable.h"

namespace magnolia::net {

/// The event loop thread of a transport. It serves the listener, the incoming
/// connections and one outgoing connection per peer with epoll.
class peer_loop {
public:
  static absl::StatusOr<std::unique_ptr<peer_loop>>
  create(unique_fd Listener, std::string InstanceName,
         peer_transport::message_hook OnMessage, const peer_options &Options,
         peer_table &Table);

  /// Stops and joins the thread.
  ~peer_loop();
  peer_loop(const peer_loop &) = delete;
  peer_loop &operator=(const peer_loop &) = delete;

  /// Wakes the thread after a change of the table or to stop it.
  void wake();

  /// Adds the counters that the loop maintains: received messages, rejected
  /// streams and connections, bytes and wakeups.
  void addTo(peer_counters &Counters) const;

private:
  /// One socket with its session. Peer is empty for an incoming connection.
  struct connection {
    uint64_t Id = 0;
    unique_fd Socket;
    std::unique_ptr<peer_session> Session;
    std::string Peer;
    std::string Output;
    size_t OutputWritten = 0;
    common::boot_time LastReceived;
    common::boot_time LastPing;
    bool Connecting = false;
    bool AwaitsWritable = false;
  };

  /// The state of one peer that outlives its connections.
  struct link {
    uint64_t ConnectionId = 0;
    uint32_t Failures = 0;
    common::timer_service::subscription Retry = 0;
  };

  peer_loop(unique_fd Listener, unique_fd Epoll, unique_fd WakeEvent,
            std::string InstanceName, peer_transport::message_hook OnMessage,
            const peer_options &Options, peer_table &Table);

  void run();
  void dispatch(uint64_t Id, uint32_t Events);
  void drainWakeEvent();
  void acceptAll();
  void addIncoming(unique_fd Socket);
  void updateChangedLinks();

  void connectLink(const std::string &Peer);
  void scheduleRetry(const std::string &Peer, link &Link);
  void dropLink(const std::string &Peer);
  void finishConnect(connection &Connection);
  void pump(connection &Connection);

  bool readSome(connection &Connection);
  bool writeAll(connection &Connection);
  bool writeBuffered(connection &Connection);
  void watch(connection &Connection, int Operation);
  void closeConnection(uint64_t Id);

  void checkLiveness();
  bool isTimedOut(const connection &Connection) const;
  bool needsPing(const connection &Connection) const;

  unique_fd Listener;
  unique_fd Epoll;
  unique_fd WakeEvent;
  std::string InstanceName;
  peer_transport::message_hook OnMessage;
  peer_options Options;
  peer_table &Table;

  common::boot_time Now;
  common::timer_service Timers;
  std::mt19937_64 Random{std::random_device{}()};
  uint64_t NextId;
  size_t IncomingCount = 0;
  absl::flat_hash_map<uint64_t, std::unique_ptr<connection>> Connections;
  absl::flat_hash_map<std::string, link> Links;

  std::atomic<bool> Stopping = false;
  std::atomic<uint64_t> Received = 0;
  std::atomic<uint64_t> Rejected = 0;
  std::atomic<uint64_t> BytesSent = 0;
  std::atomic<uint64_t> Wakeups = 0;
  std::atomic<uint64_t> BytesReceived = 0;
  std::thread Thread;
};

} // namespace magnolia::net
