// Stand-ins of the second review: the platform's store, endpoints, consumers
// and a way to start the project's own instances. Plain sockets and threads;
// everything runs on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;

constexpr int Broken = 1;
constexpr int Held = 0;
constexpr int CouldNotRun = 2;

inline const std::chrono::steady_clock::time_point Began =
    std::chrono::steady_clock::now();

/// Seconds since the start of the program.
inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
      .count();
}

inline void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

inline void sleepUntil(double Time) { sleepFor(Time - now()); }

/// The file record.txt, one line for each event.
class record {
public:
  static void open(const std::string &Path) {
    file() = std::fopen(Path.c_str(), "w");
  }
  static void line(const char *Format, ...)
      __attribute__((format(printf, 1, 2))) {
    static std::mutex Mutex;
    const std::lock_guard Lock(Mutex);
    va_list Arguments;
    for (FILE *To : {file(), stdout}) {
      if (To == nullptr)
        continue;
      std::fprintf(To, "%8.3f  ", now());
      va_start(Arguments, Format);
      std::vfprintf(To, Format, Arguments);
      va_end(Arguments);
      std::fputc('\n', To);
      std::fflush(To);
    }
  }

private:
  static FILE *&file() {
    static FILE *File = nullptr;
    return File;
  }
};

/// What has to be removed at the end.
inline std::string TemporaryFolder;

/// Ends this program, and with it all processes that it started; threads of
/// stand-ins may still run.
[[noreturn]] inline void endWith(int Result) {
  if (!TemporaryFolder.empty() && getenv("KEEP") == nullptr)
    std::filesystem::remove_all(TemporaryFolder);
  std::_Exit(Result);
}

[[noreturn]] inline void giveUp(const std::string &Why) {
  record::line("the case could not run: %s", Why.c_str());
  endWith(CouldNotRun);
}

inline bool awaitThat(double Limit, const std::function<bool()> &Done) {
  const double End = now() + Limit;
  while (!Done()) {
    if (now() >= End)
      return false;
    sleepFor(0.02);
  }
  return true;
}

// ---------------------------------------------------------------- addresses

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// A descriptor that listens; \p Port becomes the bound one.
inline int listenOn(const std::string &Ip, int &Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0 ||
      listen(Fd, 512) != 0)
    giveUp("cannot listen on " + Ip + ": " + std::strerror(errno));
  socklen_t Size = sizeof(Address);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  return Fd;
}

