#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// A target that sends given bytes, including responses that an HTTP library
/// would not produce.
namespace magnolia::test {

/// One accepted connection.
class scripted_connection {
public:
  explicit scripted_connection(int Descriptor) : Descriptor(Descriptor) {}
  ~scripted_connection();
  scripted_connection(const scripted_connection &) = delete;
  scripted_connection &operator=(const scripted_connection &) = delete;

  /// Reads up to and including the blank line after the head.
  std::string readHead();
  /// Reads \p Size bytes, or fewer if the other side closes the connection.
  std::string readBytes(size_t Size);
  void send(std::string_view Bytes);
  /// Blocks until the other side closes or resets the connection; false after
  /// ten seconds.
  bool awaitClose();
  /// Closes the connection with a reset.
  void reset();
  /// Releases ownership of the open connection; the caller must close the
  /// returned descriptor.
  int release() { return std::exchange(Descriptor, -1); }
  /// Shuts down the connection, which ends blocked reads of the script.
  void shutdown();

private:
  int Descriptor;
};

/// Runs the n-th script on the n-th connection, one connection at a time. The
/// last script serves all further connections.
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
  /// The connection of the running script; shut down with the server.
  scripted_connection *Current = nullptr;
  std::thread Thread;
};

/// An address without a listener.
std::string unusedAddress();

} // namespace magnolia::test
