#include "UnitTests/Crowd/Crowd.h"
#include "UnitTests/Crowd/Verdict.h"
#include "UnitTests/Soak/CallerConnection.h"
#include "UnitTests/Soak/SoakEndpoint.h"

#include <chrono>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace bronzepass::unit_tests;
using namespace std::chrono_literals;
using nlohmann::json;

/// Far longer than any answer takes; what is asked is that one comes.
constexpr std::chrono::seconds AnswerLimit = 60s;
constexpr std::chrono::milliseconds AskPeriod = 200ms;
constexpr uint64_t KibPerMib = 1024;

json configuration() {
  return {{"Version", 1},
          {"Limits",
           {{"MaxHeaderBytes", crowd::MaxHeaderBytes},
            {"MaxBodyBytes", crowd::MaxBodyBytes},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}},
          {"Routes",
           {{{"Name", "once"},
             {"Host", "h"},
             {"PathPrefix", "/once/"},
             {"Kind", "non_idempotent"},
             {"Service", "plain"},
             {"TimeoutMs", 30000},
             {"SloMs", 1000},
             {"Priority", 0},
             {"GapTargetMs", 400},
             {"MaxAttempts", 1},
             {"AllowResume", false}}}},
          {"Services", {{{"Name", "plain"}, {"MaxConns", 0}}}}};
}

/// Sends requests until one is answered by an endpoint.
bool isAnswered(soak::RequestRecord &Record, uint16_t Port,
                const std::string &Name, size_t BodyBytes) {
  const auto GiveUpAt = std::chrono::steady_clock::now() + AnswerLimit;
  for (int Try = 0; std::chrono::steady_clock::now() < GiveUpAt; ++Try) {
    const std::string Id = Name + std::to_string(Try);
    Record.onSent(Id, soak::RequestKind::Once);
    soak::CallerConnection Connection(Port);
    const std::string Request =
        "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
        "\r\nX-Deadline-Ms: 20000\r\nContent-Length: " +
        std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'o');
    if (Connection.isOpen() && Connection.send(Request) &&
        Connection.receive().m_Status == 200)
      return true;
    std::this_thread::sleep_for(AskPeriod);
  }
  return false;
}

int runAttack(const crowd::CrowdAttack &Attack, uint16_t Port,
              const std::string &Folder) {
  constexpr size_t OrdinaryBytes = 1000;
  soak::PlatformStore Store;
  soak::RequestRecord Record;
  soak::EndpointFaults Faults;
  soak::OrderRecord Orders;
  for (std::atomic<double> *Each :
       {&Faults.m_CutShare, &Faults.m_ExtraShare, &Faults.m_LostShare,
        &Faults.m_RefusedShare})
    *Each = 0;
  soak::SoakEndpoint::Shared Shared{Store,
                                    Record,
                                    Faults,
                                    Orders,
                                    soak::PlantedFault::None,
                                    [](soak::SteadyTime) { return false; }};
  Store.put("config", "main", configuration());
  soak::SoakEndpoint Endpoint(Shared, "s-0", "plain", "v1", {});
  soak::ThreadServer StorePort([&Store](soak::ServerConnection &Connection,
                                        const soak::ServerRequest &Request) {
    Store.serve(Connection, Request, soak::StoreAccess::Normal);
  });
  crowd::CrowdNode Node(Folder, Port, StorePort.port());
  crowd::Verdict Checks;
  Checks.check(Node.start(), "the node becomes ready");
  Checks.check(isAnswered(Record, Port, "calm-", crowd::MaxBodyBytes),
               "in calm, a request with the largest body is answered");
  crowd::Crowd Clients(Attack, Node);
  Clients.attack();
  std::cerr << "clients open: " << Clients.openCount() << ", last statuses:";
  for (const auto &[Status, Count] : Clients.statuses())
    std::cerr << " " << Status << ": " << Count;
  std::cerr << std::endl;
  Checks.check(isAnswered(Record, Port, "after-", OrdinaryBytes),
               "an ordinary request is answered while the crowd stays");
  const std::optional<crowd::ProcessUse> Use = Node.use();
  const std::string Ended = Node.ended();
  Checks.check(Ended == "no" && Use && !Clients.nodeEnded(),
               "the process lives (ended: " + Ended + ")");
  if (Use) {
    const uint64_t Bound = crowd::MemoryLimitMiB * KibPerMib;
    Checks.check(Use->m_PeakMemoryKiB <= Bound,
                 "memory at its peak " + std::to_string(Use->m_PeakMemoryKiB) +
                     " KiB of " + std::to_string(Bound));
  }
  Checks.check(Clients.peakDescriptors() <= crowd::DescriptorLimit,
               "descriptors at their peak " +
                   std::to_string(Clients.peakDescriptors()) + " of " +
                   std::to_string(crowd::DescriptorLimit));
  Store.stop();
  return Checks.hasFailed() ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int ArgumentCount = 4;
  const std::optional<crowd::CrowdAttack> Attack =
      Count == ArgumentCount ? crowd::attackNamed(Arguments[1]) : std::nullopt;
  if (!Attack) {
    std::cerr << "usage: bronzepass-crowd ATTACK PORT FOLDER" << std::endl;
    return 2;
  }
  return runAttack(*Attack, static_cast<uint16_t>(std::stoul(Arguments[2])),
                   Arguments[3]);
}