/// A port that was free a moment ago, for TCP and UDP.
inline int freePort(const std::string &Ip) {
  static std::set<std::pair<std::string, int>> Given;
  while (true) {
    int Port = 0;
    const int Tcp = listenOn(Ip, Port);
    const int Udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = addressOf(Ip, Port);
    const bool Free =
        bind(Udp, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0;
    close(Tcp);
    close(Udp);
    if (Free && Given.insert({Ip, Port}).second)
      return Port;
  }
}

/// Loopback addresses of this run.
inline std::string ipOf(int Last) {
  const int Id = getpid();
  return "127." + std::to_string(100 + Id / 250 % 100) + "." +
         std::to_string(1 + Id % 250) + "." + std::to_string(Last);
}

// -------------------------------------------------------------------- HTTP

struct message {
  std::string Start; // the first line
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string get(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  bool has(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return true;
    return false;
  }
  std::string word(int Number) const {
    std::istringstream Words(Start);
    std::string Word;
    for (int Count = 0; Count <= Number; ++Count)
      Word.clear(), Words >> Word;
    return Word;
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket with a buffer of what was read ahead.
class channel {
public:
  explicit channel(int Fd) : Fd(Fd) {
    const int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~channel() { close(); }
  channel(const channel &) = delete;
  channel &operator=(const channel &) = delete;

  /// \p Window: bytes that the system holds for the reader; 0: its own choice.
  static std::unique_ptr<channel> connect(const std::string &Ip, int Port,
                                          int Window = 0) {
    const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (Window > 0)
      setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Window, sizeof(Window));
    const sockaddr_in Address = addressOf(Ip, Port);
    if (::connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address)) != 0) {
      ::close(Fd);
      return nullptr;
    }
    return std::make_unique<channel>(Fd);
  }

  bool write(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Count =
          ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Bytes.remove_prefix(static_cast<size_t>(Count));
    }
    return true;
  }

  /// Reads some bytes; false at the end, after an error or at \p Deadline.
  bool fill(double Deadline) {
    pollfd Poll{Fd, POLLIN, 0};
    const double Left = Deadline - now();
    if (Left <= 0 || poll(&Poll, 1, static_cast<int>(Left * 1000) + 1) <= 0) {
      End = "time";
      return false;
    }
    char Bytes[65536];
    const ssize_t Count = recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Count <= 0) {
      End = Count == 0 ? "closed" : "reset";
      return false;
    }
    Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  }

  /// Reads one message with a length. False if it ends early; end() says how.
  bool read(message &Message, double Deadline) {
    size_t HeadEnd = 0;
    while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Deadline))
        return false;
    Message = message();
    std::istringstream Head(Buffer.substr(0, HeadEnd));
    std::string Line;
    while (std::getline(Head, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      if (Message.Start.empty()) {
        Message.Start = Line;
        continue;
      }
      const size_t Colon = Line.find(':');
      const size_t Begin = Line.find_first_not_of(' ', Colon + 1);
      Message.Headers.emplace_back(
          Line.substr(0, Colon),
          Begin == std::string::npos ? "" : Line.substr(Begin));
    }
    const size_t Length =
        std::strtoul(Message.get("Content-Length").c_str(), nullptr, 10);
    while (Buffer.size() < HeadEnd + 4 + Length)
      if (!fill(Deadline))
        return false;
    Message.Body = Buffer.substr(HeadEnd + 4, Length);
    Buffer.erase(0, HeadEnd + 4 + Length);
    return true;
  }

  /// Whether the other side has ended, without reading what it sent.
  bool hasEnded() const {
    char Byte = 0;
    const ssize_t Count = recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
  }

  void reset() {
    const linger Option{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
    close();
  }
  void shut() { ::shutdown(Fd, SHUT_RDWR); }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  const std::string &end() const { return End; }
  const std::string &unread() const { return Buffer; }
  int fd() const { return Fd; }

private:
  int Fd;
  std::string Buffer;
  std::string End;
};

inline std::string
answer(int Status,
       const std::vector<std::pair<std::string, std::string>> &Headers,
       const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " -\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// A server with a thread for each channel.
class server {
public:
  using handler = std::function<bool(channel &Channel, const message &Request)>;

  /// \p OnRequest answers one request; false closes the channel.
  server(std::string GivenIp, handler OnRequest, int GivenPort = 0)
      : Ip(std::move(GivenIp)), Port(GivenPort),
        OnRequest(std::move(OnRequest)) {
    start();
  }
  void start() {
    const int Fd = listenOn(Ip, Port);
    Listener = Fd;
    std::thread([this, Fd] {
      while (true) {
        const int Accepted = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted < 0)
          return;
        std::thread([this, Accepted] { serve(Accepted); }).detach();
      }
    }).detach();
  }
  /// Closes the listening socket and resets all channels.
  void stop() {
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
    const std::lock_guard Lock(Mutex);
    for (channel *Each : Open)
      Each->shut();
  }
  std::string address() const { return Ip + ":" + std::to_string(Port); }

  const std::string Ip;
  int Port;

private:
  void serve(int Fd) {
    channel Channel(Fd);
    {
      const std::lock_guard Lock(Mutex);
      Open.insert(&Channel);
    }
    message Request;
    while (Channel.read(Request, now() + 300))
      if (!OnRequest(Channel, Request))
        break;
    const std::lock_guard Lock(Mutex);
    Open.erase(&Channel);
  }

  handler OnRequest;
  int Listener = -1;
  std::mutex Mutex;
  std::set<channel *> Open;
};

// ------------------------------------------------------------------- store

