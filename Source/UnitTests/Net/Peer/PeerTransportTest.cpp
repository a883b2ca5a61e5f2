#include "Net/Peer/PeerTransport.h"

#include <chrono>
#include <functional>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <doctest/doctest.h>

#include "Net/Peer/PeerSession.h"
#include "RawSocket.h"

using namespace magnolia;
using namespace magnolia::net;
using namespace magnolia::net::testing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Timeout{20000};
constexpr milliseconds PollInterval{2};

/// Waits until another thread makes \p Condition true; false on a timeout.
bool eventually(const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

/// Collects the messages that a transport receives.
class inbox {
public:
  peer_transport::message_hook hook() {
    return [this](peer_message Message) {
      const absl::MutexLock Lock(&Mutex);
      Messages.push_back(std::move(Message));
    };
  }

  size_t size() const {
    const absl::MutexLock Lock(&Mutex);
    return Messages.size();
  }

  peer_message at(size_t Index) const {
    const absl::MutexLock Lock(&Mutex);
    return Messages.at(Index);
  }

private:
  mutable absl::Mutex Mutex;
  std::vector<peer_message> Messages ABSL_GUARDED_BY(Mutex);
};

/// Short timeouts, so that failed connections are detected quickly.
peer_options quickOptions() {
  peer_options Options;
  Options.MessageLifetime = milliseconds(300);
  Options.PingInterval = milliseconds(40);
  Options.PingTimeout = milliseconds(200);
  Options.FirstBackoff = milliseconds(5);
  Options.MaxBackoff = milliseconds(20);
  return Options;
}

std::unique_ptr<peer_transport>
start(std::string_view Name, inbox &Inbox, const peer_options &Options = {},
      std::string_view Address = "127.0.0.1:0") {
  auto Transport = peer_transport::create(Address, Name, Inbox.hook(), Options);
  REQUIRE_MESSAGE(Transport.ok(), Transport.status().ToString());
  return *std::move(Transport);
}

/// Acts as a server that acknowledges one message and then stops responding.
void acknowledgeOneMessage(const unique_fd &Raw) {
  bool Arrived = false;
  session_hooks Hooks;
  Hooks.OnMessage = [&](const peer_message &) { Arrived = true; };
  const auto Server = peer_session::makeServer({}, std::move(Hooks));
  std::string Out;
  while (!Arrived && Server->receive(readRaw(Raw)))
    ;
  Server->fill(Out, size_t{1024} * 1024);
  writeRaw(Raw, Out);
}

} // namespace

