#include "UnitTests/Soak/SoakNodes.h"

#include "UnitTests/Adapters/Http/HttpClient.h"
#include "UnitTests/Soak/CallerConnection.h"

#include <fstream>
#include <iostream>
#include <utility>

namespace bronzepass::unit_tests::soak {

namespace {

constexpr uint16_t PortsPerNode = 5;
/// Far longer than a process takes to listen.
constexpr std::chrono::seconds ListenLimit(10);
constexpr std::chrono::milliseconds ListenPeriod(5);
/// Until callers have noticed that a process has ended.
constexpr std::chrono::milliseconds JudgingTime(100);
constexpr std::chrono::seconds GraceMargin(1);

} // namespace

SoakNodes::SoakNodes(size_t Count, uint16_t BasePort, std::string Folder,
                     const StoreOf &Store, RequestRecord &Record,
                     PlantedFault Planted, std::string Settings)
    : m_BasePort(BasePort), m_Folder(std::move(Folder)),
      m_Settings(std::move(Settings)), m_Record(Record), m_Planted(Planted) {
  for (size_t I = 0; I < Count; ++I) {
    m_Nodes.push_back(std::make_unique<Node>());
    Node &Added = *m_Nodes.back();
    Added.m_StorePort = std::make_unique<ThreadServer>(
        [&Added, &Own = Store(I)](ServerConnection &Connection,
                                  const ServerRequest &Request) {
          Own.serve(Connection, Request, Added.m_Access);
        });
    writeSettings(I);
  }
}

uint16_t SoakNodes::port(size_t Node, int Offset) const {
  return static_cast<uint16_t>(m_BasePort + Node * PortsPerNode + Offset);
}

uint16_t SoakNodes::callerPort(size_t Node) const { return port(Node, 0); }

uint16_t SoakNodes::peerPort(size_t Node) const { return port(Node, 2); }

void SoakNodes::writeSettings(size_t Node) const {
  const std::string Name = std::to_string(Node);
  std::ofstream File(m_Folder + "/node-" + Name + ".yaml");
  File << "node: {name: node-" << Name << ", failure-domain: z0}\n"
       << "listen: {callers: \"127.0.0.1:" << port(Node, 0)
       << "\", ready: \"127.0.0.1:" << port(Node, 1)
       << "\", peers: \"127.0.0.1:" << port(Node, 2)
       << "\", metrics: \"127.0.0.1:" << port(Node, 3)
       << "\", forwarding-port: " << port(Node, 4) << "}\n"
       << "platform: {store: \"127.0.0.1:" << m_Nodes[Node]->m_StorePort->port()
       << "\", leave-notice: 2s, contact-time: 3s" << m_Settings
       << "retries: {ratio: 0.2, slack: 50, window: 10s}\n"
       << "lease: {term: 3s}\nstop: {grace: " << StopGrace.count() << "ms}\n";
}

std::string SoakNodes::command(const std::string &Verb, size_t Node) {
  const std::scoped_lock Lock(m_CommandMutex);
  std::cout << Verb << " " << Node << std::endl;
  std::string Answer;
  std::getline(std::cin, Answer);
  return Answer;
}

bool SoakNodes::isUp(size_t Node) const {
  return m_Nodes[Node]->m_State != State::Down;
}

bool SoakNodes::isRunning(size_t Node) const {
  return m_Nodes[Node]->m_State == State::Running;
}

uint64_t SoakNodes::incarnation(size_t Node) const {
  return m_Nodes[Node]->m_Incarnation;
}

std::optional<SteadyTime> SoakNodes::stopAskedAt(size_t Node) const {
  const SteadyTime At = m_Nodes[Node]->m_StopAskedAt;
  return At == SteadyTime() ? std::nullopt : std::optional(At);
}

bool SoakNodes::isUndisturbedSince(size_t Node, SteadyTime Since) const {
  return m_Nodes[Node]->m_DisturbedAt.load() < Since &&
         m_Nodes[Node]->m_State != State::Paused;
}

bool SoakNodes::isReady(size_t Node) const {
  return isRunning(Node) &&
         adapters::http::fetch(port(Node, 1), "GET", "/ready").m_Status == 200;
}

void SoakNodes::start(size_t Node) {
  ++m_Nodes[Node]->m_Incarnation;
  m_Nodes[Node]->m_StopAskedAt = SteadyTime();
  m_Nodes[Node]->m_DisturbedAt = std::chrono::steady_clock::now();
  command("start", Node);
  // Until it listens, a signal may come before the program has begun.
  const SteadyTime GiveUpAt = std::chrono::steady_clock::now() + ListenLimit;
  while (!CallerConnection(port(Node, 1)).isOpen() &&
         std::chrono::steady_clock::now() < GiveUpAt)
    std::this_thread::sleep_for(ListenPeriod);
  m_Nodes[Node]->m_State = State::Running;
}

void SoakNodes::kill(size_t Node) {
  m_Nodes[Node]->m_DisturbedAt = std::chrono::steady_clock::now();
  m_Nodes[Node]->m_State = State::Down;
  command("kill", Node);
}

void SoakNodes::pause(size_t Node) {
  m_Nodes[Node]->m_State = State::Paused;
  command("pause", Node);
}

void SoakNodes::resume(size_t Node) {
  command("resume", Node);
  m_Nodes[Node]->m_DisturbedAt = std::chrono::steady_clock::now();
  m_Nodes[Node]->m_State = State::Running;
}

void SoakNodes::reload(size_t Node) {
  if (m_Planted == PlantedFault::EndsByItself)
    command("stop", Node);
  command("reload", Node);
}

void SoakNodes::stopAndWait(size_t Node) {
  const SteadyTime Start = std::chrono::steady_clock::now();
  m_Nodes[Node]->m_State = State::Stopping;
  m_Nodes[Node]->m_StopAskedAt = Start;
  command(m_Planted == PlantedFault::StopKills ? "kill" : "stop", Node);
  std::string Status;
  do {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Status = command("ended", Node);
  } while (Status == "no" &&
           std::chrono::steady_clock::now() - Start < StopGrace + GraceMargin);
  m_Nodes[Node]->m_State = State::Down;
  const std::string Name = "node-" + std::to_string(Node);
  if (Status != "0")
    m_Record.violation("planned stops",
                       Name + (Status == "no"
                                   ? " did not end in its grace"
                                   : " ended with status " + Status));
  if (Status == "no")
    command("kill", Node);
  std::this_thread::sleep_for(JudgingTime);
}

void SoakNodes::checkAlive() {
  for (size_t I = 0; I < m_Nodes.size(); ++I) {
    if (!isRunning(I) || command("ended", I) == "no" || !isRunning(I))
      continue;
    m_Nodes[I]->m_State = State::Down;
    m_Record.violation("processes",
                       "node-" + std::to_string(I) + " ended by itself");
  }
}

void SoakNodes::setAccess(size_t Node, StoreAccess Access) {
  m_Nodes[Node]->m_Access = Access;
}

} // namespace bronzepass::unit_tests::soak