inline std::string base64(const std::string &Text) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t Index = 0; Index < Text.size(); Index += 3) {
    uint32_t Group = 0;
    const size_t Count = std::min<size_t>(3, Text.size() - Index);
    for (size_t Byte = 0; Byte < 3; ++Byte)
      Group = Group << 8 |
              (Byte < Count ? static_cast<uint8_t>(Text[Index + Byte]) : 0);
    for (size_t Digit = 0; Digit < 4; ++Digit)
      Out += Digit <= Count ? Digits[Group >> (18 - 6 * Digit) & 63] : '=';
  }
  return Out;
}

inline std::string fromBase64(const std::string &Text) {
  std::string Out;
  uint32_t Group = 0;
  int Bits = 0;
  for (const char Digit : Text) {
    int Value = 0;
    if (Digit >= 'A' && Digit <= 'Z')
      Value = Digit - 'A';
    else if (Digit >= 'a' && Digit <= 'z')
      Value = Digit - 'a' + 26;
    else if (Digit >= '0' && Digit <= '9')
      Value = Digit - '0' + 52;
    else if (Digit == '+' || Digit == '/')
      Value = Digit == '+' ? 62 : 63;
    else
      break;
    Group = Group << 6 | static_cast<uint32_t>(Value);
    if ((Bits += 6) >= 8)
      Out += static_cast<char>(Group >> (Bits -= 8) & 255);
  }
  return Out;
}

inline std::string unescape(const std::string &Text) {
  std::string Out;
  for (size_t Index = 0; Index < Text.size(); ++Index)
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      Out += static_cast<char>(
          std::strtol(Text.substr(Index + 1, 2).c_str(), nullptr, 16));
      Index += 2;
    } else {
      Out += Text[Index];
    }
  return Out;
}

inline std::string parameter(const std::string &Target,
                             const std::string &Name) {
  std::istringstream Pairs(Target.substr(Target.find('?') + 1));
  std::string Pair;
  while (std::getline(Pairs, Pair, '&'))
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0)
      return unescape(Pair.substr(Name.size() + 1));
  return "";
}

/// The platform's metadata store, in the form of tables.
class store {
public:
  explicit store(const std::string &Ip)
      : Server(Ip, [this](channel &Channel, const message &Request) {
          return serve(Channel, Request);
        }) {}

  uint64_t put(const std::string &Table, const std::string &Key,
               const std::string &Value) {
    const std::lock_guard Lock(Mutex);
    return write(Table, Key, &Value);
  }
  uint64_t remove(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(Mutex);
    return write(Table, Key, nullptr);
  }

  /// A copy of what the store holds, and the store's return from it.
  struct copy {
    std::map<std::string,
             std::map<std::string, std::pair<uint64_t, std::string>>>
        Tables;
    uint64_t Version = 0;
  };
  copy makeCopy() {
    const std::lock_guard Lock(Mutex);
    return {Tables, Version};
  }
  void restore(const copy &Copy) {
    const std::lock_guard Lock(Mutex);
    Tables = Copy.Tables;
    Version = Copy.Version;
    std::erase_if(History,
                  [&](const change &Each) { return Each.Version > Version; });
    ++Era;
    Changed.notify_all();
  }

  /// Answers every call with 503 while it is set.
  std::atomic<bool> Down = false;
  /// Called for each call with its path; false: no answer.
  std::function<bool(const message &Request)> OnCall;

  server Server;

private:
  struct change {
    uint64_t Version;
    std::string Table, Key;
  };

  uint64_t write(const std::string &Table, const std::string &Key,
                 const std::string *Value) {
    ++Version;
    if (Value != nullptr)
      Tables[Table][Key] = {Version, *Value};
    else
      Tables[Table].erase(Key);
    History.push_back({Version, Table, Key});
    Changed.notify_all();
    return Version;
  }

  bool reply(channel &Channel, int Status, const json &Body) {
    return Channel.write(answer(Status,
                                {{"Content-Type", "application/json"},
                                 {"Store-Era", std::to_string(Era)}},
                                Body.dump()));
  }

  static json rowOf(const std::string &Table, const std::string &Key,
                    const std::pair<uint64_t, std::string> &Row) {
    return {{"table", Table},
            {"part", ""},
            {"key", Key},
            {"value", base64(Row.second)},
            {"ver", Row.first}};
  }

