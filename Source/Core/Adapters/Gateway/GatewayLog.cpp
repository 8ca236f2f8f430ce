#include "Core/Adapters/Gateway/GatewayLog.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bronzepass::core::adapters::gateway {

namespace {

/// Lines queued for a slow reader: some seconds of a node's peak load.
constexpr size_t QueueLines = 4096;
/// The message holds all fields of the JSON object except the time.
constexpr const char *LinePattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z",%v})";
constexpr int64_t MicrosPerMilli = 1000;

std::string hexadecimalList(const std::vector<uint64_t> &Ids) {
  std::string Text;
  for (const uint64_t Id : Ids)
    Text += fmt::format("{}{:x}", Text.empty() ? "" : ",", Id);
  return Text;
}

} // namespace

GatewayLog::GatewayLog(std::string Node) : m_Node(std::move(Node)) {
  m_Pool = std::make_shared<spdlog::details::thread_pool>(QueueLines, 1);
  m_Logger = std::make_shared<spdlog::async_logger>(
      "gateway", std::make_shared<spdlog::sinks::stdout_sink_mt>(), m_Pool,
      spdlog::async_overflow_policy::overrun_oldest);
  m_Logger->set_pattern(LinePattern);
  m_Logger->flush_on(spdlog::level::info);
}

GatewayLog::~GatewayLog() { flush(); }

uint64_t GatewayLog::dropped() const { return m_Pool->overrun_counter(); }

void GatewayLog::flush() { m_Logger->flush(); }

void GatewayLog::write(const char *Category, const std::string &Action,
                       const std::vector<LogField> &Fields) {
  nlohmann::ordered_json Line = {
      {"node", m_Node}, {"category", Category}, {"action", Action}};
  for (const LogField &Each : Fields) {
    const std::string *const Text = std::get_if<std::string>(&Each.second);
    if (!Text)
      Line[Each.first] = std::get<int64_t>(Each.second);
    else if (!Text->empty())
      Line[Each.first] = *Text;
  }
  const uint64_t Dropped = dropped();
  if (m_DroppedReported.exchange(Dropped) != Dropped)
    Line["lines_dropped"] = Dropped;
  const std::string Json =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  // Strip the outer braces: the pattern writes them.
  m_Logger->info("{}", std::string_view(Json).substr(1, Json.size() - 2));
}

void GatewayLog::write(const core::gateway::RelayLogEntry &Entry) {
  std::vector<LogField> Fields = {
      {"request", Entry.m_CallerRequestId},
      {"organisation", Entry.m_Organisation},
      {"kind", Entry.m_Kind},
      {"route", Entry.m_Route},
      {"artifact",
       Entry.m_ModelRef.m_Adapter.empty()
           ? Entry.m_ModelRef.m_Model
           : Entry.m_ModelRef.m_Model + "/" + Entry.m_ModelRef.m_Adapter},
      {"endpoint", Entry.m_Endpoint},
      {"peer", Entry.m_Peer},
      {"forwarded", Entry.m_IsForwarded ? "yes" : ""},
      {"version", Entry.m_SoftwareVersion},
      {"resumes", Entry.m_FirstAttempt},
      {"status", Entry.m_Status},
      {"sends", Entry.m_Sends},
      {"elapsed_ms", Entry.m_Elapsed.count() / MicrosPerMilli},
      {"config", static_cast<int64_t>(Entry.m_ConfigVersion)},
      {"cause", Entry.m_RefusalCause},
      {"stage", Entry.m_Stage},
      {"reason", Entry.m_Reason}};
  if (Entry.m_Inputs)
    for (const LogField &Each : std::initializer_list<LogField>{
             {"candidates", Entry.m_Inputs->m_Candidates},
             {"own_load", Entry.m_Inputs->m_OwnLoad},
             {"peer_load", Entry.m_Inputs->m_PeerLoad},
             {"peer_age_ms",
              Entry.m_Inputs->m_PeerAge.count() / MicrosPerMilli},
             {"wait_ms",
              Entry.m_Inputs->m_PredictedWait.count() / MicrosPerMilli},
             {"missing_tokens", Entry.m_Inputs->m_MissingTokens},
             {"tokens_ahead", Entry.m_Inputs->m_TokensAhead}})
      Fields.push_back(Each);
  if (Entry.m_Timing)
    for (const LogField &Each : std::initializer_list<LogField>{
             {"first_ms",
              Entry.m_Timing->m_TimeToFirstChunk.count() / MicrosPerMilli},
             {"longest_pause_ms",
              Entry.m_Timing->m_LongestPause.count() / MicrosPerMilli},
             {"pause_end_ms",
              Entry.m_Timing->m_PauseEnd.count() / MicrosPerMilli}})
      Fields.push_back(Each);
  if (Entry.m_AnswerEnd)
    for (const LogField &Each : std::initializer_list<LogField>{
             {"framing", toString(Entry.m_AnswerEnd->m_Framing)},
             {"body_bytes",
              static_cast<int64_t>(Entry.m_AnswerEnd->m_BodyBytes)},
             {"events", static_cast<int64_t>(Entry.m_AnswerEnd->m_Events)},
             {"partial_event_bytes",
              static_cast<int64_t>(Entry.m_AnswerEnd->m_PartialEventBytes)}})
      Fields.push_back(Each);
  if (Entry.m_Content)
    for (const LogField &Each : std::initializer_list<LogField>{
             {"fingerprint", hexadecimalList({Entry.m_Content->m_Fingerprint})},
             {"path", Entry.m_Content->m_Path},
             {"prompt", hexadecimalList(Entry.m_Content->m_PromptParts)}})
      Fields.push_back(Each);
  write("request", Entry.m_Action, Fields);
}

