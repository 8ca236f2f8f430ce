#include "StandIns/EngineStandIn.h"

#include "Core/Adapters/Codec/EnumNames.h"
#include "Core/Adapters/Json/ControlJson.h"
#include "Core/Adapters/Json/PromptPrefix.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bronzepass::stand_ins {

namespace adapters = core::adapters;
namespace model = core::model;

namespace {

constexpr std::string_view StreamEndEvent = "data: [DONE]\n\n";

model::CopyState initialState(bool Serving) {
  return Serving ? model::CopyState::Serving : model::CopyState::Loading;
}

uint64_t numberOr(const nlohmann::json &Json, const char *Name,
                  uint64_t Default) {
  const bool Known = Json.contains(Name) && Json[Name].is_number_unsigned();
  return Known ? Json[Name].get<uint64_t>() : Default;
}

} // namespace

EngineStandIn::EngineStandIn(EngineOptions Options)
    : StandIn(Options.m_Address), m_Options(std::move(Options)),
      m_Cache(m_Options.m_CacheBlocks) {}

EngineStandIn::~EngineStandIn() { stop(); }

void EngineStandIn::preload(const model::ArtifactId &Artifact,
                            uint64_t MemoryBytes) {
  m_Copies[Artifact].m_Report = {Artifact, initialState(true), MemoryBytes};
}

void EngineStandIn::handle(const HttpRequest &Request,
                           const std::shared_ptr<HttpResponseWriter> &Answer) {
  const std::string &Path = Request.m_Path;
  if (Path == "/v1/chat/completions" || Path == "/v1/completions")
    handleCompletion(Request, Answer);
  else if (Path == "/control/report")
    Answer->send(report(Request));
  else if (Path.rfind("/control/", 0) == 0)
    handleOrder(Request, Answer);
  else if (Path == "/faults")
    setFaults(Request, Answer);
  else
    Answer->send(errorReply(404, "no such path: " + Path));
}

std::vector<HttpHeader>
EngineStandIn::answerHeaders(const std::string &Attempt) const {
  std::vector<HttpHeader> Headers = {
      {"Bronzepass-Running", std::to_string(m_Running.size())},
      {"Bronzepass-Waiting", std::to_string(m_Waiting.size())}};
  if (!Attempt.empty())
    Headers.push_back({"Bronzepass-Attempt", Attempt});
  return Headers;
}

void EngineStandIn::handleCompletion(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  const std::optional<CompletionSpec> Spec =
      parseCompletion(Request.m_Body, Request.m_Path != "/v1/completions");
  if (!Spec) {
    Answer->send(errorReply(400, "the body is no completion request"));
    return;
  }
  auto Copy = std::find_if(
      m_Copies.begin(), m_Copies.end(), [&Spec](const auto &Entry) {
        return model::toString(Entry.first) == Spec->m_ModelName &&
               Entry.second.m_Report.m_State == model::CopyState::Serving;
      });
  if (Copy == m_Copies.end()) {
    decline(Request, Answer, "not serving " + Spec->m_ModelName);
    return;
  }
  if (m_Waiting.size() >= m_Options.m_QueueLimit) {
    decline(Request, Answer, "the queue is full");
    return;
  }
  m_Cache.add(
      adapters::json::cachedPrefixesOfBody(Request.m_Body, Spec->m_ModelName));
  const std::shared_ptr<Completion> Added = std::make_shared<Completion>();
  Added->m_Spec = *Spec;
  Added->m_Artifact = Copy->first;
  Added->m_Answer = Answer;
  Added->m_Attempt = Request.header("bronzepass-attempt");
  Added->m_Batch = Request.header("bronzepass-priority") == "batch";
  if (m_Options.m_CanResume)
    Added->m_BytesToSkip = std::strtoull(
        Request.header("bronzepass-resume-offset").c_str(), nullptr, 10);
  enqueue(Added);
}

void EngineStandIn::decline(const HttpRequest &Request,
                            const std::shared_ptr<HttpResponseWriter> &Answer,
                            const std::string &Message) {
  ++m_Counts.m_Declined;
  HttpReply Reply = errorReply(503, Message);
  Reply.m_Headers = answerHeaders(Request.header("bronzepass-attempt"));
  Reply.m_Headers.push_back({"Bronzepass-Run-State", "not_run"});
  Answer->send(Reply);
}

void EngineStandIn::enqueue(const std::shared_ptr<Completion> &Added) {
  ++m_Copies[Added->m_Artifact].m_ActiveRequests;
  // Interactive requests are served before batch ones.
  auto Position =
      Added->m_Batch
          ? m_Waiting.end()
          : std::find_if(m_Waiting.begin(), m_Waiting.end(),
                         [](const std::shared_ptr<Completion> &Other) {
                           return Other->m_Batch;
                         });
  m_Waiting.insert(Position, Added);
  const std::weak_ptr<Completion> Weak = Added;
  Added->m_Answer->onDisconnect([this, Weak] {
    const std::shared_ptr<Completion> Cancelled = Weak.lock();
    if (Cancelled)
      onCallerDisconnected(Cancelled);
  });
  startWaiting();
}