  bool serve(channel &Channel, const message &Request) {
    if (OnCall && !OnCall(Request))
      return true;
    if (Down)
      return reply(Channel, 503, json::object());
    sleepFor(0.004);
    const std::string Path =
        Request.target().substr(0, Request.target().find('?'));
    if (Path == "/rows-get")
      return get(Channel, Request);
    if (Path == "/rows-feed")
      return feed(Channel, Request);
    if (Path == "/rows-tx")
      return change_(Channel, Request);
    return reply(Channel, 404, json::object());
  }

  bool get(channel &Channel, const message &Request) {
    const std::lock_guard Lock(Mutex);
    const std::string Table = parameter(Request.target(), "table");
    json Rows = json::array();
    auto &All = Tables[Table];
    for (auto Row = All.lower_bound(parameter(Request.target(), "from"));
         Row != All.end(); ++Row)
      Rows.push_back(rowOf(Table, Row->first, Row->second));
    return reply(Channel, 200,
                 {{"rows", Rows},
                  {"truncated", false},
                  {"ver", Version},
                  {"now", static_cast<uint64_t>(now() * 1000)}});
  }

  bool feed(channel &Channel, const message &Request) {
    const std::string Table = parameter(Request.target(), "table");
    const uint64_t After = std::strtoull(
        parameter(Request.target(), "after").c_str(), nullptr, 10);
    const double Wait =
        std::atof(parameter(Request.target(), "waitMs").c_str()) / 1000;
    std::unique_lock Lock(Mutex);
    const uint64_t AskedEra = Era;
    if (After > Version)
      return reply(Channel, 410, json::object());
    json Rows = json::array();
    const auto Collect = [&] {
      std::map<std::string, uint64_t> Last;
      for (const change &Each : History)
        if (Each.Table == Table && Each.Version > After)
          Last[Each.Key] = Each.Version;
      std::map<uint64_t, std::string> Ordered;
      for (const auto &[Key, Number] : Last)
        Ordered[Number] = Key;
      for (const auto &[Number, Key] : Ordered) {
        const auto Found = Tables[Table].find(Key);
        if (Found != Tables[Table].end()) {
          Rows.push_back(rowOf(Table, Key, Found->second));
          continue;
        }
        Rows.push_back(rowOf(Table, Key, {Number, ""}));
        Rows.back()["removed"] = true;
      }
      return !Rows.empty() || Era != AskedEra;
    };
    Changed.wait_for(Lock, std::chrono::duration<double>(Wait), Collect);
    if (Era != AskedEra)
      return reply(Channel, 503, json::object());
    return reply(Channel, 200,
                 {{"rows", Rows},
                  {"ver", Version},
                  {"now", static_cast<uint64_t>(now() * 1000)}});
  }

  bool change_(channel &Channel, const message &Request) {
    const json Body = json::parse(Request.Body);
    const std::lock_guard Lock(Mutex);
    for (const json &Expected : Body.at("expect")) {
      auto &Rows = Tables[Expected.at("table")];
      const auto Row = Rows.find(Expected.at("key").get<std::string>());
      if ((Row == Rows.end() ? 0 : Row->second.first) != Expected.at("ver"))
        return reply(Channel, 412, {{"rows", json::array()}, {"ver", Version}});
    }
    for (const json &Row : Body.at("writes")) {
      const std::string Value = fromBase64(Row.at("value"));
      write(Row.at("table"), Row.at("key"), &Value);
    }
    for (const json &Row : Body.at("remove"))
      write(Row.at("table"), Row.at("key"), nullptr);
    return reply(
        Channel, 200,
        {{"ver", Version}, {"now", static_cast<uint64_t>(now() * 1000)}});
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, std::pair<uint64_t, std::string>>>
      Tables;
  std::vector<change> History;
  uint64_t Version = 0;
  std::atomic<uint64_t> Era = 1;
};

// --------------------------------------------------------------- endpoints

/// What an endpoint did with a request.
struct run {
  std::string Endpoint, Id, Tenant;
  double From = 0;
  double Until = 0; // 0: it still runs
};

/// One endpoint of a service. It works as long as the header X-Work-Ms of a
/// request says.
class endpoint {
public:
  endpoint(store &Store, const std::string &Ip, std::string GivenId,
           std::string Service, std::string Zone, int Slots = 6)
      : Id(std::move(GivenId)), Service(std::move(Service)),
        Zone(std::move(Zone)), Slots(Slots), Store(Store),
        Server(Ip, [this](channel &Channel, const message &Request) {
          return serve(Channel, Request);
        }) {
    Born = 1;
    say("ready");
  }

