#ifndef BRONZEPASS_UNITTESTS_SOAK_SOAKENDPOINT_H
#define BRONZEPASS_UNITTESTS_SOAK_SOAKENDPOINT_H

#include "UnitTests/Soak/PlantedFault.h"
#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/RequestRecord.h"
#include "UnitTests/Soak/ThreadServer.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace bronzepass::unit_tests::soak {

/// Faults that the endpoints of a run share; each is a share of the answers.
struct EndpointFaults {
  static constexpr double UsualShare = 0.02;

  /// Broken off, some inside an event, with any framing.
  std::atomic<double> m_CutShare = UsualShare;
  /// Followed by bytes that belong to no request.
  std::atomic<double> m_ExtraShare = UsualShare;
  /// Run, and lost with a reset.
  std::atomic<double> m_LostShare = UsualShare / 4;
  /// Run, and never answered.
  std::atomic<double> m_MuteShare = 0;
  /// Refused as not run.
  std::atomic<double> m_RefusedShare = UsualShare;
  /// Orders that get no answer and are carried out seconds later.
  std::atomic<double> m_LateOrderShare = 0;
};

/// The orders to all engines together.
class OrderRecord {
public:
  /// Records a load from the weight store, as \p Weight loads; false if there
  /// are too many.
  bool addLoad(size_t Weight);
  /// The holder that first used \p Token.
  std::string holderOf(uint64_t Token, const std::string &Holder);

private:
  std::mutex m_Mutex;
  std::deque<SteadyTime> m_Loads;
  std::map<uint64_t, std::string> m_Holders;
};

/// A model engine or a plain service of the platform.
class SoakEndpoint {
public:
  struct Shared {
    PlatformStore &m_Store;
    RequestRecord &m_Record;
    EndpointFaults &m_Faults;
    OrderRecord &m_Orders;
    PlantedFault m_Planted = PlantedFault::None;
    /// Whether every node is bound to know of a removal that is older than the
    /// leave notice.
    std::function<bool(SteadyTime Since)> m_NodesAreBound;
  };

  static constexpr uint64_t EngineWeightsMb = 100000;
  static constexpr uint64_t ModelWeightsMb = 40000;
  static constexpr int EngineSlots = 16;
  /// How long an endpoint that leaves may still be sent requests.
  static constexpr std::chrono::seconds LeaveNotice{2};

  /// \p Models is empty for a plain service.
  SoakEndpoint(Shared &Common, std::string Id, std::string Service,
               std::string SoftwareVersion,
               const std::set<std::string> &Models);

  const std::string &id() const { return m_Id; }
  /// Writes its entry, as it does from time to time.
  void renew();
  void startDraining();
  /// Removes its entry and goes on answering, as an endpoint that has left.
  void unregister();
  /// Ends like a crashed process.
  void crash();
  /// Takes requests and does not leave.
  bool isServing() const { return !m_Down && !m_Draining && !m_Unregistered; }
  bool isRegistered() const { return !m_Unregistered; }

private:
  void onRequest(ServerConnection &Connection, const ServerRequest &Request);
  void run(ServerConnection &Connection, const ServerRequest &Request);
  bool writeAnswer(ServerConnection &Connection, const std::string &Id,
                   const std::string &Body, int FirstEvent,
                   std::chrono::milliseconds Pause);
  /// False if the peer is gone before.
  static bool rest(const ServerConnection &Connection,
                   std::chrono::milliseconds For);
  void stream(ServerConnection &Connection, const ServerRequest &Request,
              const std::string &Id, size_t Run);
  void order(ServerConnection &Connection, const ServerRequest &Request);
  int applyOrder(const nlohmann::json &Order);
  void finishLoads();
  nlohmann::json modelsJson() const;
  std::string report();
  void checkLeaving(const std::string &Id);

  Shared &m_Shared;
  const std::string m_Id;
  const std::string m_Service;
  const std::string m_SoftwareVersion;
  const bool m_IsEngine;
  std::mutex m_Mutex;
  std::map<std::string, std::set<std::string>> m_Models;
  std::string m_Loading;
  SteadyTime m_LoadedAt;
  uint64_t m_OrderCount = 0;
  uint64_t m_Renewals = 0;
  uint64_t m_HighestToken = 0;
  std::atomic<bool> m_Draining = false;
  std::atomic<bool> m_Unregistered = false;
  std::atomic<bool> m_Down = false;
  SteadyTime m_LeavesSince;
  std::atomic<int> m_Running = 0;
  ThreadServer m_Server;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_SOAKENDPOINT_H