void EngineStandIn::startWaiting() {
  while (!m_Waiting.empty() && m_Running.size() < m_Options.m_Slots) {
    const std::shared_ptr<Completion> Next = m_Waiting.front();
    m_Waiting.pop_front();
    m_Running.push_back(Next);
    startCompletion(*Next);
  }
  scheduleStep();
}

void EngineStandIn::startCompletion(Completion &Started) {
  ++m_Counts.m_Started;
  if (m_StallNext > 0) {
    --m_StallNext;
    Started.m_BreakAfterTokens = UINT32_MAX; // Never generates a token.
    return;
  }
  if (m_BreakNext > 0) {
    --m_BreakNext;
    Started.m_BreakAfterTokens = m_BreakAfterTokens;
  }
  if (!Started.m_Spec.m_Stream)
    return;
  std::vector<HttpHeader> Headers = answerHeaders(Started.m_Attempt);
  Headers.push_back({"Content-Type", "text/event-stream"});
  if (Started.m_BytesToSkip != 0)
    Headers.push_back(
        {"Bronzepass-Resume-Offset", std::to_string(Started.m_BytesToSkip)});
  Started.m_Answer->begin(200, Headers, std::nullopt);
}

void EngineStandIn::onCallerDisconnected(
    const std::shared_ptr<Completion> &Cancelled) {
  ++m_Counts.m_Cancelled;
  --m_Copies[Cancelled->m_Artifact].m_ActiveRequests;
  std::erase(m_Running, Cancelled);
  std::erase(m_Waiting, Cancelled);
  removeIdleUnloading();
  startWaiting();
}

void EngineStandIn::scheduleStep() {
  if (m_StepScheduled || m_Running.empty())
    return;
  m_StepScheduled = true;
  loop().runAfter(m_Options.m_Step, [this] {
    m_StepScheduled = false;
    step();
  });
}

void EngineStandIn::step() {
  // Copied, since a write to a disconnected caller removes its completion from
  // m_Running.
  const std::vector<std::shared_ptr<Completion>> Stepped = m_Running;
  for (const std::shared_ptr<Completion> &Running : Stepped) {
    const bool Disconnected = std::find(m_Running.begin(), m_Running.end(),
                                        Running) == m_Running.end();
    if (Disconnected || generateToken(*Running))
      continue;
    std::erase(m_Running, Running);
    --m_Copies[Running->m_Artifact].m_ActiveRequests;
  }
  removeIdleUnloading();
  startWaiting();
}

bool EngineStandIn::generateToken(Completion &Running) {
  if (Running.m_BreakAfterTokens == UINT32_MAX)
    return true;
  if (Running.m_BreakAfterTokens == Running.m_GeneratedTokens) {
    if (m_EndCleanly)
      Running.m_Answer->end();
    else
      Running.m_Answer->abort();
    return false;
  }
  const uint32_t Index = Running.m_GeneratedTokens++;
  const bool IsLast = Running.m_GeneratedTokens >= Running.m_Spec.m_Tokens;
  if (!Running.m_Spec.m_Stream) {
    if (IsLast)
      finishNonStreaming(Running);
    return !IsLast;
  }
  std::string Event = streamEvent(Running.m_Spec, Index);
  if (IsLast)
    Event += StreamEndEvent;
  const uint64_t Skipped =
      std::min<uint64_t>(Running.m_BytesToSkip, Event.size());
  Running.m_BytesToSkip -= Skipped;
  Running.m_Answer->write(std::string_view(Event).substr(Skipped));
  if (IsLast) {
    ++m_Counts.m_Finished;
    Running.m_Answer->end();
  }
  return !IsLast;
}

void EngineStandIn::finishNonStreaming(Completion &Running) {
  ++m_Counts.m_Finished;
  HttpReply Reply;
  Reply.m_Headers = answerHeaders(Running.m_Attempt);
  Reply.m_Body = nonStreamingBody(Running.m_Spec);
  Running.m_Answer->send(Reply);
}

