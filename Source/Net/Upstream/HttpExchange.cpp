#include "Net/Upstream/HttpExchange.h"

#include <algorithm>
#include <array>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "Common/StringView.h"
#include "Net/Upstream/HeaderRules.h"

namespace magnolia::net {
namespace {

using common::boot_clock;
using common::error_kind;
using common::toAbsl;

constexpr int StatusServiceUnavailable = 503;
constexpr int StatusNotModified = 304;
constexpr size_t BodyBufferBytes = size_t{16} * 1024;

/// Maximum time to read the body of a target's refusal, so that the connection
/// can be reused.
constexpr std::chrono::milliseconds MaxRefusalReadTime{20};

/// Used if the caller sent none; cpp-httplib would insert its own name.
constexpr const char *UserAgent = "magnoliafall";

/// Headers that this component sets on requests, or that are exchanged between
/// target and instance only.
constexpr std::array<std::string_view, 5> ReservedHeaders = {
    RequestIdHeader, DeadlineHeader, NotRunHeader, DrainingHeader,
    "Content-Length"};

bool isReservedHeader(std::string_view Name) {
  return std::any_of(
      ReservedHeaders.begin(), ReservedHeaders.end(), [&](auto Reserved) {
        return absl::EqualsIgnoreCase(toAbsl(Name), toAbsl(Reserved));
      });
}

header_list endToEndHeaders(const header_list &Headers) {
  header_list Kept = withoutHopByHop(Headers);
  std::erase_if(Kept, [](const header_field &Field) {
    return isReservedHeader(Field.Name);
  });
  return Kept;
}

/// Runs an HTTP exchange of cpp-httplib on a connection that is already open.
class httplib_client : public httplib::ClientImpl {
public:
  explicit httplib_client(const std::string &Host) : ClientImpl(Host) {
    set_url_encode(false);
    set_decompress(false);
    set_follow_location(false);
  }

