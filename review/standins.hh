// Stand-ins for the platform's store, the endpoints and the consumers, as the
// users' pages describe them, and a small fleet of real instance processes.
// Plain sockets and threads; used by the scripts under review/ only.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline steady::time_point &startTime() {
  static steady::time_point Start = steady::now();
  return Start;
}
inline long nowMs() {
  return std::chrono::duration_cast<milliseconds>(steady::now() - startTime())
      .count();
}
inline void sleepMs(long Ms) {
  std::this_thread::sleep_for(milliseconds(Ms));
}

/// record.txt: what was sent, answered and run.
class record {
public:
  explicit record(const std::string &File) : Out(fopen(File.c_str(), "w")) {}
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> Lock(Mutex);
    fprintf(Out, "%7ld ms  ", nowMs());
    va_list Args;
    va_start(Args, Format);
    vfprintf(Out, Format, Args);
    va_end(Args);
    fputc('\n', Out);
    fflush(Out);
  }

private:
  std::mutex Mutex;
  FILE *Out;
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in A{};
  A.sin_family = AF_INET;
  A.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &A.sin_addr);
  return A;
}

/// A listening socket on a free port, or -1.
inline int listenOn(const std::string &Ip, int &Port) {
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  sockaddr_in A = addressOf(Ip, Port);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&A), sizeof A) != 0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    return -1;
  }
  socklen_t Size = sizeof A;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&A), &Size);
  Port = ntohs(A.sin_port);
  return Fd;
}

/// A port that is free for TCP and UDP now. Below the ports that the system gives
/// to outgoing connections, so that none of these takes it meanwhile.
inline int freePort(const std::string &Ip) {
  static int Next = 21000;
  for (int Try = 0; Try < 500; ++Try) {
    int Port = Next++;
    const int Fd = listenOn(Ip, Port);
    if (Fd < 0)
      continue;
    const int Udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in A = addressOf(Ip, Port);
    const bool Ok = bind(Udp, reinterpret_cast<sockaddr *>(&A), sizeof A) == 0;
    close(Udp);
    close(Fd);
    if (Ok)
      return Port;
  }
  return 0;
}

/// The head and body of one HTTP message.
struct message {
  std::string First;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
  bool Complete = false;
  int status() const {
    return First.size() > 12 ? atoi(First.c_str() + 9) : 0;
  }
  std::string header(const std::string &Name) const {
    const auto Found = Headers.find(Name);
    return Found == Headers.end() ? "" : Found->second;
  }
};

/// A blocking stream that reads messages with a length.
class stream {
public:
  explicit stream(int Fd = -1) : Fd(Fd) {}
  ~stream() { shut(); }
  stream(const stream &) = delete;
  stream &operator=(const stream &) = delete;

