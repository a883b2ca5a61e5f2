#pragma once

#include <string_view>

#include "StandIns/Server/HttpServer.h"

/// Answers that break HTTP on purpose, written below the server library. Each
/// leaves the connection to be closed.
namespace magnolia::stand_ins {

/// Closes with a reset instead of an orderly end.
void resetConnection(served_connection &Served);

/// Announces \p Body and sends half of it.
void sendHalf(served_connection &Served, std::string_view RequestId,
              std::string_view Body);

/// Sends the whole answer and once more.
void sendTwice(served_connection &Served, std::string_view RequestId,
               std::string_view Body);

/// Sends \p Body as one chunk without a last chunk.
void sendChunksWithoutEnd(served_connection &Served, std::string_view RequestId,
                          std::string_view Body);

} // namespace magnolia::stand_ins
