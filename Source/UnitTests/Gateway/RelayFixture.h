#ifndef BRONZEPASS_UNITTESTS_GATEWAY_RELAYFIXTURE_H
#define BRONZEPASS_UNITTESTS_GATEWAY_RELAYFIXTURE_H

#include "Core/Gateway/RelayCore.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests {

namespace gateway = core::gateway;
namespace model = core::model;

/// A RelayCore with four routes ("/once/", "/again/", "/stream/" and
/// "/resume/") and the effects that it has returned.
class RelayFixture {
public:
  explicit RelayFixture(uint64_t Seed = 1,
                        const gateway::RelaySettings &Settings = {})
      : m_Random(Seed), m_Core(Settings, m_Random) {}

  static gateway::RouteSpec route(const char *Prefix) {
    gateway::RouteSpec Route;
    Route.m_Name = Prefix;
    Route.m_Host = "h";
    Route.m_PathPrefix = Prefix;
    Route.m_Services = {{"s", 1}};
    Route.m_Timeout = std::chrono::seconds(10);
    return Route;
  }

  static gateway::GatewayConfig config(uint64_t Version = 1) {
    gateway::GatewayConfig Config;
    Config.m_Version = Version;
    gateway::RouteSpec Once = route("/once/");
    gateway::RouteSpec Again = route("/again/");
    Again.m_Repeatable = true;
    Again.m_MaxAttempts = 2;
    gateway::RouteSpec Stream = route("/stream/");
    Stream.m_Stream = true;
    gateway::RouteSpec Resume = route("/resume/");
    Resume.m_Stream = true;
    Resume.m_Resumable = true;
    Resume.m_MaxAttempts = 2;
    Config.m_Routes = {Once, Again, Stream, Resume};
    gateway::ServiceSpec Service;
    Service.m_Name = "s";
    Service.m_Engine = gateway::EngineSpec();
    Service.m_Engine->m_Models = {{"m", 10, std::chrono::seconds(3), 4, 1}};
    Config.m_Services = {Service};
    return Config;
  }

  static gateway::EndpointEntry endpoint(const std::string &Id) {
    gateway::EndpointEntry Entry;
    Entry.m_Id = model::EndpointId(Id);
    Entry.m_Service = "s";
    Entry.m_Address = {"10.0.0.1", 80};
    Entry.m_Slots = 4;
    Entry.m_Models = {{"m", {"a1"}}};
    return Entry;
  }

  void configure(uint64_t Version = 1) {
    m_Core.setTable(std::make_shared<gateway::RouteTable>(config(Version)));
  }
  void setEndpoints(std::vector<gateway::EndpointEntry> Entries) {
    m_Entries = std::move(Entries);
    m_Core.setEndpoints(m_Entries, m_Now, m_Out);
  }
  void start(const std::vector<std::string> &Ids) {
    configure();
    std::vector<gateway::EndpointEntry> Entries;
    for (const std::string &Id : Ids)
      Entries.push_back(endpoint(Id));
    setEndpoints(Entries);
  }

  model::RequestId ask(const std::string &Path, const std::string &Model = "",
                       const std::string &Adapter = "") {
    gateway::RelayRequest Request;
    Request.m_Number = {++m_Last};
    Request.m_CallerRequestId = "caller-" + std::to_string(m_Last);
    Request.m_Host = "h";
    Request.m_Path = Path;
    Request.m_BeganAt = m_Now;
    Request.m_ModelRef = {Model, Adapter};
    m_Core.onRequestReceived(Request, m_Now, m_Out);
    return {m_Last};
  }
  void finishSend(model::AttemptId Attempt, gateway::SendResult Result,
                  int Status = 200) {
    m_Core.onSendFinished(Attempt, {Result, Status, false, ""}, m_Now, m_Out);
  }
  void advance(model::Duration Span) {
    m_Now += Span;
    m_Core.tick(m_Now, m_Out);
  }

  /// Returns and removes the effects of one type.
  template <typename EffectT> std::vector<EffectT> take() {
    std::vector<EffectT> Found;
    for (const gateway::RelayEffect &Each : m_Out)
      if (const EffectT *const Effect = std::get_if<EffectT>(&Each))
        Found.push_back(*Effect);
    std::erase_if(m_Out, [](const gateway::RelayEffect &Each) {
      return std::holds_alternative<EffectT>(Each);
    });
    return Found;
  }

  unit_tests::fakes::FixedRandom m_Random;
  gateway::RelayCore m_Core;
  model::TimePoint m_Now = model::TimePoint(std::chrono::seconds(100));
  gateway::RelayEffectList m_Out;
  std::vector<gateway::EndpointEntry> m_Entries;
  uint64_t m_Last = 0;
};

} // namespace bronzepass::unit_tests

#endif // BRONZEPASS_UNITTESTS_GATEWAY_RELAYFIXTURE_H
