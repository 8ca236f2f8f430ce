#ifndef BRONZEPASS_UNITTESTS_SOAK_PLATFORMSTORE_H
#define BRONZEPASS_UNITTESTS_SOAK_PLATFORMSTORE_H

#include "UnitTests/Soak/ThreadServer.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::soak {

using SteadyTime = std::chrono::steady_clock::time_point;

/// How the store treats one node's calls, or all of them.
enum class StoreAccess {
  Normal,
  /// No answer; the connection stays open.
  Silent,
  Unavailable,
  TooMany,
  Reset,
  /// Writes are done, but not answered.
  LosesWriteAnswers,
  /// Calls are done and never answered.
  Mute,
  Slow,
};

/// The platform's metadata store: objects by kind and name with one revision
/// counter, lists, watches, conditional writes and restores from a backup.
class PlatformStore {
public:
  using Json = nlohmann::json;

  PlatformStore() = default;
  ~PlatformStore() { stop(); }
  PlatformStore(const PlatformStore &) = delete;
  PlatformStore &operator=(const PlatformStore &) = delete;

  /// Ends all watches.
  void stop();

  // What the operator and the endpoints do.
  /// Creates or replaces an object; nothing changes if it is the same.
  void put(const std::string &Kind, const std::string &Name, const Json &Spec);
  void remove(const std::string &Kind, const std::string &Name);
  /// The names of all objects of a kind.
  std::vector<std::string> names(const std::string &Kind) const;

  /// Answers a node's call.
  void serve(ServerConnection &Connection, const ServerRequest &Request,
             StoreAccess Access);
  /// Applies to all nodes, unless a node's own access is worse.
  void setAccess(StoreAccess Access) { m_Access = Access; }
  /// Forgets the history, so that watches from before have to list again.
  void compact();
  /// Goes back to the state some time ago, under the next era.
  void restore(std::chrono::milliseconds Age);
  /// Leaves changes of the configuration out of watches.
  void hideConfiguration() { m_HidesConfiguration = true; }

private:
  struct Object {
    uint64_t m_Revision = 0;
    Json m_Spec;
  };
  struct Change {
    uint64_t m_Revision = 0;
    std::string m_Kind;
    std::string m_Name;
    std::optional<Json> m_Spec;
  };
  struct State {
    std::map<std::string, std::map<std::string, Object>> m_Objects;
    std::deque<Change> m_History;
    uint64_t m_Revision = 1;
    /// Changes up to this revision are not in the history.
    uint64_t m_HistoryStart = 1;
  };
  struct Reply {
    int m_Status = 200;
    Json m_Body = Json::object();
    /// In force when the call was decided.
    uint64_t m_Era = 0;
  };

  static Json toJson(const std::string &Name, const Object &Each);
  void apply(Change New);
  void keepBackup();
  Reply list(const std::string &Kind) const;
  Reply watch(const std::string &Kind, const ServerRequest &Request,
              std::unique_lock<std::mutex> &Lock);
  Reply write(const std::string &Kind, const std::string &Name,
              const ServerRequest &Request);
  Reply decide(const ServerRequest &Request,
               std::unique_lock<std::mutex> &Lock);
  Reply handle(const ServerRequest &Request);

  mutable std::mutex m_Mutex;
  std::condition_variable m_Changed;
  State m_State;
  std::deque<std::pair<SteadyTime, State>> m_Backups;
  std::atomic<uint64_t> m_Era = 1;
  std::atomic<StoreAccess> m_Access = StoreAccess::Normal;
  bool m_Stopping = false;
  bool m_HidesConfiguration = false;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_PLATFORMSTORE_H