  bool exchange(httplib::Stream &Stream, httplib::Request &Request,
                httplib::Response &Response) {
    httplib::Error Error = httplib::Error::Success;
    return process_request(Stream, Request, Response, false, Error);
  }
};

header_list headersOf(const httplib::Response &Response) {
  header_list Headers;
  Headers.reserve(Response.headers.size());
  for (const auto &[Name, Value] : Response.headers)
    Headers.push_back({Name, Value});
  return Headers;
}

bool hasValue(const header_list &Headers, std::string_view Name,
              std::string_view Value) {
  return findHeader(Headers, Name) == Value;
}

} // namespace

http_exchange::http_exchange(const upstream_settings &Settings,
                             const upstream_request &Request,
                             response_channel &Channel)
    : Settings(Settings), Request(Request), Channel(Channel) {}

bool http_exchange::run(connection &Connection, const std::string &Address,
                        std::chrono::milliseconds RemainingTime) {
  socket_stream Stream(Connection, Settings.MaxResponseHeadBytes);
  httplib_client Client(Address.substr(0, Address.rfind(':')));
  httplib::Request LibraryRequest = buildRequest(RemainingTime);
  if (!LibraryRequest.has_header("Host"))
    LibraryRequest.headers.emplace("Host", Address);
  LibraryRequest.response_handler = [&](const httplib::Response &) {
    return receiveHead(Connection);
  };
  LibraryRequest.content_receiver = [&](const char *Bytes, size_t Size,
                                        uint64_t, uint64_t) {
    return receiveBody({Bytes, Size});
  };
  bool Complete = Client.exchange(Stream, LibraryRequest, Response);
  HeadStarted = Stream.headStarted();
  WrittenTime = Stream.firstRead();
  if (!Stream.headError().empty())
    return fail(error_kind::TargetBroken, Stream.headError());
  // cpp-httplib calls no handler for responses that never have a body.
  if (Complete && !headReceived())
    Complete = receiveHead(Connection);
  if (!Complete || !isComplete(Stream))
    return false;
  Reusable = !ClosesAfter && !Stream.hasLeftover() && Connection.isIdle();
  return !Refused;
}

httplib::Request
http_exchange::buildRequest(std::chrono::milliseconds RemainingTime) {
  httplib::Request LibraryRequest;
  LibraryRequest.method = Request.Method;
  LibraryRequest.path = Request.Path;
  for (const header_field &Field : endToEndHeaders(Request.Headers))
    LibraryRequest.headers.emplace(Field.Name, Field.Value);
  LibraryRequest.headers.emplace(RequestIdHeader, Request.RequestId);
  LibraryRequest.headers.emplace(DeadlineHeader,
                                 absl::StrCat(RemainingTime.count()));
  if (!LibraryRequest.has_header("User-Agent"))
    LibraryRequest.headers.emplace("User-Agent", UserAgent);
  addBody(LibraryRequest);
  return LibraryRequest;
}

void http_exchange::addBody(httplib::Request &LibraryRequest) {
  const bool Streamed = static_cast<bool>(Request.ReadBody);
  if (!Streamed && Request.Body.empty())
    return;
  LibraryRequest.is_chunked_content_provider_ = Streamed && !Request.BodyLength;
  if (LibraryRequest.is_chunked_content_provider_)
    LibraryRequest.headers.emplace("Transfer-Encoding", "chunked");
  else
    LibraryRequest.content_length_ =
        Streamed ? *Request.BodyLength : Request.Body.size();
  LibraryRequest.content_provider_ = [this](size_t Offset, size_t Length,
                                            httplib::DataSink &Sink) {
    if (Request.ReadBody)
      return provideBody(Length, Sink);
    return Sink.write(Request.Body.data() + Offset, Length);
  };
}

bool http_exchange::provideBody(size_t Remaining, httplib::DataSink &Sink) {
  std::array<char, BodyBufferBytes> Buffer;
  const bool Chunks = !Request.BodyLength;
  const size_t Limit =
      Chunks ? Buffer.size() : std::min(Buffer.size(), Remaining);
  const auto Count = Request.ReadBody({Buffer.data(), Limit});
  if (!Count.ok())
    return fail(error_kind::CallerGone, "the body of the request was cut");
  if (*Count > 0)
    return Sink.write(Buffer.data(), std::min(*Count, Limit));
  if (!Chunks)
    return fail(error_kind::CallerGone, "the body of the request is short");
  Sink.done();
  return true;
}

bool http_exchange::receiveHead(connection &Connection) {
  HeadTime = boot_clock::now();
  const header_list Headers = headersOf(Response);
  Draining = hasValue(Headers, DrainingHeader, "1");
  ClosesAfter = asksToClose(Headers) || Response.version != "HTTP/1.1";
  Failure = checkHead(Headers);
  if (Failure)
    return Failure->Kind == error_kind::TargetRefused &&
           prepareRefusalRead(Connection);
  response_head Head;
  Head.Status = Response.status;
  Head.Headers = endToEndHeaders(Headers);
  if (!Chunked)
    Head.BodyLength = BodyLength;
  if (Response.status == StatusNotModified) {
    // cpp-httplib would wait for a body, which a 304 response never has.
    Response.headers.erase("Transfer-Encoding");
    Response.headers.erase("Content-Length");
    Response.headers.emplace("Content-Length", "0");
  }
  Channel.pushHead(std::move(Head));
  return true;
}

std::optional<exchange_failure>
http_exchange::checkHead(const header_list &Headers) {
  const auto Id = findHeader(Headers, RequestIdHeader);
  if (Id && *Id != Request.RequestId)
    return exchange_failure{error_kind::AnswerMismatched,
                            "the answer belongs to another request"};
  if (!areHeadersValid(Headers))
    return exchange_failure{error_kind::TargetBroken,
                            "a header of the answer holds a control character"};
  const framing Framing =
      framingOf(Request.Method, Response.status, Headers, BodyLength);
  if (Framing == framing::Ambiguous)
    return exchange_failure{error_kind::TargetBroken,
                            "the length of the answer is ambiguous"};
  Chunked = Framing == framing::Chunked;
  // Without a request id this could be the refusal of another request.
  if (Response.status == StatusServiceUnavailable && Id.has_value() &&
      hasValue(Headers, NotRunHeader, "1"))
    return exchange_failure{error_kind::TargetRefused,
                            "the target did not run it"};
  if (BodyLength > Settings.MaxResponseBodyBytes)
    return exchange_failure{error_kind::AnswerTooLarge,
                            "the answer is too large"};
  return std::nullopt;
}

bool http_exchange::prepareRefusalRead(connection &Connection) {
  Refused = true;
  Connection.setDeadline(
      std::min(Request.Deadline, boot_clock::now() + MaxRefusalReadTime));
  return true;
}

bool http_exchange::receiveBody(std::string_view Bytes) {
  BodyReceived += Bytes.size();
  if (BodyReceived > Settings.MaxResponseBodyBytes)
    return Refused
               ? false
               : fail(error_kind::AnswerTooLarge, "the answer is too large");
  if (Refused)
    return true;
  return Channel.pushBody(Bytes, Request.Deadline);
}

bool http_exchange::isComplete(const socket_stream &Stream) {
  // cpp-httplib treats a chunk without its line end as the last chunk.
  if (Chunked && !Stream.endsWithLastChunk())
    return false;
  return Chunked || BodyReceived == BodyLength;
}

bool http_exchange::fail(error_kind Kind, std::string_view Detail) {
  if (!Failure)
    Failure = exchange_failure{Kind, Detail};
  return false;
}

} // namespace magnolia::net
