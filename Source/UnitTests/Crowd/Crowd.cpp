#include "UnitTests/Crowd/Crowd.h"

#include <algorithm>
#include <poll.h>

namespace bronzepass::unit_tests::crowd {

namespace {

using namespace std::chrono_literals;

/// A crowd that can send nothing for so long is held back by the node.
constexpr std::chrono::seconds QuietTime = 4s;
/// Ends an attack on a node that takes bytes for ever.
constexpr std::chrono::seconds AttackLimit = 90s;
constexpr std::chrono::milliseconds LookPeriod = 20ms;
constexpr int PollMillis = 20;

} // namespace

Crowd::Crowd(const CrowdAttack &Attack, CrowdNode &Node)
    : m_Node(Node), m_StageCount(Attack.m_Stages.size()),
      m_LookedAt(std::chrono::steady_clock::now()) {
  for (size_t I = 0; I < Attack.m_Clients; ++I)
    m_Members.emplace_back(Attack, Node.callerPort());
}

void Crowd::attack() {
  for (size_t Stage = 0; Stage < m_StageCount; ++Stage)
    runStage(Stage);
}

void Crowd::runStage(size_t Stage) {
  const auto Begin = std::chrono::steady_clock::now();
  auto SentAt = Begin;
  for (auto Now = Begin; Now - Begin < AttackLimit && Now - SentAt < QuietTime;
       Now = std::chrono::steady_clock::now()) {
    if (turn(Stage) > 0)
      SentAt = Now;
    look();
  }
}

size_t Crowd::turn(size_t Stage) {
  std::vector<pollfd> Polled;
  std::vector<CrowdMember *> Members;
  for (CrowdMember &Each : m_Members) {
    if (!Each.open() || !Each.isOpen())
      continue;
    const short Events = Each.hasSent(Stage) ? POLLIN : (POLLIN | POLLOUT);
    Polled.push_back({Each.descriptor(), Events, 0});
    Members.push_back(&Each);
  }
  ::poll(Polled.data(), Polled.size(), PollMillis);
  size_t Sent = 0;
  for (size_t I = 0; I < Polled.size(); ++I) {
    if ((Polled[I].revents & POLLOUT) != 0)
      Sent += Members[I]->sendSome(Stage);
    if (Members[I]->isOpen() &&
        (Polled[I].revents & (POLLIN | POLLHUP | POLLERR)) != 0)
      Members[I]->readSome();
  }
  return Sent;
}

void Crowd::look() {
  const auto Now = std::chrono::steady_clock::now();
  if (Now - m_LookedAt < LookPeriod)
    return;
  m_LookedAt = Now;
  const std::optional<ProcessUse> Use = m_Node.use();
  m_NodeEnded = m_NodeEnded || !Use;
  if (Use)
    m_PeakDescriptors = std::max(m_PeakDescriptors, Use->m_Descriptors);
}

std::map<int, size_t> Crowd::statuses() const {
  std::map<int, size_t> Counts;
  for (const CrowdMember &Each : m_Members)
    ++Counts[Each.status()];
  return Counts;
}

size_t Crowd::openCount() const {
  return static_cast<size_t>(
      std::count_if(m_Members.begin(), m_Members.end(),
                    [](const CrowdMember &Each) { return Each.isOpen(); }));
}

} // namespace bronzepass::unit_tests::crowd
