#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "Net/Http/Message.h"

/// HTTP/1.1 server for callers: cpp-httplib parses and writes the messages, an
/// event loop watches idle connections so that they need no thread.
namespace magnolia::http {

/// A request and its response; valid while the handler runs.
class http_exchange {
public:
  virtual ~http_exchange() = default;

  virtual const request_head &request() const = 0;

  /// Whether a body follows, and its length in bytes if the caller declared it.
  virtual bool hasBody() const = 0;
  virtual std::optional<uint64_t> bodyLength() const = 0;

  /// Reads the body into \p Sink; false if it is incomplete or the sink stopped
  /// the transfer.
  virtual bool readBody(const byte_sink &Sink) = 0;

  /// Calls \p Hook from another thread if the caller closes its connection
  /// before the response is finished.
  virtual void onCallerDisconnect(std::function<void()> Hook) = 0;

  /// Sets the response; the last call counts. It is sent after the handler
  /// returned.
  virtual void respond(buffered_response Buffered) = 0;
  virtual void respond(streamed_response Streamed) = 0;

  /// Closes the connection after this response.
  virtual void closeAfterResponse() = 0;
};

/// Limits of a server, with their defaults.
struct http_server_options {
  /// "IPv4:port"; port 0 lets the system choose.
  std::string Address = "127.0.0.1:0";
  /// Request line and headers together.
  size_t MaxHeadBytes = 16 * size_t{1024};
  /// Requests served at the same time.
  size_t MaxThreads = 512;
  /// Connections above this are closed at once.
  size_t MaxConnections = 20000;
  std::chrono::milliseconds IdleTimeout{60'000};
  /// From the first byte of a head to its end.
  std::chrono::milliseconds HeadTimeout{10'000};
  /// Longest wait for progress while a body is read or written.
  std::chrono::milliseconds BodyTimeout{10'000};
};

/// An HTTP server that runs its handler on a pool of threads, so that the
/// handler may block. message::http_server serves on an event loop instead.
class http_server {
public:
  using handler = std::function<void(http_exchange &Exchange)>;
  /// Builds the response to a request that could not be parsed.
  using refusal_builder =
      std::function<buffered_response(const absl::Status &Status)>;

  /// Binds and listens; connections wait in the backlog until start().
  static absl::StatusOr<std::unique_ptr<http_server>>
  create(http_server_options Options, handler Handler,
         refusal_builder RefusalBuilder);

  /// Starts to serve.
  void start();

  /// Closes all connections at once; call finish() before for a graceful
  /// shutdown.
  ~http_server();

  /// The bound address, "IPv4:port".
  const std::string &address() const;

  /// From now on every response has "Connection: close".
  void beginDrain();

  /// Stops accepting and begins to drain. Waits, at most for \p Limit, until no
  /// request is in flight and none was served for \p MinIdle. True if no
  /// request in flight is cut off.
  bool finish(std::chrono::milliseconds MinIdle,
              std::chrono::milliseconds Limit);

  size_t openConnections() const;
  size_t busyConnections() const;

private:
  class impl;
  explicit http_server(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace magnolia::http