TEST_CASE("Two transports exchange messages") {
  inbox TrnavaInbox;
  inbox NitraInbox;
  const auto Trnava = start("trnava-1", TrnavaInbox);
  const auto Nitra = start("nitra-1", NitraInbox);

  CHECK(
      Trnava->send(Nitra->localAddress(), "quota/ask", std::string("\0b", 2)));
  CHECK(Nitra->send(Trnava->localAddress(), "digest", ""));
  REQUIRE(eventually([&] { return NitraInbox.size() == 1; }));
  REQUIRE(eventually([&] { return TrnavaInbox.size() == 1; }));

  SUBCASE("complete and with the name of the sender") {
    CHECK(NitraInbox.at(0).From == "trnava-1");
    CHECK(NitraInbox.at(0).Type == "quota/ask");
    CHECK(NitraInbox.at(0).Body == std::string("\0b", 2));
    CHECK(TrnavaInbox.at(0).From == "nitra-1");
    CHECK(TrnavaInbox.at(0).Body.empty());
  }

  SUBCASE("and count them as sent and received") {
    REQUIRE(Trnava->flush(Timeout));
    CHECK(Trnava->counters().Sent == 1);
    CHECK(Trnava->counters().Dropped == 0);
    CHECK(Trnava->counters().Received == 1);
    CHECK(Trnava->lastReceived(Nitra->localAddress()).has_value());
    REQUIRE(Trnava->peers().size() == 1);
    CHECK(Trnava->peers()[0].Connected);
  }

  SUBCASE("but drop one that is too long") {
    const peer_options Options;
    CHECK_FALSE(Trnava->send(Nitra->localAddress(), "digest",
                             std::string(Options.MaxBodyBytes + 1, 'x')));
    CHECK(Trnava->counters().Dropped == 1);
    CHECK(Trnava->send(Nitra->localAddress(), "digest",
                       std::string(Options.MaxBodyBytes, 'x')));
    REQUIRE(eventually([&] { return NitraInbox.size() == 2; }));
    CHECK(NitraInbox.at(1).Body.size() == Options.MaxBodyBytes);
  }

  SUBCASE("and lose none of many on a healthy connection") {
    for (int Count = 0; Count < 1000; ++Count)
      CHECK(Trnava->send(Nitra->localAddress(), "digest", "body"));
    REQUIRE(eventually([&] { return NitraInbox.size() == 1001; }));
  }

  SUBCASE("until one removes the other") {
    Trnava->removePeer(Nitra->localAddress());
    CHECK(Trnava->peers().empty());
    CHECK_FALSE(Trnava->lastReceived(Nitra->localAddress()).has_value());
  }

  SUBCASE("and no other transport can bind their port") {
    inbox Ignored;
    CHECK_FALSE(
        peer_transport::create(Nitra->localAddress(), "nitra-2", Ignored.hook())
            .ok());
  }
}

TEST_CASE("A transport with an idle connection does not busy-loop") {
  inbox Inbox;
  const auto Sender = start("a", Inbox, quickOptions());
  const auto Receiver = start("b", Inbox, quickOptions());
  Sender->send(Receiver->localAddress(), "test", "hello");
  REQUIRE(eventually([&] { return Inbox.size() == 1; }));
  REQUIRE(Sender->flush(Timeout));

  // Each ping takes a few iterations of the event loop.
  constexpr uint64_t PingFrameBytes = 17;
  constexpr uint64_t Pings = 10;
  constexpr uint64_t MaxWakeupsPerPing = 20;
  const peer_counters Before = Sender->counters();
  REQUIRE(eventually([&] {
    return Sender->counters().BytesSent >=
           Before.BytesSent + Pings * PingFrameBytes;
  }));
  CHECK(Sender->counters().Wakeups - Before.Wakeups <
        Pings * MaxWakeupsPerPing);
}

TEST_CASE("A transport rejects malformed addresses and names") {
  inbox Inbox;
  CHECK_FALSE(peer_transport::create("nowhere", "a", Inbox.hook()).ok());
  CHECK_FALSE(
      peer_transport::create("127.0.0.1:0", "a b\r\n", Inbox.hook()).ok());
  const auto Trnava = start("trnava-1", Inbox);
  CHECK_FALSE(Trnava->send("nowhere", "digest", ""));
  CHECK_FALSE(Trnava->send(Trnava->localAddress(), "a b", ""));
}

TEST_CASE("A peer that stops reading") {
  std::string StuckAddress;
  const unique_fd Stuck = listenRaw(StuckAddress);
  inbox TrnavaInbox;
  inbox NitraInbox;
  const auto Trnava = start("trnava-1", TrnavaInbox, quickOptions());
  const auto Nitra = start("nitra-1", NitraInbox, quickOptions());

  constexpr size_t Count = 5000;
  const std::string Body(size_t{16} * 1024, 'x');
  for (size_t Index = 0; Index < Count; ++Index)
    REQUIRE(Trnava->send(StuckAddress, "digest", Body));

  SUBCASE("does not delay messages to another peer") {
    Trnava->send(Nitra->localAddress(), "digest", "fresh");
    CHECK(eventually([&] { return NitraInbox.size() == 1; }));
  }

  SUBCASE("has a bounded queue, and every message is counted") {
    const auto Peers = Trnava->peers();
    REQUIRE(Peers.size() == 1);
    CHECK(Peers[0].Queued <= quickOptions().MaxQueuedMessages);
    CHECK(Trnava->flush(Timeout));
    CHECK(Trnava->counters().Dropped == Count);
    CHECK(Trnava->counters().Sent == 0);
  }

  SUBCASE("is disconnected although its side stays open") {
    CHECK(eventually([&] { return Trnava->counters().Reconnects > 1; }));
    CHECK_FALSE(Trnava->lastReceived(StuckAddress).has_value());
  }
}