void GatewayLog::write(const core::gateway::QuarantineChange &Change) {
  write("quarantine", Change.m_Entered ? "entered" : "released",
        {{"trait", hexadecimalList({Change.m_Trait})},
         {"engines", Change.m_Engines},
         {"source", Change.m_FromPeer ? "peer" : "own"}});
}

void GatewayLog::write(const core::gateway::StatementChange &Change) {
  const std::optional<double> Limit = Change.m_Statement.m_RequestsPerSecond;
  const std::optional<double> Brittle = Change.m_Statement.m_RejectsPerSecond;
  write("endpoint", "statement",
        {{"endpoint", Change.m_Endpoint.str()},
         {"leaving", Change.m_Statement.m_IsLeaving ? "yes" : "no"},
         {"limit_per_s", Limit ? fmt::format("{:g}", *Limit) : "none"},
         {"brittle_per_s", Brittle ? fmt::format("{:g}", *Brittle) : "none"}});
}

void GatewayLog::write(const core::gateway::PauseBegun &Pause) {
  write("endpoint", "paused",
        {{"endpoint", Pause.m_Endpoint.str()},
         {"pause_ms", Pause.m_Length.count() / MicrosPerMilli}});
}

void GatewayLog::write(const core::gateway::PaceChange &Change) {
  write("endpoint", Change.m_Begins ? "pace_begun" : "pace_ended",
        {{"endpoint", Change.m_Endpoint.str()},
         {"cause", Change.m_Cause},
         {"window", fmt::format("{:.1f}", Change.m_Window)}});
}

void GatewayLog::write(const core::gateway::LinksChange &Change) {
  write("links", Change.m_IsLost ? "lost" : "regained",
        {{"service", Change.m_Service.empty() ? "all" : Change.m_Service},
         {"unconnected", Change.m_UnconnectedEndpoints},
         {"silent", Change.m_SilentEndpoints}});
}

void GatewayLog::write(const core::gateway::ProofChange &Change) {
  write("proof", Change.m_Holds ? "regained" : "lost",
        {{"age_ms", Change.m_Age
                        ? std::to_string(Change.m_Age->count() / MicrosPerMilli)
                        : "none"},
         {"reason", Change.m_Holds ? ""
                                   : "neither the store nor another node has "
                                     "shown in time that the configuration is "
                                     "in force; requests with a key are "
                                     "refused"}});
}

void GatewayLog::write(const residency::ResidencyLogEntry &Entry) {
  write("placement", Entry.m_Action,
        {{"endpoint", Entry.m_Endpoint},
         {"artifact", Entry.m_Artifact},
         {"token", static_cast<int64_t>(Entry.m_Token)},
         {"count", static_cast<int64_t>(Entry.m_Count)},
         {"reason", Entry.m_Reason}});
}

void GatewayLog::writeFindings(const char *Category, const std::string &Name,
                               const model::FindingList &Findings) {
  for (const model::Finding &Each : Findings)
    write(Category, "unreadable",
          {{"name", Name},
           {"reason", Each.m_Location.m_File + " " + Each.m_Message}});
}

} // namespace bronzepass::core::adapters::gateway
