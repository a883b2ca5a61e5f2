#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/status/statusor.h>
#include <absl/synchronization/mutex.h>

#include "Common/Time.h"
#include "StandIns/FaultProxy/Flow.h"
#include "StandIns/FaultProxy/LinkFaults.h"
#include "StandIns/FaultProxy/Socket.h"

namespace magnolia::stand_ins {

/// One link: where it listens, where it forwards to, how it fails.
struct link_settings {
  std::string Name;
  std::string Listen;
  std::string Forward;
  link_faults Faults;
};

/// Moves the bytes of all links on one thread.
class relay {
public:
  /// Listens on every link.
  static absl::StatusOr<std::unique_ptr<relay>>
  start(const std::vector<link_settings> &Links);
  ~relay();
  relay(const relay &) = delete;
  relay &operator=(const relay &) = delete;

  struct link_state {
    std::string Name;
    uint16_t Port = 0;
    link_faults Faults;
    size_t Connections = 0;
  };

  /// Changes the link named \p Name; in force when this returns.
  absl::Status change(const std::string &Name, std::string_view Json);

  std::vector<link_state> links();

private:
  struct link {
    link_settings Settings;
    std::string Address;
    uint16_t Port = 0;
    socket_handle Listener;
  };

  struct pair {
    uint64_t Id = 0;
    size_t Link = 0;
    socket_handle Caller;
    socket_handle Listener;
    flow Up;
    flow Down;
    uint32_t CallerEvents = 0;
    uint32_t ListenerEvents = 0;
  };

  struct alarm {
    common::boot_time When;
    uint64_t Id;
    bool operator>(const alarm &Other) const { return When > Other.When; }
  };

  relay();
  absl::Status addLink(const link_settings &Settings);
  void run();
  int waitTime() const;
  void runCommands();
  void runOnLoop(std::function<void()> Command);
  void handle(uint64_t Tag, uint32_t Events);
  void acceptAll(size_t Link);
  void moveUp(pair &Pair);
  void moveDown(pair &Pair);
  void flush(pair &Pair);
  void fireAlarms();
  void watch(pair &Pair);
  void watchSide(int Descriptor, uint32_t Wanted, uint32_t &Current,
                 uint64_t Tag) const;
  void close(uint64_t Id, bool Abort);
  void setFaults(link &Link, size_t Index, const link_command &Command);
  void setListening(link &Link, size_t Index);
  void forEachPair(size_t Link, const std::function<void(pair &)> &Function);

  const int Epoll;
  const int Wake;
  // Only the loop's thread uses these once it runs.
  std::vector<link> Links;
  std::unordered_map<uint64_t, std::unique_ptr<pair>> Pairs;
  std::priority_queue<alarm, std::vector<alarm>, std::greater<>> Alarms;
  uint64_t NextId = 1;

  absl::Mutex Mutex;
  std::vector<std::function<void()>> Commands ABSL_GUARDED_BY(Mutex);
  bool Stopping ABSL_GUARDED_BY(Mutex) = false;
  std::thread Thread;
};

} // namespace magnolia::stand_ins
