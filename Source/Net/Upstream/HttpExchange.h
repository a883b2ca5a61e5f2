#pragma once

#include <functional>
#include <optional>

#include <httplib.h>

#include "Net/Upstream/ResponseStream.h"
#include "Net/Upstream/SocketStream.h"
#include "Net/Upstream/UpstreamPool.h"

// Private to this component: includes the large header of cpp-httplib.
namespace magnolia::net {

/// Why an exchange failed.
struct exchange_failure {
  common::error_kind Kind;
  std::string_view Detail;
};

/// Writes one request to a connection with cpp-httplib and streams the response
/// into a channel.
class http_exchange {
public:
  http_exchange(const upstream_settings &Settings,
                const upstream_request &Request, response_channel &Channel);

  /// Runs the exchange; true if a complete response was received and the target
  /// did not refuse the request.
  bool run(connection &Connection, const std::string &Address,
           std::chrono::milliseconds RemainingTime);

  const std::optional<exchange_failure> &failure() const { return Failure; }
  bool headReceived() const { return HeadTime.has_value(); }
  bool headStarted() const { return HeadStarted; }
  int status() const { return Response.status; }
  bool targetDraining() const { return Draining; }
  /// Whether the connection can be used for another request.
  bool reusable() const { return Reusable; }
  std::optional<common::boot_time> headTime() const { return HeadTime; }
  std::optional<common::boot_time> writtenTime() const { return WrittenTime; }

private:
  httplib::Request buildRequest(std::chrono::milliseconds RemainingTime);
  void addBody(httplib::Request &LibraryRequest);
  bool provideBody(size_t Remaining, httplib::DataSink &Sink);
  bool receiveHead(connection &Connection);
  std::optional<exchange_failure> checkHead(const header_list &Headers);
  /// Limits the time for reading the body of a refusal, which is then
  /// discarded. Always true.
  bool prepareRefusalRead(connection &Connection);
  bool receiveBody(std::string_view Bytes);
  bool isComplete(const socket_stream &Stream);
  bool fail(common::error_kind Kind, std::string_view Detail);

  const upstream_settings &Settings;
  const upstream_request &Request;
  response_channel &Channel;
  httplib::Response Response;
  std::optional<exchange_failure> Failure;
  std::optional<common::boot_time> HeadTime;
  std::optional<common::boot_time> WrittenTime;
  uint64_t BodyLength = 0;
  uint64_t BodyReceived = 0;
  bool Chunked = false;
  bool HeadStarted = false;
  bool Refused = false;
  bool Draining = false;
  bool ClosesAfter = false;
  bool Reusable = false;
};

} // namespace magnolia::net
