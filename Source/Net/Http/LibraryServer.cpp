#include "Net/Http/LibraryServer.h"

#include <absl/strings/numbers.h>

#include "Common/ErrorKind.h"
#include "Net/Http/HeadInspector.h"

namespace magnolia::http {
namespace {

/// Further requests per connection that the library announces to callers.
constexpr size_t MaxKeepAliveRequests = 1'000'000;

/// Parsed in place of a refused head, so that the library writes the error
/// response.
constexpr std::string_view PlaceholderHead = "GET / HTTP/1.1\r\n\r\n";

/// The only path that the library sees; the handler does the routing.
constexpr const char *AnyPath = "/";

/// Headers that the library needs to read the body and to keep the connection.
/// It would act on others (ranges, compression, forms) instead of the target.
bool libraryNeeds(std::string_view Name) {
  return sameHeader(Name, "Content-Length") ||
         sameHeader(Name, "Transfer-Encoding") ||
         sameHeader(Name, "Connection");
}

/// Headers of a response that the library sets itself.
bool describesFraming(std::string_view Name) {
  return sameHeader(Name, "Content-Length") ||
         sameHeader(Name, "Transfer-Encoding") ||
         sameHeader(Name, "Connection") || sameHeader(Name, "Keep-Alive");
}

/// Adapts a connection to the library's stream interface.
class connection_stream : public httplib::Stream {
public:
  connection_stream(connection &Connection, std::chrono::milliseconds Timeout)
      : Connection(Connection), Timeout(Timeout) {}

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }

  ssize_t read(char *Bytes, size_t Size) override {
    return Connection.read(Bytes, Size, Timeout);
  }
  ssize_t write(const char *Bytes, size_t Size) override {
    return Connection.write(Bytes, Size, Timeout);
  }
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    Ip = Connection.caller().substr(0, Connection.caller().rfind(':'));
    Port = portOf(Connection.caller());
  }
  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    Ip.clear();
    Port = 0;
  }
  socket_t socket() const override { return Connection.socket(); }

private:
  connection &Connection;
  const std::chrono::milliseconds Timeout;
};

std::string contentTypeOf(const header_list &Headers) {
  const auto Type = findHeader(Headers, "Content-Type");
  return std::string(Type.value_or("application/octet-stream"));
}

} // namespace

struct library_server::context {
  context(connection &Connection, const watch_disconnect *WatchDisconnect)
      : Connection(Connection), WatchDisconnect(WatchDisconnect) {}

  connection &Connection;
  const watch_disconnect *WatchDisconnect;
  request_head Head;
  std::optional<uint64_t> BodyLength;
  bool HasBody = false;
  bool BodyRead = false;
  bool Responded = false;
  absl::Status HeadError;
};

thread_local library_server::context *library_server::Current = nullptr;

namespace {

/// Sends the body of \p Streamed; false unless it is complete and has the
/// declared length.
bool produceBody(const streamed_response &Streamed, httplib::DataSink &Sink) {
  uint64_t Sent = 0;
  const bool Complete = Streamed.Produce([&](std::string_view Bytes) {
    Sent += Bytes.size();
    if (Streamed.Length && Sent > *Streamed.Length)
      return false;
    return Sink.write(Bytes.data(), Bytes.size());
  });
  return Complete && (!Streamed.Length || Sent == *Streamed.Length);
}

} // namespace

/// Implements the exchange with the library's response and reader.
class library_server::exchange : public http_exchange {
public:
  exchange(context &Context, httplib::Response &Response,
           const httplib::ContentReader *Reader)
      : Context(Context), Response(Response), Reader(Reader) {}

  const request_head &request() const override { return Context.Head; }
  bool hasBody() const override { return Context.HasBody; }
  std::optional<uint64_t> bodyLength() const override {
    return Context.BodyLength;
  }

  bool readBody(const byte_sink &Sink) override {
    if (!Reader)
      return true;
    const bool Complete = (*Reader)([&](const char *Bytes, size_t Size) {
      return Sink(std::string_view(Bytes, Size));
    });
    Context.BodyRead = Complete;
    return Complete;
  }

  void onCallerDisconnect(std::function<void()> Hook) override {
    Context.Connection.setDisconnectHook(std::move(Hook));
    if (Context.WatchDisconnect)
      (*Context.WatchDisconnect)();
  }

  void respond(buffered_response Buffered) override {
    startResponse(Buffered.Status, Buffered.Headers);
    Response.body = std::move(Buffered.Body);
  }

  void respond(streamed_response Streamed) override {
    startResponse(Streamed.Status, Streamed.Headers);
    if (Streamed.Length == 0u)
      return;
    const std::string Type = contentTypeOf(Streamed.Headers);
    const auto Shared =
        std::make_shared<streamed_response>(std::move(Streamed));
    // The library adds the content type itself; it would be sent twice.
    Response.headers.erase("Content-Type");
    if (Shared->Length)
      setSized(Shared, Type);
    else
      setChunked(Shared, Type);
  }

  void closeAfterResponse() override { Context.Connection.MustClose = true; }

private:
  using shared_response = std::shared_ptr<streamed_response>;

  void startResponse(int Status, const header_list &Headers) {
    Context.Responded = true;
    Response.status = Status;
    Response.body.clear();
    Response.headers.clear();
    for (const auto &[Name, Value] : Headers)
      if (!describesFraming(Name))
        Response.headers.emplace(Name, Value);
  }

  // The providers run after the handler returned and this object is destroyed.