  bool connectTo(const std::string &Ip, int Port, int ReceiveBuffer = 0) {
    Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (ReceiveBuffer > 0)
      setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof ReceiveBuffer);
    int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    sockaddr_in A = addressOf(Ip, Port);
    if (connect(Fd, reinterpret_cast<sockaddr *>(&A), sizeof A) == 0)
      return true;
    shut();
    return false;
  }
  void shut() {
    if (Fd >= 0)
      close(Fd);
    Fd = -1;
  }
  bool send(const std::string &Bytes) {
    size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const ssize_t N = ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent,
                               MSG_NOSIGNAL);
      if (N <= 0)
        return false;
      Sent += static_cast<size_t>(N);
    }
    return true;
  }
  /// Reads more bytes; false at the end, on an error or at the limit of time.
  bool fill(long UntilMs) {
    const long Left = UntilMs - nowMs();
    if (Left <= 0)
      return false;
    pollfd P{Fd, POLLIN, 0};
    if (poll(&P, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Buffer[16384];
    const size_t Want = BytesPerSecond > 0 ? 4096 : sizeof Buffer;
    const ssize_t N = recv(Fd, Buffer, Want, 0);
    if (N <= 0) {
      Ended = true;
      return false;
    }
    if (BytesPerSecond > 0)
      std::this_thread::sleep_for(
          std::chrono::microseconds(N * 1000000L / BytesPerSecond));
    Pending.append(Buffer, static_cast<size_t>(N));
    return true;
  }
  /// Reads one message; Complete is false if the stream ended before.
  message read(long UntilMs) {
    message M;
    size_t End;
    while ((End = Pending.find("\r\n\r\n")) == std::string::npos)
      if (!fill(UntilMs))
        return M;
    std::istringstream Head(Pending.substr(0, End));
    Pending.erase(0, End + 4);
    std::getline(Head, M.First);
    if (!M.First.empty() && M.First.back() == '\r')
      M.First.pop_back();
    for (std::string Line; std::getline(Head, Line);) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
      const size_t Begin = Line.find_first_not_of(' ', Colon + 1);
      M.Headers[Name] = Begin == std::string::npos ? "" : Line.substr(Begin);
    }
    const size_t Length = strtoul(M.header("content-length").c_str(), nullptr, 10);
    while (Pending.size() < Length)
      if (!fill(UntilMs)) {
        M.Body = Pending;
        return M;
      }
    M.Body = Pending.substr(0, Length);
    Pending.erase(0, Length);
    M.Complete = true;
    return M;
  }
  /// Whether the other side has closed or reset it.
  bool closed() const { return Ended; }
  int fd() const { return Fd; }
  /// Reads no faster than this; 0: as fast as possible.
  long BytesPerSecond = 0;

private:
  int Fd;
  std::string Pending;
  bool Ended = false;
};

inline std::string base64(const std::string &Text) {
  static const char *Set =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < Text.size(); I += 3) {
    uint32_t V = 0;
    const size_t N = std::min<size_t>(3, Text.size() - I);
    for (size_t J = 0; J < 3; ++J)
      V = V << 8 | (J < N ? static_cast<unsigned char>(Text[I + J]) : 0);
    for (size_t J = 0; J < 4; ++J)
      Out += J <= N ? Set[V >> (18 - 6 * J) & 63] : '=';
  }
  return Out;
}

