#pragma once

#include <string>
#include <string_view>

#include "Net/Http/Socket.h"

namespace magnolia::http {

/// A caller that writes bytes as given, to send what no library would.
class raw_caller {
public:
  /// Connects to "IPv4:port".
  explicit raw_caller(const std::string &Address);

  void send(std::string_view Bytes) const;

  /// Stops sending.
  void finishSending() const;

  /// Closes the connection.
  void disconnect();

  /// Everything until the server closes, or until \p Until was received.
  std::string receive(std::string_view Until = {});

private:
  descriptor Socket;
  std::string Received;
};

} // namespace magnolia::http