  /// Writes its entry.
  void say(const std::string &State) {
    Store.put("servers", Id,
              json{{"address", Server.address()},
                   {"born", Born},
                   {"info",
                    {{"service", Service},
                     {"version", "v1"},
                     {"zone", Zone},
                     {"capacity", Slots}}},
                   {"status",
                    {{"state", State},
                     {"sequence", ++Sequence},
                     {"warmupLeft", "0ms"}}}}
                  .dump());
  }

  /// In place of the usual work and answer; false closes the channel.
  std::function<bool(endpoint &, channel &, const message &)> OnRun;

  static std::vector<run> runs() {
    const std::lock_guard Lock(mutex());
    return all();
  }
  size_t begin(const message &Request) {
    const std::lock_guard Lock(mutex());
    all().push_back({Id, Request.get("X-Magnoliafall-Request-Id"),
                     Request.get("X-Magnoliafall-Tenant"), now(), 0});
    record::line("endpoint %s begins to run %s", Id.c_str(),
                 Request.get("X-Magnoliafall-Request-Id").c_str());
    return all().size() - 1;
  }
  void finish(size_t Number, const char *How) {
    const std::lock_guard Lock(mutex());
    all()[Number].Until = now();
    record::line("endpoint %s ends the run of %s: %s", Id.c_str(),
                 all()[Number].Id.c_str(), How);
  }
  std::string signedAnswer(const message &Request, int Status,
                           const std::string &Body) const {
    return answer(Status,
                  {{"X-Magnoliafall-Request-Id",
                    Request.get("X-Magnoliafall-Request-Id")},
                   {"X-Magnoliafall-Response-Signature", "sig-" + Id}},
                  Body);
  }

  const std::string Id, Service, Zone;
  const int Slots;
  uint64_t Born = 1;

private:
  static std::mutex &mutex() {
    static std::mutex Mutex;
    return Mutex;
  }
  static std::vector<run> &all() {
    static std::vector<run> Runs;
    return Runs;
  }

  bool serve(channel &Channel, const message &Request) {
    const std::string RequestId = Request.get("X-Magnoliafall-Request-Id");
    if (Request.target() == "/healthz")
      return Channel.write(
          answer(200, {{"X-Magnoliafall-Instance-Id", Id}}, ""));
    const auto Refuse = [&](int Status) {
      return Channel.write(answer(Status,
                                  {{"X-Magnoliafall-Request-Id", RequestId},
                                   {"X-Magnoliafall-Not-Executed", "1"}},
                                  ""));
    };
    if (Request.get("X-Magnoliafall-Expect-Instance") != Id)
      return Refuse(421);
    if (Busy.fetch_add(1) >= Slots) {
      --Busy;
      return Refuse(503);
    }
    bool Keep = true;
    if (OnRun) {
      Keep = OnRun(*this, Channel, Request);
    } else {
      const size_t Number = begin(Request);
      const double Work = std::atof(Request.get("X-Work-Ms").c_str()) / 1000;
      const double Left =
          std::atof(Request.get("X-Magnoliafall-Deadline-Ms").c_str()) / 1000;
      const double End = now() + std::min(Work, Left);
      bool Dropped = false;
      while (now() < End && !Dropped) {
        sleepFor(std::min(0.01, End - now()));
        Dropped = Channel.hasEnded();
      }
      if (Dropped) {
        finish(Number, "its channel was closed");
        Keep = false;
      } else {
        finish(Number, Work <= Left ? "200" : "504");
        Keep = Channel.write(signedAnswer(Request, Work <= Left ? 200 : 504,
                                          "answer to " + RequestId));
      }
    }
    --Busy;
    return Keep;
  }

