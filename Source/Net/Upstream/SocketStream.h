#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <httplib.h>

#include "Net/Message/StatusLine.h"
#include "Net/Upstream/Connection.h"

// Private to this component: includes the large header of cpp-httplib.
namespace magnolia::net {

/// Lets cpp-httplib write one request to a connection and read one response
/// from it. The end of the stream is always reported as an error, so that a
/// truncated response is never taken for a complete one.
class socket_stream : public httplib::Stream {
public:
  /// Reading fails if the head of the response is longer than \p MaxHeadBytes.
  socket_stream(connection &Connection, size_t MaxHeadBytes);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *Bytes, size_t Size) override;
  ssize_t write(const char *Bytes, size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override;

  /// Why the head was rejected; empty if it was not.
  std::string_view headError() const { return HeadError; }

  /// The time of the first read, by which the complete request had been
  /// written.
  std::optional<common::boot_time> firstRead() const { return FirstRead; }

  /// Whether a byte of the response was received.
  bool headStarted() const { return HeadSize > 0; }

  /// Whether the complete head was read.
  bool headComplete() const { return HeadComplete; }

  /// Whether the last bytes read are the last chunk with an empty trailer.
  bool endsWithLastChunk() const;

  /// Whether bytes were received after the end of the response.
  bool hasLeftover() const { return Begin != End; }

private:
  bool fill();
  ssize_t readHeadByte(char *Byte);
  ssize_t readBody(char *Bytes, size_t Size);
  bool checkHeadByte(char Byte);
  ssize_t failHead(std::string_view Error);
  void updateTail(const char *Bytes, size_t Size);

  static constexpr size_t BufferBytes = size_t{16} * 1024;
  static constexpr std::string_view LastChunk = "0\r\n\r\n";

  connection &Connection;
  const size_t MaxHeadBytes;
  std::array<char, BufferBytes> Buffer;
  size_t Begin = 0;
  size_t End = 0;

  bool HeadComplete = false;
  std::string_view HeadError;
  std::optional<common::boot_time> FirstRead;
  size_t HeadSize = 0;
  size_t LineSize = 0;
  bool InStatusLine = true;
  message::status_line_check StatusLine;
  /// The rest of the escape that is inserted after a percent sign.
  std::string_view PendingEscape;
  /// The last bytes of the body that were read, at most as many as LastChunk
  /// has.
  std::string Tail;
};

} // namespace magnolia::net
