#include "UnitTests/Losses/CrashingEngine.h"

#include <chrono>
#include <utility>

namespace bronzepass::unit_tests::losses {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds DownTime = 2s;
constexpr std::chrono::milliseconds RenewPeriod = 1200ms;
constexpr std::chrono::milliseconds LookPeriod = 5ms;

} // namespace

CrashingEngine::CrashingEngine(soak::PlatformStore &Store, int Number,
                               std::string Version)
    : m_Store(Store), m_Number(Number), m_Version(std::move(Version)),
      m_Server([this](soak::ServerConnection &Connection,
                      const soak::ServerRequest &) {
        ++m_Begun;
        m_HasCrashed = true;
        Connection.reset();
      }) {
  m_Thread = std::thread([this] { live(); });
}

CrashingEngine::~CrashingEngine() {
  m_Stopping = true;
  m_Thread.join();
}

std::string CrashingEngine::id() const {
  return "i-" + std::to_string(m_Number) + "-" + std::to_string(m_Starts);
}

void CrashingEngine::renew() {
  m_Store.put("servers", id(),
              {{"Service", "plain"},
               {"Address", "127.0.0.1:" + std::to_string(m_Server.port())},
               {"Zone", "z0"},
               {"Version", m_Version},
               {"Slots", 8},
               {"State", "ready"},
               {"ColdLeftMs", 0},
               {"Sequence", ++m_Renewals},
               {"born", 1760000000000 + m_Starts}});
}

void CrashingEngine::live() {
  renew();
  soak::SteadyTime RenewedAt = std::chrono::steady_clock::now();
  soak::SteadyTime BackAt;
  bool IsDown = false;
  while (!m_Stopping) {
    std::this_thread::sleep_for(LookPeriod);
    const soak::SteadyTime Now = std::chrono::steady_clock::now();
    if (!IsDown && m_HasCrashed) {
      m_Server.crash();
      IsDown = true;
      BackAt = Now + DownTime;
    } else if (IsDown && Now >= BackAt) {
      m_Store.remove("servers", id());
      ++m_Starts;
      m_HasCrashed = false;
      IsDown = false;
      m_Server.open();
      renew();
      RenewedAt = Now;
    } else if (!IsDown && Now >= RenewedAt + RenewPeriod) {
      renew();
      RenewedAt = Now;
    }
  }
}

} // namespace bronzepass::unit_tests::losses