  store &Store;
  uint64_t Sequence = 0;
  std::atomic<int> Busy = 0;
  server Server;
};

// --------------------------------------------------------------- instances

/// One process of the deploy file's role.
class instance {
public:
  instance(std::string GivenName, std::string GivenZone, std::string GivenIp,
           const store &Store, const std::string &Folder, int MemoryMb)
      : Name(std::move(GivenName)), Zone(std::move(GivenZone)),
        Ip(std::move(GivenIp)), Folder(Folder), Frontend(freePort(Ip)),
        Ready(freePort(Ip)), Registry(freePort(Ip)), Peer(freePort(Ip)),
        MemoryMb(MemoryMb), StoreAddress(Store.Server.address()) {
    writeSettings();
  }

  /// The file that the platform makes of platform/settings.yaml.in.
  void writeSettings() const {
    const auto At = [&](int Port) { return Ip + ":" + std::to_string(Port); };
    std::ofstream(settings())
        << "log_level: info\nidentity:\n  name: \"" << Name
        << "\"\n  failure_domain: \"" << Zone << "\"\n  ip: \"" << Ip
        << "\"\nlisten:\n  callers: \"" << At(Frontend) << "\"\n  readiness: \""
        << At(Ready) << "\"\n  directory: \"" << At(Registry)
        << "\"\n  metrics: \"" << At(freePort(Ip))
        << "\"\n  peer_port: " << Peer
        << "\nfailure_domains:\n  - { name: \"trnava\", region: \"sk-west\" }\n"
           "  - { name: \"nitra\", region: \"sk-west\" }\n"
           "  - { name: \"senica\", region: \"sk-west\" }\nstore:\n"
           "  address: \""
        << StoreAddress
        << "\"\nmachine:\n  descriptors: 10933\n  memory_mb: " << MemoryMb
        << "\n"
           "  processor_share: \"0.53\"\n  processor_speed: \"1\"\n"
           "  link_mbits: \"2700.0\"\nbounds:\n  directory_keep: \"5s\"\n"
           "  stop_grace: \"6s\"\n  retry_ratio: 0.2\n  retry_slack: 60\n"
           "  retry_window: \"10s\"\nwaiting:\n  by_rank: true\n"
           "long_messages:\n  fetch_within: \"2s\"\n";
  }

  /// Starts the program as deploy/system.toml says, in the repository's root.
  void start() {
    const std::string Program = "target/Bin/magnolia-instance";
    if (access(Program.c_str(), X_OK) != 0)
      giveUp(Program + " is missing: build the deploy file first");
    const std::string Log = Folder + "/" + Name + ".log";
    const pid_t Parent = getpid();
    Id = fork();
    if (Id == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != Parent)
        _exit(1);
      setenv("MAGNOLIAFALL_SETTINGS", settings().c_str(), 1);
      const int Out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      execl(Program.c_str(), Program.c_str(), nullptr);
      _exit(127);
    }
    record::line("instance %s started", Name.c_str());
  }

  bool ready() const {
    const auto Channel = channel::connect(Ip, Ready);
    message Answer;
    return Channel &&
           Channel->write("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n") &&
           Channel->read(Answer, now() + 1) && Answer.status() == 200;
  }

  /// Not through a destructor at the end: giveUp() runs none.
  void signal(int Number, const char *What) {
    record::line("instance %s gets %s", Name.c_str(), What);
    kill(Id, Number);
  }

  /// Whether the process has ended; notes how.
  bool ended() {
    if (Id <= 0)
      return true;
    int Status = 0;
    if (waitpid(Id, &Status, WNOHANG) != Id)
      return false;
    Id = -1;
    EndedAt = now();
    if (WIFSIGNALED(Status))
      End = "signal " + std::to_string(WTERMSIG(Status));
    else
      End = "exit " + std::to_string(WEXITSTATUS(Status));
    record::line("instance %s ended by %s", Name.c_str(), End.c_str());
    return true;
  }
  ~instance() {
    if (Id > 0) {
      kill(Id, SIGKILL);
      waitpid(Id, nullptr, 0);
    }
  }

  std::string settings() const { return Folder + "/" + Name + ".yaml"; }

