#pragma once

#include <string>
#include <string_view>

#include "Net/Http/Socket.h"

namespace magnolia::http {

/// A caller that sends raw bytes, for requests that HTTP libraries do not send.
class raw_caller {
public:
  /// Connects to "IPv4:port".
  explicit raw_caller(const std::string &Address);

  /// Returns whether the server's side took all bytes.
  bool send(std::string_view Bytes) const;

  /// Shuts down the sending side.
  void finishSending() const;

  /// Closes the connection.
  void disconnect();

  /// Receives up to and including \p Until, or until the server closes.
  std::string receive(std::string_view Until = {});

private:
  descriptor Socket;
  std::string Received;
};

} // namespace magnolia::http
