#include "UnitTests/Adapters/Http/TestNode.h"

#include "UnitTests/Adapters/Http/HttpClient.h"

#include <nlohmann/json.hpp>

namespace bronzepass::unit_tests::adapters::http {

namespace model = core::model;
namespace routing = core::routing;
namespace traffic = core::adapters::traffic;
namespace callers = core::adapters::callers;

namespace {

const char *const Loopback = "127.0.0.1";
constexpr uint64_t ModelBytes = 1 << 20;

model::EndpointSpec
endpointSpec(const char *Name, const model::Address &Address, uint32_t Slots) {
  model::EndpointSpec Spec;
  Spec.m_Name = model::EndpointId(Name);
  Spec.m_Vm = model::VmId(Name);
  Spec.m_Address = Address;
  Spec.m_Domain = model::DomainId("d1");
  Spec.m_Region = model::RegionId("r1");
  Spec.m_MemoryBytes = 1ULL << 30;
  Spec.m_Slots = Slots;
  return Spec;
}

} // namespace

void ControlStub::post(core::ports::Event Received) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  const core::ports::ClaimRequested *const Request =
      std::get_if<core::ports::ClaimRequested>(&Received);
  if (Request != nullptr && m_Driver != nullptr)
    m_Driver.load()->post(makeVerdict(*Request));
  m_Events.push_back(std::move(Received));
}

core::ports::ClaimVerdict
ControlStub::makeVerdict(const core::ports::ClaimRequested &Request) const {
  for (const core::ports::Event &Each : m_Events) {
    const core::ports::ClaimEnded *const Ended =
        std::get_if<core::ports::ClaimEnded>(&Each);
    if (Ended != nullptr && Ended->m_KeyHash == Request.m_KeyHash)
      return {Request.m_Request, core::ports::ClaimVerdictKind::Done,
              Ended->m_Status, Ended->m_Answer};
  }
  return {Request.m_Request, core::ports::ClaimVerdictKind::Granted, 0, ""};
}

model::ArtifactId testArtifact() {
  return {model::ModelId("gas"), "1", model::AdapterId()};
}

std::unique_ptr<stand_ins::EngineStandIn>
startEngine(stand_ins::EngineOptions Options) {
  Options.m_Address = {Loopback, Options.m_Address.m_Port};
  std::unique_ptr<stand_ins::EngineStandIn> Engine =
      std::make_unique<stand_ins::EngineStandIn>(Options);
  Engine->preload(testArtifact(), ModelBytes);
  Engine->start();
  return Engine;
}

TestNode::TestNode(Settings InitialSettings)
    : m_Settings(std::move(InitialSettings)) {
  m_Settings.m_Engine.m_Name = model::EndpointId("engine-1");
  m_Engine = startEngine(m_Settings.m_Engine);
  m_Service =
      std::make_unique<stand_ins::ServiceStandIn>(model::Address{Loopback, 0});
  m_Service->start();
  m_Driver = std::make_unique<traffic::TrafficDriver>(
      traffic::TrafficOptions{.m_Node = model::NodeId(m_Settings.m_Name)},
      std::make_unique<traffic::TrafficCoreDecider>(m_Settings.m_Traffic,
                                                    m_Random, info()),
      traffic::TrafficPorts{m_Clock, m_Control, m_Log, m_Metrics});
  m_Control.m_Driver = m_Driver.get();
  m_Settings.m_CallerServer.m_Server.m_Address = {Loopback, 0};
  m_CallerServer = std::make_unique<callers::CallerServer>(
      m_Settings.m_CallerServer, *m_Driver, m_Clock);
  joinNodes({info()}, 1);
  m_Driver->start();
  m_CallerServer->start();
}

TestNode::~TestNode() {
  m_CallerServer->stop();
  m_Driver->stop();
}

model::NodeInfo TestNode::info() const {
  model::NodeInfo Info;
  Info.m_Node = model::NodeId(m_Settings.m_Name);
  Info.m_Domain = model::DomainId("d1");
  Info.m_Region = model::RegionId("r1");
  Info.m_CallerAddress = {Loopback, m_CallerServer ? m_CallerServer->port()
                                                   : uint16_t(0)};
  return Info;
}

bool TestNode::joinNodes(const std::vector<model::NodeInfo> &Nodes,
                         uint32_t Degree) {
  const std::shared_ptr<const routing::RoutingTable> Table =
      makeTable(Nodes, Degree);
  m_CallerServer->setTable(Table);
  m_Driver->setTable(Table);
  return Table->sendsDirectlyTo(model::EndpointId("engine-1"));
}

std::shared_ptr<const routing::RoutingTable>
TestNode::makeTable(const std::vector<model::NodeInfo> &Nodes,
                    uint32_t Degree) const {
  model::Intent Intent;
  Intent.m_Name = "test";
  Intent.m_Models.push_back(
      {.m_Name = testArtifact().m_Model,
       .m_Versions = {
           {testArtifact().m_Version, ModelBytes, std::chrono::seconds(1)}}});
  model::PoolSpec Engines;
  Engines.m_Name = model::PoolId("engines");
  Engines.m_CanResume = m_Settings.m_CanResume;
  model::Address Engine = m_Engine->address();
  Engine.m_Port = m_Settings.m_EnginePort.value_or(Engine.m_Port);
  Engines.m_Endpoints.push_back(
      endpointSpec("engine-1", Engine, m_Settings.m_Engine.m_Slots));
  Intent.m_Pools.push_back(Engines);
  model::PoolSpec Services;
  Services.m_Name = model::PoolId("booking");
  Services.m_Kind = model::PoolKind::Service;
  Services.m_PathPrefix = "/booking";
  Services.m_Routes.push_back({"/certificates", false});
  model::Address Service = m_Service->address();
  Service.m_Port = m_Settings.m_ServicePort.value_or(Service.m_Port);
  Services.m_Endpoints.push_back(endpointSpec("service-1", Service, 16));
  Intent.m_Pools.push_back(Services);
  routing::RoutingInputs Inputs;
  Inputs.m_Intent = std::make_shared<const model::Intent>(Intent);
  Inputs.m_Copies.push_back({testArtifact(), model::EndpointId("engine-1"),
                             model::CopyState::Serving});
  Inputs.m_Self = info();
  Inputs.m_Nodes = Nodes;
  Inputs.m_Settings.m_DirectNodesPerEndpoint = Degree;
  return routing::RoutingTable::build(Inputs);
}

uint64_t TestNode::engineCount(const std::string &Name) const {
  const HttpResult Report = fetch(m_Engine->port(), "GET", "/control/report");
  return nlohmann::json::parse(Report.m_Body)["counts"][Name].get<uint64_t>();
}

uint64_t TestNode::serviceRuns() const {
  const HttpResult Runs = fetch(m_Service->port(), "GET", "/runs");
  return nlohmann::json::parse(Runs.m_Body)["runs"].get<uint64_t>();
}

void TestNode::setFaults(const stand_ins::StandIn &StandIn,
                         const std::string &Json) {
  fetch(StandIn.port(), "POST", "/faults", Json);
}

std::string chatBody(const std::string &User, uint32_t Tokens, bool Stream) {
  return nlohmann::json{
      {"model", "gas"},
      {"user", User},
      {"stream", Stream},
      {"max_tokens", Tokens},
      {"messages", {{{"role", "user"}, {"content", "is it safe?"}}}}}
      .dump();
}

} // namespace bronzepass::unit_tests::adapters::http
