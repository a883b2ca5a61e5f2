#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include <absl/status/statusor.h>

#include "Net/Message/Message.h"

namespace magnolia::message {

/// Whether a reader parses requests or responses.
enum class message_kind : uint8_t { Request, Response };

/// Size limits of one message.
struct reader_limits {
  size_t HeadBytes = size_t{64} * 1024;
  size_t BodyBytes = size_t{64} * 1024 * 1024;
};

/// Why a message cannot be parsed.
enum class read_error : uint8_t { None, Malformed, HeadTooLarge, BodyTooLarge };

/// An incremental parser of consecutive messages.
class message_reader {
public:
  message_reader(message_kind Kind, const reader_limits &Limits);
  ~message_reader();
  message_reader(message_reader &&) noexcept;
  message_reader &operator=(message_reader &&) noexcept;

  /// Parses \p Bytes up to the end of one message and returns how many bytes
  /// were consumed. After an error nothing more is consumed.
  size_t feed(std::string_view Bytes);

  /// Handles the end of the stream. A response without a length is then
  /// complete; any other message that has begun is malformed.
  void finish();

  /// Whether a complete message was read; takeRequest() or takeResponse()
  /// returns it.
  bool complete() const;
  read_error error() const;

  /// Whether a message has begun and is not complete.
  bool inMessage() const;
  /// Whether the head of the current message was read.
  bool headRead() const;
  /// Bytes that the current message holds.
  size_t heldBytes() const;
  /// Bytes for which the body of the current message has room.
  size_t bodyCapacity() const;
  /// Bytes that the current message will hold, if its head says so.
  std::optional<size_t> announcedBytes() const;
  /// Makes room for the bytes that the current message announces, so that it
  /// never holds more. Meant to be called when they are accounted for.
  void reserveAnnounced();
  /// Whether the current request expects "100 Continue" before its body.
  bool expectsContinue() const;

  /// Whether the connection may carry another message after the last one.
  bool keepsAlive() const;

  /// Sets whether the next response has no body because its request is HEAD.
  void expectNoBody(bool NoBody);

  void setLimits(const reader_limits &Limits);

  /// Returns the complete message and resets the reader for the next one.
  request takeRequest();
  response takeResponse();

  /// State of the parsing library's callbacks.
  struct state;

private:
  std::unique_ptr<state> State;
};

} // namespace magnolia::message