TEST_CASE("A peer that restarts on its address receives messages again") {
  inbox TrnavaInbox;
  inbox NitraInbox;
  const auto Trnava = start("trnava-1", TrnavaInbox, quickOptions());
  auto Nitra = start("nitra-1", NitraInbox, quickOptions());
  const std::string Address = Nitra->localAddress();
  Trnava->send(Address, "digest", "before");
  REQUIRE(eventually([&] { return NitraInbox.size() == 1; }));

  Nitra.reset();
  REQUIRE(eventually([&] { return Trnava->counters().Reconnects > 0; }));
  Trnava->send(Address, "digest", "while away");
  Nitra = start("nitra-1", NitraInbox, quickOptions(), Address);
  REQUIRE(eventually([&] {
    Trnava->send(Address, "digest", "after");
    return NitraInbox.size() > 1 &&
           NitraInbox.at(NitraInbox.size() - 1).Body == "after";
  }));
}

TEST_CASE("A transport stays usable after its port receives") {
  inbox TrnavaInbox;
  inbox NitraInbox;
  const auto Trnava = start("trnava-1", TrnavaInbox, quickOptions());
  const auto Nitra = start("nitra-1", NitraInbox, quickOptions());
  const unique_fd Raw = connectRaw(Trnava->localAddress());
  REQUIRE(Raw.valid());

  SUBCASE("garbage") { writeRaw(Raw, std::string(4096, '\x16')); }
  SUBCASE("another protocol") { writeRaw(Raw, "GET / HTTP/1.1\r\n\r\n"); }
  SUBCASE("a preface with garbage after it") {
    writeRaw(Raw, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(999, 'x'));
  }
  SUBCASE("half of a preface and nothing more") { writeRaw(Raw, "PRI * HT"); }
  SUBCASE("nothing at all") {}

  CHECK(readToEnd(Raw));
  Nitra->send(Trnava->localAddress(), "digest", "fine");
  CHECK(eventually([&] { return TrnavaInbox.size() == 1; }));
}

TEST_CASE("A peer that sends malformed data is disconnected") {
  std::string Address;
  const unique_fd Listener = listenRaw(Address);
  inbox Inbox;
  const auto Trnava = start("trnava-1", Inbox, quickOptions());
  Trnava->send(Address, "digest", "lost");
  const unique_fd Raw = acceptRaw(Listener);
  REQUIRE(Raw.valid());
  writeRaw(Raw, "HTTP/1.1 400 Bad Request\r\n\r\n");
  CHECK(readToEnd(Raw));
  CHECK(Trnava->flush(Timeout));
  CHECK(Trnava->counters().Sent == 0);
}

TEST_CASE(
    "A peer that stops responding without open messages is disconnected") {
  std::string Address;
  const unique_fd Listener = listenRaw(Address);
  inbox Inbox;
  const auto Trnava = start("trnava-1", Inbox, quickOptions());
  Trnava->send(Address, "digest", "answered");
  const unique_fd Raw = acceptRaw(Listener);
  REQUIRE(Raw.valid());
  acknowledgeOneMessage(Raw);
  REQUIRE(eventually([&] { return Trnava->counters().Sent == 1; }));

  CHECK(Trnava->lastReceived(Address).has_value());
  CHECK(eventually([&] { return Trnava->counters().Reconnects > 0; }));
}
