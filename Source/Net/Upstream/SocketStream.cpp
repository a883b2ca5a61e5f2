#include "Net/Upstream/SocketStream.h"

#include <algorithm>
#include <cstring>

namespace magnolia::net {
namespace {

/// cpp-httplib matches the status line with a regular expression that recurses
/// for each character, so that a long line could overflow the stack.
constexpr size_t MaxStatusLineBytes = 1024;

/// Offset of the first digit of the status code in "HTTP/1.1 200 OK".
constexpr size_t StatusOffset = 9;

/// Inserted after each percent sign of a header. cpp-httplib decodes percent
/// escapes in header values; "%25" becomes the "%" that the target sent.
constexpr std::string_view PercentEscape = "25";

constexpr size_t BlankLineSize = 2;

} // namespace

socket_stream::socket_stream(connection &Connection, size_t MaxHeadBytes)
    : Connection(Connection), MaxHeadBytes(MaxHeadBytes) {}

bool socket_stream::is_readable() const { return true; }
bool socket_stream::is_writable() const { return true; }

void socket_stream::get_remote_ip_and_port(std::string &, int &) const {}
void socket_stream::get_local_ip_and_port(std::string &, int &) const {}

socket_t socket_stream::socket() const { return Connection.descriptor(); }

ssize_t socket_stream::write(const char *Bytes, size_t Size) {
  return Connection.write({Bytes, Size});
}

ssize_t socket_stream::read(char *Bytes, size_t Size) {
  if (Size == 0)
    return 0;
  if (!FirstRead)
    FirstRead = common::boot_clock::now();
  return HeadComplete ? readBody(Bytes, Size) : readHeadByte(Bytes);
}

bool socket_stream::fill() {
  const ssize_t Count = Connection.read({Buffer.data(), Buffer.size()});
  if (Count <= 0)
    return false;
  Begin = 0;
  End = static_cast<size_t>(Count);
  return true;
}

ssize_t socket_stream::readHeadByte(char *Byte) {
  if (!HeadError.empty())
    return -1;
  if (!PendingEscape.empty()) {
    *Byte = PendingEscape.front();
    PendingEscape.remove_prefix(1);
    return 1;
  }
  if (Begin == End && !fill())
    return -1;
  *Byte = Buffer[Begin++];
  if (!checkHeadByte(*Byte))
    return -1;
  if (*Byte == '%' && !InStatusLine)
    PendingEscape = PercentEscape;
  return 1;
}

bool socket_stream::checkHeadByte(char Byte) {
  if (++HeadSize > MaxHeadBytes)
    return failHead("the head of the answer is too long") > 0;
  if (InStatusLine && LineSize == StatusOffset && Byte == '1')
    return failHead("an interim answer came though none was asked for") > 0;
  if (InStatusLine && StatusLine.feed({&Byte, 1}) ==
                          message::status_line_check::result::Invalid)
    return failHead("the answer begins with no status line of HTTP") > 0;
  ++LineSize;
  if (InStatusLine && LineSize > MaxStatusLineBytes)
    return failHead("the status line is too long") > 0;
  if (Byte != '\n')
    return true;
  HeadComplete = !InStatusLine && LineSize == BlankLineSize;
  InStatusLine = false;
  LineSize = 0;
  return true;
}

ssize_t socket_stream::failHead(std::string_view Error) {
  HeadError = Error;
  return -1;
}

ssize_t socket_stream::readBody(char *Bytes, size_t Size) {
  if (Begin == End && !fill())
    return -1;
  const size_t Count = std::min(Size, End - Begin);
  std::memcpy(Bytes, Buffer.data() + Begin, Count);
  Begin += Count;
  updateTail(Bytes, Count);
  return static_cast<ssize_t>(Count);
}

void socket_stream::updateTail(const char *Bytes, size_t Size) {
  if (Size >= LastChunk.size()) {
    Tail.assign(Bytes + Size - LastChunk.size(), LastChunk.size());
    return;
  }
  Tail.append(Bytes, Size);
  if (Tail.size() > LastChunk.size())
    Tail.erase(0, Tail.size() - LastChunk.size());
}

bool socket_stream::endsWithLastChunk() const { return Tail == LastChunk; }

} // namespace magnolia::net
