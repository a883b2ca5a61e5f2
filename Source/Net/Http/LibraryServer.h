#pragma once

#include <atomic>

#include <httplib.h>

#include "Net/Http/Connection.h"
#include "Net/Http/HttpServer.h"

namespace magnolia::http {

/// Runs cpp-httplib's parser and writer of messages for one request at a time
/// on connections that the event loop passes to it.
class library_server : private httplib::Server {
public:
  library_server(const http_server_options &Options,
                 http_server::handler Handler,
                 http_server::refusal_builder RefusalBuilder);

  using watch_disconnect = std::function<void()>;

  /// Serves the request whose head is buffered in \p Connection.
  /// \p WatchDisconnect makes the event loop watch for the caller's
  /// disconnect. False if the connection must be closed.
  bool serveOne(connection &Connection,
                const watch_disconnect &WatchDisconnect);

  /// From now on every response, also to requests in flight, closes its
  /// connection.
  void beginDrain() { Draining = true; }

  /// Sends the error response to a request whose head was refused; the
  /// connection must then be closed.
  void refuseHead(connection &Connection, const absl::Status &Status);

private:
  class exchange;
  struct context;

  bool processRequest(context &Context, bool CloseConnection);
  void prepareRequest(context &Context, httplib::Request &Request) const;
  void runHandler(context &Context, httplib::Response &Response,
                  const httplib::ContentReader *Reader);
  HandlerResponse preRoute(httplib::Response &Response);
  HandlerResponse onError(httplib::Response &Response);

  /// The request that this thread serves; the library's callbacks have no
  /// parameter for it.
  static thread_local context *Current;

  const http_server_options Options;
  const http_server::handler Handler;
  const http_server::refusal_builder RefusalBuilder;
  std::atomic<bool> Draining{false};
};

} // namespace magnolia::http
