#include "Core/Adapters/Daemon/StatusPages.h"

#include "Core/Adapters/Codec/EnumNames.h"
#include "Core/Model/NearMatch.h"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace bronzepass::core::adapters::daemon {

namespace {

using nlohmann::ordered_json;
using pistache::HttpReply;

HttpReply jsonReply(const ordered_json &Page) {
  return {.m_Status = 200,
          .m_Body = Page.dump(2, ' ', false,
                              nlohmann::json::error_handler_t::replace) +
                    "\n"};
}

HttpReply notFound(const std::string &Message) {
  HttpReply Reply =
      jsonReply({{"error", {{"type", "not_found"}, {"message", Message}}}});
  Reply.m_Status = 404;
  return Reply;
}

using codec::toWireName;

/// The name of an order kind on the operator pages. Peer messages use another
/// name for SetRole.
const char *orderName(model::OrderKind Value) {
  switch (Value) {
  case model::OrderKind::Load:
    return "load";
  case model::OrderKind::Unload:
    return "unload";
  case model::OrderKind::SetRole:
    return "set-role";
  }
  return "load";
}

ordered_json nodeJson(const model::NodeInfo &Node) {
  return {{"node", Node.m_Node.str()},
          {"vm", Node.m_Vm.str()},
          {"failure_domain", Node.m_Domain.str()},
          {"region", Node.m_Region.str()},
          {"liveness", toWireName(Node.m_Liveness)}};
}

ordered_json findingsJson(const node::ControlCore &Core) {
  ordered_json List = ordered_json::array();
  for (const model::Finding &Each : Core.placement().findings())
    List.push_back(Each.m_Message);
  return List;
}

HttpReply statusPage(const node::ControlCore &Core) {
  const model::NodeInfo &Self = Core.view().self();
  ordered_json Nodes = ordered_json::array();
  for (const model::NodeInfo &Each : Core.view().members().present())
    Nodes.push_back(nodeJson(Each));
  ordered_json Leases = ordered_json::array();
  for (const model::HeldLease &Each : Core.heldLeases())
    Leases.push_back(
        {{"lease", Each.m_Name.m_Duty}, {"token", Each.m_Token.m_Value}});
  return jsonReply({{"node", nodeJson(Self)},
                    {"ready", Core.isReady()},
                    {"reason", Core.readinessReason()},
                    {"generation", Core.intent().generation().m_Value},
                    {"nodes", Nodes},
                    {"leases", Leases},
                    {"waiting", findingsJson(Core)},
                    {"object_api",
                     {{"circuit_open", Core.governor().isCircuitOpen()},
                      {"queued", Core.governor().queuedCount()},
                      {"in_flight", Core.governor().inFlightCount()},
                      {"retries", Core.governor().counts().m_Retries},
                      {"unknown", Core.governor().counts().m_Unknown}}}});
}

/// The known copies of each artifact, in any state.
std::map<model::ArtifactId, std::vector<model::Copy>>
copiesByArtifact(const node::ControlCore &Core) {
  std::map<model::ArtifactId, std::vector<model::Copy>> Copies;
  for (const model::Copy &Each :
       Core.residency().copies(Core.placement().drainingCopies()))
    Copies[Each.m_Artifact].push_back(Each);
  return Copies;
}

ordered_json copiesJson(const std::vector<model::Copy> &Copies) {
  ordered_json List = ordered_json::array();
  for (const model::Copy &Each : Copies)
    List.push_back({{"endpoint", Each.m_Endpoint.str()},
                    {"state", toWireName(Each.m_State)}});
  return List;
}

HttpReply modelsPage(const node::ControlCore &Core) {
  ordered_json List = ordered_json::array();
  if (!Core.intent().inForce())
    return jsonReply(List);
  const std::map<model::ArtifactId, std::vector<model::Copy>> Copies =
      copiesByArtifact(Core);
  const model::Intent &Intent = *Core.intent().inForce();
  for (const model::ModelSpec &Model : Intent.m_Models)
    for (const model::VersionSpec &Version : Model.m_Versions) {
      const model::ArtifactId Artifact{Model.m_Name, Version.m_Version, {}};
      auto Found = Copies.find(Artifact);
      const std::vector<model::Copy> Known =
          Found == Copies.end() ? std::vector<model::Copy>() : Found->second;
      List.push_back({{"artifact", model::toString(Artifact)},
                      {"copies", copiesJson(Known)}});
    }
  return jsonReply(List);
}

HttpReply enginesPage(const node::ControlCore &Core) {
  std::map<model::EndpointId, uint64_t> Promised;
  for (const placement::EngineStatus &Each : Core.placement().engines())
    Promised[Each.m_Endpoint] = Each.m_PromisedBytes;
  ordered_json List = ordered_json::array();
  for (const model::EndpointState &State : Core.view().endpoints().states()) {
    ordered_json Entry = {{"endpoint", State.m_Endpoint.str()},
                          {"liveness", toWireName(State.m_Liveness)}};
    if (const model::EngineReport *Report =
            Core.residency().find(State.m_Endpoint)) {
      Entry["memory_bytes"] = Report->m_MemoryBytes;
      Entry["used_bytes"] = Report->m_UsedBytes;
      Entry["copies"] = Report->m_Copies.size();
    }
    // Only the holder of the pool's lease knows the promised memory.
    if (Promised.count(State.m_Endpoint) != 0)
      Entry["promised_bytes"] = Promised[State.m_Endpoint];
    List.push_back(std::move(Entry));
  }
  return jsonReply(List);
}

HttpReply movesPage(const node::ControlCore &Core) {
  ordered_json Moves = ordered_json::array();
  for (const placement::MoveStatus &Each : Core.placement().moves())
    Moves.push_back({{"artifact", model::toString(Each.m_Artifact)},
                     {"endpoint", Each.m_Endpoint.str()},
                     {"order", orderName(Each.m_Kind)},
                     {"phase", placement::toString(Each.m_Phase)},
                     {"reason", placement::toString(Each.m_Reason)}});
  const placement::MoveCounts Counts = Core.placement().counts();
  return jsonReply({{"moves", Moves},
                    {"model_loads", Counts.m_ModelLoads},
                    {"adapter_loads", Counts.m_AdapterLoads},
                    {"unloads", Counts.m_Unloads},
                    {"repeats", Counts.m_Repeats},
                    {"waiting", findingsJson(Core)}});
}

HttpReply generationPage(const pistache::HttpRequest &Request,
                         const node::ControlCore &Core) {
  const std::string Text = Request.query("wanted");
  model::Generation Wanted = Core.intent().generation();
  if (!Text.empty())
    std::from_chars(Text.data(), Text.data() + Text.size(), Wanted.m_Value);
  ordered_json Missing = ordered_json::array();
  for (const model::NodeInfo &Each : Core.view().generations().nodesBehind(
           Wanted, Core.view().members().present()))
    Missing.push_back(Each.m_Node.str());
  return jsonReply({{"generation", Core.intent().generation().m_Value},
                    {"wanted", Wanted.m_Value},
                    {"in_force_everywhere", Missing.empty()},
                    {"missing", Missing}});
}

ordered_json decisionsJson(const std::vector<model::Decision> &Decisions) {
  ordered_json List = ordered_json::array();
  for (const model::Decision &Each : Decisions) {
    ordered_json Others = ordered_json::array();
    for (const model::RunnerUp &Other : Each.m_RunnersUp)
      Others.push_back({{"name", Other.m_Name}, {"why", Other.m_Why}});
    List.push_back({{"action", Each.m_Action},
                    {"chosen", Each.m_Chosen},
                    {"reason", Each.m_Reason},
                    {"runners_up", Others}});
  }
  return List;
}

HttpReply explainModel(const std::string &Name, const node::ControlCore &Core,
                       const DecisionRing &Decisions, model::TimePoint Now) {
  if (!Core.intent().inForce())
    return notFound("no configuration is in force");
  const model::Intent &Intent = *Core.intent().inForce();
  const std::map<model::ArtifactId, std::vector<model::Copy>> Copies =
      copiesByArtifact(Core);
  std::vector<std::string> Names;
  ordered_json Versions = ordered_json::array();
  for (const model::ModelSpec &Model : Intent.m_Models) {
    Names.push_back(Model.m_Name.str());
    if (Model.m_Name.str() != Name)
      continue;
    for (const model::VersionSpec &Version : Model.m_Versions) {
      const model::ArtifactId Artifact{Model.m_Name, Version.m_Version, {}};
      ordered_json Reasons = ordered_json::array();
      for (const placement::CopyStatus &Each :
           Core.placement().explain(Artifact, Now))
        Reasons.push_back({{"endpoint", Each.m_Endpoint.str()},
                           {"reason", placement::toString(Each.m_Reason)},
                           {"answers", Each.m_Answering}});
      auto Found = Copies.find(Artifact);
      Versions.push_back(
          {{"artifact", model::toString(Artifact)},
           {"copies", Found == Copies.end() ? ordered_json::array()
                                            : copiesJson(Found->second)},
           {"placement", Reasons},
           {"decisions", decisionsJson(Decisions.findBySubject(
                             model::toString(Artifact)))}});
    }
    return jsonReply({{"model", Name}, {"versions", Versions}});
  }
  return notFound("no model '" + Name + "'" +
                  model::nearMatchHint(Name, Names));
}

HttpReply explainRequest(const std::string &Number,
                         const DecisionRing &Decisions) {
  const std::vector<model::Decision> Found =
      Decisions.findBySubject("request " + Number);
  if (Found.empty())
    return notFound("no decision about request " + Number + " is kept here");
  return jsonReply({{"request", Number}, {"decisions", decisionsJson(Found)}});
}

} // namespace

HttpReply makePage(const pistache::HttpRequest &Request,
                   const node::ControlCore &Core, const DecisionRing &Decisions,
                   model::TimePoint Now) {
  if (Request.m_Path == "/status")
    return statusPage(Core);
  if (Request.m_Path == "/models")
    return modelsPage(Core);
  if (Request.m_Path == "/engines")
    return enginesPage(Core);
  if (Request.m_Path == "/moves")
    return movesPage(Core);
  if (Request.m_Path == "/generation")
    return generationPage(Request, Core);
  if (Request.m_Path == "/explain" && !Request.query("model").empty())
    return explainModel(Request.query("model"), Core, Decisions, Now);
  if (Request.m_Path == "/explain" && !Request.query("request").empty())
    return explainRequest(Request.query("request"), Decisions);
  return notFound("no page " + Request.m_Path +
                  "; there are /status, /models, /engines, /moves, "
                  "/generation and /explain");
}

} // namespace bronzepass::core::adapters::daemon