void EngineStandIn::handleOrder(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  const std::optional<model::EngineOrder> Order =
      adapters::json::orderFromJson(Request.m_Body, Request.m_Path);
  if (!Order || Request.m_Method != "POST") {
    Answer->send(errorReply(400, "no order"));
    return;
  }
  if (Order->m_Token < m_HighestToken &&
      m_Options.m_Fencing == model::FencingMode::Refuses) {
    HttpReply Reply = acceptedReply();
    Reply.m_Status = 409;
    Answer->send(Reply);
    return;
  }
  m_HighestToken = std::max(m_HighestToken, Order->m_Token);
  if (Order->m_Kind == model::OrderKind::Load) {
    Answer->send(load(Order->m_Artifact, Order->m_MemoryBytes));
  } else if (Order->m_Kind == model::OrderKind::Unload) {
    Answer->send(unload(Order->m_Artifact));
  } else {
    m_Role = adapters::codec::toWireName(Order->m_Role);
    Answer->send(acceptedReply());
  }
}

HttpReply EngineStandIn::acceptedReply() const {
  HttpReply Reply;
  Reply.m_Status = 202;
  Reply.m_Body =
      nlohmann::json{{"highest_token", m_HighestToken.m_Value}}.dump();
  return Reply;
}

uint64_t EngineStandIn::usedBytes() const {
  uint64_t Used = 0;
  for (const auto &Entry : m_Copies)
    Used += Entry.second.m_Report.m_MemoryBytes;
  return Used;
}

HttpReply EngineStandIn::load(const model::ArtifactId &Artifact,
                              uint64_t Bytes) {
  if (m_Copies.contains(Artifact))
    return acceptedReply();
  if (usedBytes() + Bytes > m_Options.m_MemoryBytes) {
    HttpReply Reply = acceptedReply();
    Reply.m_Status = 507;
    return Reply;
  }
  m_Copies[Artifact].m_Report = {Artifact, initialState(false), Bytes};
  loop().runAfter(m_Options.m_LoadTime, [this, Artifact] {
    auto Found = m_Copies.find(Artifact);
    if (Found != m_Copies.end() &&
        Found->second.m_Report.m_State == model::CopyState::Loading)
      Found->second.m_Report.m_State = model::CopyState::Serving;
  });
  return acceptedReply();
}

HttpReply EngineStandIn::unload(const model::ArtifactId &Artifact) {
  auto Found = m_Copies.find(Artifact);
  if (Found != m_Copies.end())
    Found->second.m_Report.m_State = model::CopyState::Unloading;
  removeIdleUnloading();
  return acceptedReply();
}

void EngineStandIn::removeIdleUnloading() {
  std::erase_if(m_Copies, [](const auto &Entry) {
    return Entry.second.m_Report.m_State == model::CopyState::Unloading &&
           Entry.second.m_ActiveRequests == 0;
  });
}

HttpReply EngineStandIn::report(const HttpRequest &Request) {
  model::EngineReport Report;
  Report.m_Endpoint = m_Options.m_Name;
  Report.m_Sequence = ++m_ReportSequence;
  for (const auto &Entry : m_Copies)
    Report.m_Copies.push_back(Entry.second.m_Report);
  Report.m_MemoryBytes = m_Options.m_MemoryBytes;
  Report.m_UsedBytes = usedBytes();
  Report.m_Running = static_cast<uint32_t>(m_Running.size());
  Report.m_Waiting = static_cast<uint32_t>(m_Waiting.size());
  Report.m_HighestToken = m_HighestToken;
  const uint64_t Since =
      std::strtoull(Request.query("cache_since").c_str(), nullptr, 10);
  const CacheChanges Changes = m_Cache.changesSince(Since);
  nlohmann::ordered_json Json = adapters::json::reportToJson(
      Report, {Report.m_Endpoint, Changes.m_Sequence, Changes.m_Added,
               Changes.m_Removed, Changes.m_Cleared});
  Json["role"] = m_Role;
  Json["counts"] = {{"started", m_Counts.m_Started},
                    {"finished", m_Counts.m_Finished},
                    {"cancelled", m_Counts.m_Cancelled},
                    {"declined", m_Counts.m_Declined}};
  HttpReply Reply;
  Reply.m_Body = Json.dump();
  return Reply;
}

void EngineStandIn::setFaults(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  const nlohmann::json Json =
      nlohmann::json::parse(Request.m_Body, nullptr, false);
  if (!Json.is_object()) {
    Answer->send(errorReply(400, "no JSON object"));
    return;
  }
  m_BreakNext = static_cast<uint32_t>(numberOr(Json, "break_next", 0));
  m_BreakAfterTokens =
      static_cast<uint32_t>(numberOr(Json, "break_after_tokens", 0));
  m_EndCleanly = Json.value("end_cleanly", false);
  m_StallNext = static_cast<uint32_t>(numberOr(Json, "stall_next", 0));
  m_Options.m_Step = std::chrono::microseconds(numberOr(
      Json, "step_us", static_cast<uint64_t>(m_Options.m_Step.count())));
  Answer->send(HttpReply{});
}

} // namespace bronzepass::stand_ins
