#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// A target that answers with chosen bytes, for what no library would send.
namespace magnolia::test {

/// One accepted connection.
class scripted_connection {
public:
  explicit scripted_connection(int Descriptor) : Descriptor(Descriptor) {}
  ~scripted_connection();
  scripted_connection(const scripted_connection &) = delete;
  scripted_connection &operator=(const scripted_connection &) = delete;

  /// Reads through the blank line after the head.
  std::string readHead();
  /// Reads exactly \p Size bytes unless the peer closes.
  std::string readBytes(size_t Size);
  void send(std::string_view Bytes);
  /// Blocks until the peer closes or resets; false after ten seconds.
  bool awaitClose();
  /// Closes with a reset.
  void reset();
  /// Leaves the connection open without a reader; the caller of this closes
  /// the returned descriptor.
  int release() { return std::exchange(Descriptor, -1); }
  /// Ends blocked reads of the script.
  void shutdown();

private:
  int Descriptor;
};

/// Runs the n-th script on the n-th connection, one after another; the last
/// one serves all further connections.
class scripted_server {
public:
  using script = std::function<void(scripted_connection &)>;

  explicit scripted_server(std::vector<script> Scripts);
  ~scripted_server();

  const std::string &address() const { return Address; }
  int connections() const { return Connections.load(); }

private:
  void serve();
  void setCurrent(scripted_connection *Connection);

  std::vector<script> Scripts;
  std::string Address;
  int Listener;
  std::atomic<int> Connections = 0;
  std::mutex Mutex;
  bool Stopping = false;
  /// The connection that a script runs on, to be ended with the server.
  scripted_connection *Current = nullptr;
  std::thread Thread;
};

/// An address on which nobody listens.
std::string unusedAddress();

} // namespace magnolia::test