  const std::string Name, Zone, Ip, Folder;
  const int Frontend, Ready, Registry, Peer;
  pid_t Id = -1;
  double EndedAt = 0;
  std::string End;

private:
  const int MemoryMb;
  const std::string StoreAddress;
};

// --------------------------------------------------------------- consumers

/// A request of a consumer. Its id is its own.
inline std::string requestText(const std::string &Method,
                               const std::string &Path, const std::string &Id,
                               int DeadlineMs, int WorkMs,
                               const std::string &Body = "",
                               const std::string &Key = "key-club") {
  std::string Text =
      Method + " " + Path +
      " HTTP/1.1\r\nHost: gloves.example\r\n"
      "X-Magnoliafall-Request-Id: " +
      Id + "\r\nX-Magnoliafall-Deadline-Ms: " + std::to_string(DeadlineMs) +
      "\r\nX-Work-Ms: " + std::to_string(WorkMs) + "\r\n";
  if (!Key.empty())
    Text += "Api-Key: " + Key + "\r\n";
  if (Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// A desired state like that of sokol-gw: the time-outs are the sheet's time
/// limits.
inline json desiredState(int Version) {
  return {{"version", Version},
          {"routes",
           {{"columns",
             {"name", "host", "prefix", "routeType", "timeout", "targetLatency",
              "priority", "service", "maxAttempts", "public", "trafficSplit"}},
            {"rows",
             {{"r-catalogue", "gloves.example", "/catalogue/", "safe", "4000ms",
               "2000ms", 2, "catalogue", 2, false, nullptr},
              {"r-orders", "gloves.example", "/orders/", "unsafe", "5000ms",
               "2000ms", 1, "orders", 2, false, nullptr},
              {"r-fitting", "gloves.example", "/fitting/", "safe", "8000ms",
               "3000ms", 2, "fitting", 2, false, nullptr}}}}},
          {"services",
           {{"columns",
             {"name", "healthPath", "maxConnections", "protocol", "tls"}},
            {"rows",
             {{"catalogue", "/healthz", 360, "h1", false},
              {"orders", "/healthz", 360, "h1", false},
              {"fitting", "/healthz", 360, "h1", false}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}},
          {"tenants",
           {{"columns", {"name", "apiKeys", "priority", "ratePerS", "burst"}},
            {"rows", {{"club", {"key-club"}, 0, 0, 0}}}}}};
}

/// Store, endpoints and instances of a small deployment, in a folder of their
/// own.
class fleet {
public:
  explicit fleet(int InstanceCount, int MemoryMb = 693) {
    std::string Pattern = "/tmp/magnolia-review-XXXXXX";
    if (mkdtemp(Pattern.data()) == nullptr)
      giveUp("no temporary folder");
    Folder = Pattern;
    TemporaryFolder = Folder;
    Store = std::make_unique<store>(ipOf(1));
    Store->put("op", "config", desiredState(2).dump());
    static const char *const Zones[] = {"trnava", "nitra", "senica"};
    for (int Number = 0; Number < InstanceCount; ++Number)
      Instances.push_back(std::make_unique<instance>(
          "edge-" + std::string(Zones[Number % 3]) + "-" +
              std::to_string(Number / 3 + 1),
          Zones[Number % 3], ipOf(10 + Number), *Store, Folder, MemoryMb));
  }
  [[noreturn]] void end(int Result) {
    Instances.clear();
    endWith(Result);
  }
  endpoint &add(const std::string &Id, const std::string &Service,
                const std::string &Zone, int Slots = 6) {
    Endpoints.push_back(
        std::make_unique<endpoint>(*Store, ipOf(2), Id, Service, Zone, Slots));
    return *Endpoints.back();
  }
  void start() {
    for (const auto &Each : Instances)
      Each->start();
    if (!awaitThat(20, [&] {
          for (const auto &Each : Instances)
            if (!Each->ready())
              return false;
          return true;
        }))
      giveUp("the instances did not become ready");
    record::line("all instances are ready");
  }

  std::string Folder;
  std::unique_ptr<store> Store;
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  std::vector<std::unique_ptr<instance>> Instances;
};

inline bool hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace review
