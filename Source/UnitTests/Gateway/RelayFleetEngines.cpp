#include "UnitTests/Gateway/RelayFleet.h"

#include <algorithm>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

/// A crash shows in the store once the engine has missed three renewals.
constexpr model::Duration EntryLifetime = 3600ms;
/// Until an attempt to open a connection is given up, and until an open
/// connection counts as broken that has been silent.
constexpr model::Duration ConnectTimeout = 450ms;
constexpr model::Duration SilentConnectionTimeout = 2s;

} // namespace

std::vector<model::EndpointId> RelayFleet::engines() const {
  return {m_Engines.begin(), m_Engines.end()};
}

std::optional<RelayFleet::LostSend> RelayFleet::lostSend(const Node &From) {
  using gateway::SendResult;
  const bool OverOpenConnection = m_Random() % 4 == 0;
  switch (From.m_Links) {
  case Links::Whole:
    return std::nullopt;
  case Links::Reset:
    return LostSend{SendResult::NotSent, 0ms};
  case Links::Silent:
    if (OverOpenConnection)
      return LostSend{SendResult::Broken, SilentConnectionTimeout};
    return LostSend{SendResult::NotSent, ConnectTimeout};
  case Links::NoNewConnections:
    if (OverOpenConnection)
      return std::nullopt;
    return LostSend{SendResult::NotSent, 0ms};
  }
  return std::nullopt;
}

void RelayFleet::setLinks(size_t Index, Links Links) {
  Node &Cut = *m_Nodes[Index];
  Cut.m_Links = Links;
  std::vector<model::AttemptId> Running;
  for (const auto &Each : Cut.m_Sends)
    Running.push_back(Each.first);
  for (const model::AttemptId Attempt : Running) {
    if (Links == Links::Reset)
      finish(Index, Attempt, gateway::SendResult::Broken);
    else if (Links == Links::Silent)
      schedule(SilentConnectionTimeout, [this, Index, Node = &Cut, Attempt] {
        if (m_Nodes[Index].get() == Node && Node->m_Sends.contains(Attempt))
          finish(Index, Attempt, gateway::SendResult::Broken);
      });
  }
}

void RelayFleet::makeBrittle(uint32_t RejectsPerSecond) {
  m_BrittleAt = RejectsPerSecond;
}

size_t RelayFleet::running(const model::EndpointId &Engine) const {
  size_t Count = 0;
  for (const std::unique_ptr<Node> &Each : m_Nodes)
    for (const auto &Send : Each->m_Sends)
      Count +=
          Send.second.m_IsAdmitted && Send.second.m_Engine == Engine ? 1 : 0;
  return Count;
}

bool RelayFleet::turnsAway(const model::EndpointId &Engine) {
  if (m_Queue >= m_Settings.m_Queue ||
      running(Engine) < m_Settings.m_Slots + m_Queue)
    return false;
  m_Rejections.push_back(m_Now);
  std::vector<model::TimePoint> &Recent = m_RejectedAt[Engine];
  std::erase_if(Recent,
                [this](model::TimePoint At) { return m_Now - At > 1s; });
  Recent.push_back(m_Now);
  if (m_BrittleAt && Recent.size() > *m_BrittleAt)
    schedule(0ms, [this, Engine] {
      if (m_Engines.contains(Engine))
        crash(Engine);
    });
  return true;
}

void RelayFleet::end(const model::EndpointId &Engine) {
  m_Engines.erase(Engine);
  for (size_t I = 0; I < m_Nodes.size(); ++I) {
    std::vector<model::AttemptId> Broken;
    for (const auto &Each : m_Nodes[I]->m_Sends)
      if (Each.second.m_Engine == Engine)
        Broken.push_back(Each.first);
    for (const model::AttemptId Attempt : Broken)
      finish(I, Attempt, gateway::SendResult::Broken);
  }
}

void RelayFleet::crash(const model::EndpointId &Engine) {
  m_Crashes.push_back(m_Now);
  end(Engine);
  schedule(std::min(EntryLifetime, m_Settings.m_RestartTime),
           [this] { publishEngines(); });
  if (!m_Draining.contains(Engine))
    schedule(m_Settings.m_RestartTime,
             [this, Version = m_SoftwareVersions.at(Engine)] {
               startEngine(Version);
             });
}

model::EndpointId RelayFleet::startEngine(const std::string &Version) {
  const model::EndpointId Started("e" + std::to_string(++m_LastEngine));
  m_Engines.insert(Started);
  m_SoftwareVersions[Started] = Version;
  publishEngines();
  return Started;
}

void RelayFleet::retire(const model::EndpointId &Engine,
                        model::Duration Notice) {
  m_Draining.insert(Engine);
  publishEngines();
  schedule(Notice, [this, Engine] {
    if (m_Engines.contains(Engine))
      end(Engine);
    publishEngines();
  });
}

void RelayFleet::publishEngines() {
  m_Published.clear();
  for (const model::EndpointId &Each : m_Engines) {
    m_Published.push_back(RelayFixture::endpoint(Each.str()));
    m_Published.back().m_Slots = m_Settings.m_Slots;
    m_Published.back().m_SoftwareVersion = m_SoftwareVersions.at(Each);
    m_Published.back().m_Draining = m_Draining.contains(Each);
    m_Published.back().m_StartedAtMs = 1;
    m_Published.back().m_Renewals = m_Renewals;
  }
  tellEndpoints();
}

void RelayFleet::renewEntries() {
  ++m_Renewals;
  for (gateway::EndpointEntry &Each : m_Published)
    if (m_Engines.contains(Each.m_Id))
      Each.m_Renewals = m_Renewals;
  tellEndpoints();
}

void RelayFleet::tellEndpoints() {
  for (size_t I = 0; I < m_Nodes.size(); ++I) {
    if (m_CutOff.contains(I))
      continue;
    m_Nodes[I]->m_Relay.m_Core.setEndpoints(m_Published, m_Now,
                                            m_Nodes[I]->m_Relay.m_Out);
    carryOut(I);
  }
}

} // namespace bronzepass::unit_tests
