#include "UnitTests/Crowd/FaultyEndpoints.h"

#include <chrono>
#include <thread>

namespace bronzepass::unit_tests::crowd {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds GatherTime = 1500ms;
/// Between two pieces of one answer; all together load the machine.
constexpr std::chrono::milliseconds PiecePeriod = 20ms;
constexpr size_t Slots = 1000;

} // namespace

void enterEndpoint(soak::PlatformStore &Store, const std::string &Service,
                   uint16_t Port) {
  Store.put("servers", Service + "-" + std::to_string(Port),
            {{"Service", Service},
             {"Address", "127.0.0.1:" + std::to_string(Port)},
             {"Zone", "z0"},
             {"Version", "v1"},
             {"Slots", Slots},
             {"State", "ready"},
             {"Models", nlohmann::json::array()},
             {"Sequence", 0}});
}

FaultyEndpoints::FaultyEndpoints(const EndlessAnswer &Answer, size_t Count,
                                 size_t Expected)
    : m_Answer(Answer), m_Expected(Expected) {
  for (size_t I = 0; I < Count; ++I)
    m_Servers.emplace_back(
        [this](soak::ServerConnection &To, const soak::ServerRequest &Request) {
          ++m_Arrived;
          const std::string Head =
              "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Request-Id: " +
              Request.header("x-request-id") + "\r\n";
          send(To, (m_Answer.m_HasSoundHead ? Head : "") + m_Answer.m_Start);
        },
        [this](soak::ServerConnection &To) {
          if (m_Answer.m_SendsUnasked)
            send(To, m_Answer.m_Start);
        });
}

void FaultyEndpoints::enter(soak::PlatformStore &Store,
                            const std::string &Service) const {
  for (const soak::ThreadServer &Each : m_Servers)
    enterEndpoint(Store, Service, Each.port());
}

void FaultyEndpoints::leave(soak::PlatformStore &Store,
                            const std::string &Service) const {
  for (const soak::ThreadServer &Each : m_Servers)
    Store.remove("servers", Service + "-" + std::to_string(Each.port()));
}

void FaultyEndpoints::awaitOthers() const {
  const auto GiveUpAt = std::chrono::steady_clock::now() + GatherTime;
  while (m_Arrived < m_Expected && std::chrono::steady_clock::now() < GiveUpAt)
    std::this_thread::sleep_for(PiecePeriod);
}

void FaultyEndpoints::send(soak::ServerConnection &To,
                           const std::string &Start) {
  ++m_Sending;
  std::string Held;
  for (size_t I = 0; I < m_Answer.m_Times; ++I)
    Held += m_Answer.m_Piece;
  To.write(Start + Held);
  awaitOthers();
  while (!To.hasPeerClosed() && To.write(m_Answer.m_Piece))
    std::this_thread::sleep_for(PiecePeriod);
  To.close();
  --m_Sending;
}

} // namespace bronzepass::unit_tests::crowd
