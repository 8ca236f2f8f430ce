#ifndef BRONZEPASS_UNITTESTS_CROWD_CROWDNODE_H
#define BRONZEPASS_UNITTESTS_CROWD_CROWDNODE_H

#include <cstdint>
#include <optional>
#include <string>

namespace bronzepass::unit_tests::crowd {

/// What the settings of the node say that its machine has.
constexpr uint64_t MemoryLimitMiB = 48;
constexpr uint64_t DescriptorLimit = 400;
/// For hundreds of requests under way.
constexpr uint64_t LargeDescriptorLimit = 2000;

/// What a process holds, as the system reports it.
struct ProcessUse {
  uint64_t m_PeakMemoryKiB = 0;
  uint64_t m_MemoryKiB = 0;
  size_t m_Descriptors = 0;
};

/// The node under attack, a process of its own. The script that started this
/// program starts it, asked line by line on standard output.
class CrowdNode {
public:
  CrowdNode(std::string Folder, uint16_t Port, uint16_t StorePort,
            uint64_t Descriptors = DescriptorLimit);

  /// Starts it and waits until it is ready; false if it does not become so.
  bool start();
  /// Ends it without notice, so that it can be started again.
  void stop() { command("stop"); }
  uint16_t callerPort() const { return m_Port; }
  /// Nullopt if it has ended.
  std::optional<ProcessUse> use() const;
  /// "no", or the status with which it ended.
  std::string ended() const;

private:
  void writeSettings(uint16_t StorePort, uint64_t Descriptors) const;
  static std::string command(const std::string &Verb);

  const std::string m_Folder;
  const uint16_t m_Port;
  std::string m_Pid;
};

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_CROWDNODE_H
