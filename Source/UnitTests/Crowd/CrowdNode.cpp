#include "UnitTests/Crowd/CrowdNode.h"

#include "UnitTests/Soak/CallerConnection.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

namespace bronzepass::unit_tests::crowd {

namespace {

using namespace std::chrono_literals;

/// Far longer than a node takes to start.
constexpr std::chrono::seconds StartLimit = 60s;
constexpr std::chrono::milliseconds ReadyPeriod = 50ms;

uint64_t kibibytesOf(const std::string &Line) {
  return std::stoull(Line.substr(Line.find(':') + 1));
}

} // namespace

CrowdNode::CrowdNode(std::string Folder, uint16_t Port, uint16_t StorePort,
                     uint64_t Descriptors)
    : m_Folder(std::move(Folder)), m_Port(Port) {
  writeSettings(StorePort, Descriptors);
}

void CrowdNode::writeSettings(uint16_t StorePort, uint64_t Descriptors) const {
  std::ofstream File(m_Folder + "/node.yaml");
  File << "node: {name: node-0, failure-domain: z0}\n"
       << "listen: {callers: \"127.0.0.1:" << m_Port
       << "\", ready: \"127.0.0.1:" << m_Port + 1
       << "\", peers: \"127.0.0.1:" << m_Port + 2
       << "\", metrics: \"127.0.0.1:" << m_Port + 3
       << "\", forwarding-port: " << m_Port + 4 << "}\n"
       << "platform: {store: \"127.0.0.1:" << StorePort << "\"}\n"
       << "memory: {limit: " << MemoryLimitMiB << "MiB}\n"
       << "descriptors: {limit: " << Descriptors << "}\n";
}

std::string CrowdNode::command(const std::string &Verb) {
  std::cout << Verb << std::endl;
  std::string Answer;
  std::getline(std::cin, Answer);
  return Answer;
}

bool CrowdNode::start() {
  m_Pid = command("start");
  const auto GiveUpAt = std::chrono::steady_clock::now() + StartLimit;
  while (std::chrono::steady_clock::now() < GiveUpAt) {
    soak::CallerConnection Connection(static_cast<uint16_t>(m_Port + 1));
    if (Connection.isOpen() &&
        Connection.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") &&
        Connection.receive().m_Status == 200)
      return true;
    std::this_thread::sleep_for(ReadyPeriod);
  }
  return false;
}

std::optional<ProcessUse> CrowdNode::use() const {
  const std::string Process = "/proc/" + m_Pid;
  std::ifstream Status(Process + "/status");
  ProcessUse Use;
  for (std::string Line; std::getline(Status, Line);) {
    if (Line.rfind("VmHWM:", 0) == 0)
      Use.m_PeakMemoryKiB = kibibytesOf(Line);
    else if (Line.rfind("VmRSS:", 0) == 0)
      Use.m_MemoryKiB = kibibytesOf(Line);
  }
  // A process that has ended has no memory.
  if (Use.m_MemoryKiB == 0)
    return std::nullopt;
  std::error_code Error;
  for (std::filesystem::directory_iterator Each(Process + "/fd", Error), End;
       !Error && Each != End; Each.increment(Error))
    ++Use.m_Descriptors;
  return Use;
}

std::string CrowdNode::ended() const { return command("ended"); }

} // namespace bronzepass::unit_tests::crowd
