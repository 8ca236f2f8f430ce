#include "Core/Adapters/Daemon/DecisionRing.h"

namespace bronzepass::core::adapters::daemon {

void DecisionRing::write(const model::Decision &Line) {
  m_Next.write(Line);
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Decisions.push_back(Line);
  if (m_Decisions.size() > MaxDecisions)
    m_Decisions.pop_front();
}

std::vector<model::Decision>
DecisionRing::findBySubject(const std::string &Subject) const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  std::vector<model::Decision> Found;
  for (const model::Decision &Each : m_Decisions)
    if (Each.m_Subject == Subject ||
        Each.m_Subject.rfind(Subject + " ", 0) == 0)
      Found.push_back(Each);
  return Found;
}

} // namespace bronzepass::core::adapters::daemon