inline std::string answer(int Status, const std::string &Headers,
                          const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The platform's store, form "table".
class store {
public:
  store(const std::string &Ip) : Ip(Ip) {
    Fd = listenOn(Ip, Port);
    std::thread([this] { acceptAll(); }).detach();
  }
  int port() const { return Port; }
  std::string address() const { return Ip + ":" + std::to_string(Port); }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    std::lock_guard<std::mutex> Lock(Mutex);
    change(Table, Key, base64(Value), false);
    Changed.notify_all();
  }
  void remove(const std::string &Table, const std::string &Key) {
    std::lock_guard<std::mutex> Lock(Mutex);
    change(Table, Key, "", true);
    Changed.notify_all();
  }

private:
  struct row {
    std::string Value;
    uint64_t Version = 0;
  };
  struct event {
    std::string Table, Key;
    uint64_t Version;
  };
  void change(const std::string &Table, const std::string &Key,
              const std::string &Encoded, bool Remove) {
    ++Version;
    if (Remove)
      Tables[Table].erase(Key);
    else
      Tables[Table][Key] = {Encoded, Version};
    History.push_back({Table, Key, Version});
  }
  void acceptAll() {
    while (true) {
      const int C = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (C < 0)
        return;
      int On = 1;
      setsockopt(C, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::thread([this, C] { serve(C); }).detach();
    }
  }
  static std::string parameter(const std::string &Target, const std::string &N) {
    const size_t Q = Target.find('?');
    std::istringstream In(Q == std::string::npos ? "" : Target.substr(Q + 1));
    for (std::string P; std::getline(In, P, '&');)
      if (P.compare(0, N.size() + 1, N + "=") == 0) {
        std::string Out;
        for (size_t I = N.size() + 1; I < P.size(); ++I)
          if (P[I] == '%' && I + 2 < P.size()) {
            Out += static_cast<char>(strtol(P.substr(I + 1, 2).c_str(), nullptr, 16));
            I += 2;
          } else
            Out += P[I];
        return Out;
      }
    return "";
  }
  json rowOf(const std::string &Table, const std::string &Key) {
    json R = {{"table", Table}, {"part", ""}, {"key", Key}};
    const auto Found = Tables[Table].find(Key);
    if (Found == Tables[Table].end()) {
      R["removed"] = true;
      R["ver"] = Version;
    } else {
      R["value"] = Found->second.Value;
      R["ver"] = Found->second.Version;
    }
    return R;
  }
  json head() {
    return {{"ver", Version}, {"now", std::to_string(nowMs()) + "ms"}};
  }
  void serve(int C) {
    stream S(C);
    while (true) {
      const message M = S.read(nowMs() + 600000);
      if (!M.Complete)
        return;
      const size_t A = M.First.find(' ');
      const std::string Target =
          M.First.substr(A + 1, M.First.rfind(' ') - A - 1);
      const std::string Path = Target.substr(0, Target.find('?'));
      const std::string Table = parameter(Target, "table");
      json Out;
      sleepMs(4);
      std::unique_lock<std::mutex> Lock(Mutex);
      if (Path == "/rows-get") {
        Out = head();
        Out["rows"] = json::array();
        Out["truncated"] = false;
        const std::string From = parameter(Target, "from");
        for (const auto &[Key, Row] : Tables[Table])
          if (Key >= From)
            Out["rows"].push_back(rowOf(Table, Key));
      } else if (Path == "/rows-feed") {
        const uint64_t After = strtoull(parameter(Target, "after").c_str(), nullptr, 10);
        const long Wait = atol(parameter(Target, "waitMs").c_str());
        const auto Rows = [&] {
          std::map<std::string, uint64_t> Last;
          for (const event &E : History)
            if (E.Table == Table && E.Version > After)
              Last[E.Key] = E.Version;
          std::vector<std::pair<uint64_t, std::string>> Order;
          for (const auto &[Key, V] : Last)
            Order.emplace_back(V, Key);
          std::sort(Order.begin(), Order.end());
          json List = json::array();
          for (const auto &[V, Key] : Order) {
            json R = rowOf(Table, Key);
            R["ver"] = V;
            List.push_back(R);
          }
          return List;
        };
        Changed.wait_for(Lock, milliseconds(Wait),
                         [&] { return !Rows().empty(); });
        Out = head();
        Out["rows"] = Rows();
      } else if (Path == "/rows-tx") {
        const json In = json::parse(M.Body);
        for (const json &W : In.value("writes", json::array()))
          change(W["table"], W["key"], W["value"], false);
        for (const json &W : In.value("remove", json::array()))
          change(W["table"], W["key"], "", true);
        Changed.notify_all();
        Out = head();
      } else {
        Lock.unlock();
        S.send(answer(404, "", ""));
        continue;
      }
      Lock.unlock();
      if (!S.send(answer(200, "Content-Type: application/json\r\n", Out.dump())))
        return;
    }
  }

  const std::string Ip;
  int Port = 0;
  int Fd = -1;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, row>> Tables;
  std::vector<event> History;
  uint64_t Version = 1;
};

/// One endpoint. Runs up to its slots at a time and queues the rest; answers
/// with its signature, the request's id and a body.
class endpoint {
public:
  struct run {
    std::string Id;      // of the request
    std::string Tenant;
    std::string Path;
    size_t BodyBytes = 0;
    long BeganMs = 0;
    bool Answered = false;
  };

  endpoint(store &Store, record &Record, const std::string &Ip, std::string Id,
           std::string Service, std::string Zone, int Slots, long WorkMs)
      : Id(std::move(Id)), Service(std::move(Service)), Zone(std::move(Zone)),
        Slots(Slots), WorkMs(WorkMs), Store(Store), Record(Record) {
    Fd = listenOn(Ip, Port);
    Address = Ip + ":" + std::to_string(Port);
    Born = std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    std::thread([this] { acceptAll(); }).detach();
    std::thread([this] {
      for (int Sequence = 1;; ++Sequence) {
        beat(Sequence);
        sleepMs(1500);
      }
    }).detach();
  }

  std::vector<run> runs() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }
  const std::string Id, Service, Zone;
  /// Bytes of an answer's body for a path.
  std::function<size_t(const std::string &Path)> AnswerBytes =
      [](const std::string &) { return size_t{400}; };
  /// Quiet endpoints write no line for each run.
  bool Quiet = false;

private:
  void beat(int Sequence) {
    const json Entry = {
        {"address", Address},
        {"born", Born},
        {"info",
         {{"service", Service}, {"version", "v1"}, {"zone", Zone}, {"capacity", Slots}}},
        {"status",
         {{"state", "ready"}, {"sequence", Sequence}, {"warmupLeft", "0ms"}}}};
    Store.put("servers", Id, Entry.dump());
  }
  void acceptAll() {
    while (true) {
      const int C = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (C < 0)
        return;
      int On = 1;
      setsockopt(C, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      std::thread([this, C] { serve(C); }).detach();
    }
  }
  void serve(int C) {
    stream S(C);
    while (true) {
      // An idle channel is closed after ten seconds.
      const message M = S.read(nowMs() + 10000);
      if (!M.Complete)
        return;
      const size_t A = M.First.find(' ');
      const std::string Path = M.First.substr(A + 1, M.First.rfind(' ') - A - 1);
      const std::string RequestId = M.header("x-magnoliafall-request-id");
      const std::string Echo = "X-Magnoliafall-Request-Id: " + RequestId + "\r\n";
      if (Path == "/healthz") {
        S.send(answer(200, "X-Magnoliafall-Instance-Id: " + Id + "\r\n", ""));
        continue;
      }
      if (RequestId.empty()) {
        S.send(answer(400, "X-Magnoliafall-Not-Executed: 1\r\n", ""));
        continue;
      }
      const std::string Expected = M.header("x-magnoliafall-expect-instance");
      if (!Expected.empty() && Expected != Id) {
        S.send(answer(421, Echo + "X-Magnoliafall-Not-Executed: 1\r\n", ""));
        continue;
      }
      std::unique_lock<std::mutex> Lock(Mutex);
      if (Waiting >= 16) {
        Lock.unlock();
        S.send(answer(503, Echo + "X-Magnoliafall-Not-Executed: 1\r\n", ""));
        continue;
      }
      ++Waiting;
      Free.wait(Lock, [&] { return Running < Slots; });
      --Waiting;
      ++Running;
      const size_t Index = Runs.size();
      Runs.push_back({RequestId, M.header("x-magnoliafall-tenant"), Path,
                      M.Body.size(), nowMs(), false});
      Lock.unlock();
      if (!Quiet)
        Record.line("endpoint %s runs %s %s tenant=%s body=%zu", Id.c_str(),
                    RequestId.c_str(), Path.c_str(),
                    M.header("x-magnoliafall-tenant").c_str(), M.Body.size());
      long Work = WorkMs;
      const size_t W = Path.find("work=");
      if (W != std::string::npos)
        Work = atol(Path.c_str() + W + 5);
      sleepMs(Work);
      Lock.lock();
      --Running;
      Free.notify_one();
      Lock.unlock();
      const std::string Body(AnswerBytes(Path), 'a');
      const bool Sent =
          S.send(answer(200, Echo + "X-Magnoliafall-Response-Signature: s." + Id +
                                 "\r\nKeep-Alive: timeout=10\r\n",
                        Body));
      Lock.lock();
      Runs[Index].Answered = Sent;
      Lock.unlock();
      if (!Sent)
        return;
    }
  }

  const int Slots;
  const long WorkMs;
  store &Store;
  record &Record;
  int Fd = -1;
  int Port = 0;
  std::string Address;
  int64_t Born = 0;
  std::mutex Mutex;
  std::condition_variable Free;
  int Waiting = 0;
  int Running = 0;
  std::vector<run> Runs;
};

/// Three machines of dolna-gw, one a zone.
inline const std::vector<std::string> &threeZones() {
  static const std::vector<std::string> Zones = {"kolkata", "howrah", "siliguri"};
  return Zones;
}

/// Real instance processes, each with an address of its own.
class fleet {
public:
  struct instance {
    std::string Ip, Zone, Name, Settings, Log;
    int Callers = 0, Ready = 0, Directory = 0, Metrics = 0, Peer = 0;
    pid_t Pid = -1;
    bool Ended = false;
    int EndStatus = 0;
  };

  /// \p Base: "127.x.y", under which the fleet has its addresses.
  fleet(const std::string &Base, const std::string &Folder,
        const std::string &Template, const std::string &Program,
        const std::string &StoreAddress, const std::vector<std::string> &Zones,
        int MemoryMb)
      : Program(Program) {
    std::map<std::string, int> Numbers;
    std::ifstream In(Template);
    std::stringstream Text;
    Text << In.rdbuf();
    for (size_t I = 0; I < Zones.size(); ++I) {
      instance X;
      X.Ip = Base + "." + std::to_string(10 + I);
      X.Zone = Zones[I];
      X.Name = "edge-" + X.Zone + "-" + std::to_string(++Numbers[X.Zone]);
      X.Callers = freePort(X.Ip);
      X.Ready = freePort(X.Ip);
      X.Directory = freePort(X.Ip);
      X.Peer = freePort(X.Ip);
      const auto At = [&](int Port) { return X.Ip + ":" + std::to_string(Port); };
      std::string S = Text.str();
      const std::map<std::string, std::string> Values = {
          {"nodeName", X.Name}, {"zone", X.Zone}, {"ip", X.Ip},
          {"listenAddrs.frontend", At(X.Callers)},
          {"listenAddrs.ready", At(X.Ready)},
          {"listenAddrs.registry", At(X.Directory)},
          {"internalPorts.0", std::to_string(X.Peer)},
          {"platform.address", StoreAddress},
          {"limits.maxFds", "9840"},
          {"limits.memoryMb", std::to_string(MemoryMb)},
          {"bounds.ttl_max", "5s"}, {"bounds.grace", "6s"},
          {"bounds.retryBudgetRatio", "0.2"}, {"bounds.budgetSlack", "58"},
          {"bounds.retryWindow", "10s"}};
      for (const auto &[Name, Value] : Values) {
        const std::string Mark = "{{" + Name + "}}";
        for (size_t P; (P = S.find(Mark)) != std::string::npos;)
          S.replace(P, Mark.size(), Value);
      }
      X.Settings = Folder + "/" + X.Name + ".yaml";
      X.Log = Folder + "/" + X.Name + ".log";
      std::ofstream(X.Settings) << S;
      Instances.push_back(X);
    }
  }
  ~fleet() { endAll(); }
  /// Ends all instances and this program, whose threads go on until then.
  [[noreturn]] void done(int Code) {
    endAll();
    _exit(Code);
  }
  void endAll() {
    for (instance &X : Instances)
      if (X.Pid > 0 && !ended(X))
        kill(X.Pid, SIGKILL);
    for (instance &X : Instances)
      if (X.Pid > 0 && !X.Ended)
        waitpid(X.Pid, nullptr, 0);
  }
  void start(instance &X) {
    X.Ended = false;
    X.Pid = fork();
    if (X.Pid == 0) {
      // It ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out = open(X.Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      setenv("MAGNOLIAFALL_SETTINGS", X.Settings.c_str(), 1);
      execl(Program.c_str(), Program.c_str(), static_cast<char *>(nullptr));
      _exit(127);
    }
  }
  void startAll() {
    for (instance &X : Instances)
      start(X);
  }
  /// Whether the process has ended.
  bool ended(instance &X) {
    if (X.Ended)
      return true;
    int Status = 0;
    if (waitpid(X.Pid, &Status, WNOHANG) != X.Pid)
      return false;
    X.Ended = true;
    X.EndStatus = Status;
    return true;
  }
  static std::string endOf(const instance &X) {
    if (WIFSIGNALED(X.EndStatus))
      return std::string("signal ") + std::to_string(WTERMSIG(X.EndStatus)) +
             " (" + strsignal(WTERMSIG(X.EndStatus)) + ")";
    return "exit code " + std::to_string(WEXITSTATUS(X.EndStatus));
  }
  static bool ready(const instance &X) {
    stream S;
    if (!S.connectTo(X.Ip, X.Ready))
      return false;
    S.send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return S.read(nowMs() + 1000).status() == 200;
  }
  bool awaitReady(long UntilMs) {
    while (nowMs() < UntilMs) {
      if (std::all_of(Instances.begin(), Instances.end(),
                      [](const instance &X) { return ready(X); }))
        return true;
      sleepMs(100);
    }
    return false;
  }
  /// Why the fleet is not ready.
  void explain(record &Record) {
    for (instance &X : Instances) {
      if (ready(X))
        continue;
      std::string Last;
      std::ifstream In(X.Log);
      for (std::string Line; std::getline(In, Line);)
        Last = Line;
      Record.line("%s is not ready%s: %s", X.Name.c_str(),
                  ended(X) ? (", " + endOf(X)).c_str() : "", Last.c_str());
    }
  }
  std::vector<instance> Instances;

private:
  const std::string Program;
};

/// Resident memory of a process, MB.
inline long residentMb(pid_t Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Line; std::getline(In, Line);)
    if (Line.compare(0, 6, "VmRSS:") == 0)
      return atol(Line.c_str() + 6) / 1024;
  return 0;
}