  void setSized(const shared_response &Streamed, const std::string &Type) {
    auto *const Connection = &Context.Connection;
    Response.set_content_provider(
        *Streamed->Length, Type,
        [Streamed, Connection](size_t, size_t, httplib::DataSink &Sink) {
          const bool Complete = produceBody(*Streamed, Sink);
          Connection->MustClose = Connection->MustClose || !Complete;
          return Complete;
        });
  }

  void setChunked(const shared_response &Streamed, const std::string &Type) {
    auto *const Connection = &Context.Connection;
    Response.set_chunked_content_provider(
        Type, [Streamed, Connection](size_t, httplib::DataSink &Sink) {
          const bool Complete = produceBody(*Streamed, Sink);
          Connection->MustClose = Connection->MustClose || !Complete;
          if (Complete)
            Sink.done();
          return Complete;
        });
  }

  context &Context;
  httplib::Response &Response;
  const httplib::ContentReader *Reader;
};

library_server::library_server(const http_server_options &Options,
                               http_server::handler Handler,
                               http_server::refusal_builder RefusalBuilder)
    : Options(Options), Handler(std::move(Handler)),
      RefusalBuilder(std::move(RefusalBuilder)) {
  // The library treats an invalid listening socket as a shutdown and would stop
  // sending bodies; it does not use the number for anything else here.
  svr_sock_ = 0;
  set_keep_alive_max_count(MaxKeepAliveRequests);
  set_keep_alive_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(Options.IdleTimeout)
          .count());
  set_pre_routing_handler(
      [this](const httplib::Request &, httplib::Response &Response) {
        return preRoute(Response);
      });
  const auto WithBody = [this](const httplib::Request &,
                               httplib::Response &Response,
                               const httplib::ContentReader &Reader) {
    runHandler(*Current, Response, &Reader);
  };
  Post(AnyPath, WithBody);
  Put(AnyPath, WithBody);
  Patch(AnyPath, WithBody);
  set_error_handler(HandlerWithResponse(
      [this](const httplib::Request &, httplib::Response &Response) {
        return onError(Response);
      }));
}

void library_server::prepareRequest(context &Context,
                                    httplib::Request &Request) const {
  request_head &Head = Context.Head;
  Head.Method = Request.method;
  Head.Target = Request.target;
  Head.Path = Request.target.substr(0, Request.target.find('?'));
  Head.Caller = Context.Connection.caller();

  uint64_t Length = 0;
  const auto Declared = findHeader(Head.Headers, "Content-Length");
  if (Declared &&
      absl::SimpleAtoi(absl::string_view(Declared->data(), Declared->size()),
                       &Length))
    Context.BodyLength = Length;
  Context.HasBody =
      Length > 0 || findHeader(Head.Headers, "Transfer-Encoding").has_value();

  Request.path = AnyPath;
  Request.ranges.clear();
  std::erase_if(Request.headers,
                [](const auto &Pair) { return !libraryNeeds(Pair.first); });
}

library_server::HandlerResponse
library_server::preRoute(httplib::Response &Response) {
  context &Context = *Current;
  if (!Context.HeadError.ok()) {
    exchange(Context, Response, nullptr)
        .respond(RefusalBuilder(Context.HeadError));
    return HandlerResponse::Handled;
  }
  // The library would read a body without a length to the end of the stream.
  if (Context.HasBody)
    return HandlerResponse::Unhandled;
  runHandler(Context, Response, nullptr);
  return HandlerResponse::Handled;
}

void library_server::runHandler(context &Context, httplib::Response &Response,
                                const httplib::ContentReader *Reader) {
  exchange Exchange(Context, Response, Reader);
  Handler(Exchange);
  if (Draining) {
    Response.set_header("Connection", "close");
    Context.Connection.MustClose = true;
  }
  // The unread rest of a body would be parsed as the next request.
  if (Context.HasBody && !Context.BodyRead) {
    Context.Connection.HasUnreadBody = true;
    Context.Connection.MustClose = true;
  }
}

library_server::HandlerResponse
library_server::onError(httplib::Response &Response) {
  context &Context = *Current;
  if (Context.Responded)
    return HandlerResponse::Unhandled;
  // The library could not parse the request.
  constexpr int UriTooLong = 414;
  const auto Kind = Response.status == UriTooLong
                        ? common::error_kind::HeadersTooLarge
                        : common::error_kind::BadRequest;
  exchange(Context, Response, nullptr)
      .respond(RefusalBuilder(
          common::makeError(Kind, "the request cannot be read")));
  Context.Connection.HasUnreadBody = true;
  Context.Connection.MustClose = true;
  return HandlerResponse::Handled;
}

bool library_server::processRequest(context &Context, bool CloseConnection) {
  connection_stream Stream(Context.Connection, Options.BodyTimeout);
  bool Closed = false;
  Current = &Context;
  const bool Served = process_request(
      Stream, CloseConnection, Closed,
      [&](httplib::Request &Request) { prepareRequest(Context, Request); });
  Current = nullptr;
  Context.Connection.setDisconnectHook(nullptr);
  return Served && !Closed && !CloseConnection && !Context.Connection.MustClose;
}

bool library_server::serveOne(connection &Connection,
                              const watch_disconnect &WatchDisconnect) {
  context Context(Connection, &WatchDisconnect);
  Context.Head.Headers = readFields(Connection.head());
  return processRequest(Context, Draining);
}

void library_server::refuseHead(connection &Connection,
                                const absl::Status &Status) {
  Connection.replaceBuffer(PlaceholderHead);
  Connection.HasUnreadBody = true;
  context Context(Connection, nullptr);
  Context.HeadError = Status;
  processRequest(Context, /*CloseConnection=*/true);
}

} // namespace magnolia::http