/// "127.x.y" for this run, so that two runs don't meet.
inline std::string ownNetwork() {
  const unsigned P = static_cast<unsigned>(getpid());
  return "127." + std::to_string(60 + P / 250 % 60) + "." +
         std::to_string(1 + P % 250);
}

inline bool troubled() {
  const char *T = getenv("TROUBLE");
  return !(T && std::string(T) == "0");
}

/// A configuration as the operator writes it.
inline std::string configuration(int Version, const json &Tenants) {
  const json Value = {
      {"version", Version},
      {"routes",
       {{"columns",
         {"name", "host", "prefix", "routeType", "timeout", "targetLatency",
          "priority", "service", "maxAttempts", "public", "trafficSplit"}},
        {"rows",
         json::parse(R"([
             ["r-pay","hulo84.example","/pay/","unsafe","2500ms","1500ms",1,
              "reservations",2,false,null],
             ["r-list","jepu9.example","/list/","safe","2000ms","1500ms",2,
              "listings",2,false,null],
             ["r-safety","jepu9.example","/safety/","safe","4000ms","2000ms",2,
              "safety-records",2,false,null]])")}}},
      {"services",
       {{"columns", {"name", "healthPath", "maxConnections", "protocol", "tls"}},
        {"rows",
         {{"listings", "/healthz", 330, "h1", false},
          {"safety-records", "/healthz", 330, "h1", false},
          {"reservations", "/healthz", 330, "h1", false}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 67108864},
        {"headerTimeout", "3000ms"},
        {"idleTimeout", "15000ms"}}},
      {"tenants",
       {{"columns", {"name", "apiKeys", "priority", "ratePerS", "burst"}},
        {"rows", Tenants}}}};
  return Value.dump();
}

/// One request of a consumer.
inline std::string request(const std::string &Method, const std::string &Host,
                           const std::string &Path, const std::string &Id,
                           long DeadlineMs, const std::string &Key,
                           const std::string &Body = "") {
  std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nX-Magnoliafall-Request-Id: " + Id +
                     "\r\nX-Magnoliafall-Deadline-Ms: " +
                     std::to_string(DeadlineMs) + "\r\n";
  if (!Key.empty())
    Text += "Api-Key: " + Key + "\r\n";
  if (Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// Arguments: folder of the case, temporary folder, template, program.
struct arguments {
  std::string Case, Temp, Template, Program;
  arguments(int Argc, char **Argv) {
    signal(SIGPIPE, SIG_IGN);
    startTime();
    if (Argc != 5) {
      fprintf(stderr, "usage: %s CASE TEMP TEMPLATE PROGRAM\n", Argv[0]);
      _exit(2);
    }
    Case = Argv[1];
    Temp = Argv[2];
    Template = Argv[3];
    Program = Argv[4];
  }
};

} // namespace review
