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

constexpr std::string_view LastEvent = "data: [DONE]\n\n";

model::CopyState stateAtFirst(bool Serving) {
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
  m_Copies[Artifact].m_Report = {Artifact, stateAtFirst(true), MemoryBytes};
}

void EngineStandIn::handle(const HttpRequest &Request,
                           const std::shared_ptr<HttpResponseWriter> &Answer) {
  const std::string &Path = Request.m_Path;
  if (Path == "/v1/chat/completions" || Path == "/v1/completions")
    complete(Request, Answer);
  else if (Path == "/control/report")
    Answer->send(report(Request));
  else if (Path.rfind("/control/", 0) == 0)
    order(Request, Answer);
  else if (Path == "/faults")
    setFaults(Request, Answer);
  else
    Answer->send(errorReply(404, "no such path: " + Path));
}

std::vector<HttpHeader> EngineStandIn::loadHeaders() const {
  return {{"Bronzepass-Running", std::to_string(m_Running.size())},
          {"Bronzepass-Waiting", std::to_string(m_Waiting.size())}};
}

void EngineStandIn::complete(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  const std::optional<CompletionSpec> Spec =
      parseCompletion(Request.m_Body, Request.m_Path != "/v1/completions");
  if (!Spec) {
    Answer->send(errorReply(400, "the body is no completion request"));
    return;
  }
  auto Held = std::find_if(
      m_Copies.begin(), m_Copies.end(), [&Spec](const auto &Entry) {
        return model::toString(Entry.first) == Spec->m_ModelName &&
               Entry.second.m_Report.m_State == model::CopyState::Serving;
      });
  if (Held == m_Copies.end()) {
    decline(Answer, "not serving " + Spec->m_ModelName);
    return;
  }
  if (m_Waiting.size() >= m_Options.m_QueueLimit) {
    decline(Answer, "the queue is full");
    return;
  }
  m_Cache.add(
      adapters::json::cachedPrefixesOfBody(Request.m_Body, Spec->m_ModelName));
  const std::shared_ptr<Completion> Added = std::make_shared<Completion>();
  Added->m_Spec = *Spec;
  Added->m_Artifact = Held->first;
  Added->m_Answer = Answer;
  Added->m_Batch = Request.header("bronzepass-priority") == "batch";
  if (m_Options.m_CanResume)
    Added->m_Skip = std::strtoull(
        Request.header("bronzepass-resume-offset").c_str(), nullptr, 10);
  enqueue(Added);
}

void EngineStandIn::decline(const std::shared_ptr<HttpResponseWriter> &Answer,
                            const std::string &Message) {
  ++m_Counts.m_Declined;
  HttpReply Reply = errorReply(503, Message);
  Reply.m_Headers = loadHeaders();
  Reply.m_Headers.push_back({"Bronzepass-Run-State", "not_run"});
  Answer->send(Reply);
}

void EngineStandIn::enqueue(const std::shared_ptr<Completion> &Added) {
  ++m_Copies[Added->m_Artifact].m_Running;
  // Interactive requests go before batch ones.
  auto Behind =
      Added->m_Batch
          ? m_Waiting.end()
          : std::find_if(m_Waiting.begin(), m_Waiting.end(),
                         [](const std::shared_ptr<Completion> &Other) {
                           return Other->m_Batch;
                         });
  m_Waiting.insert(Behind, Added);
  const std::weak_ptr<Completion> Weak = Added;
  Added->m_Answer->onDisconnect([this, Weak] {
    const std::shared_ptr<Completion> Gone = Weak.lock();
    if (Gone)
      leave(Gone);
  });
  startWaiting();
}

void EngineStandIn::startWaiting() {
  while (!m_Waiting.empty() && m_Running.size() < m_Options.m_Slots) {
    const std::shared_ptr<Completion> Next = m_Waiting.front();
    m_Waiting.pop_front();
    m_Running.push_back(Next);
    begin(*Next);
  }
  scheduleStep();
}

void EngineStandIn::begin(Completion &Started) {
  ++m_Counts.m_Started;
  if (m_StallNext > 0) {
    --m_StallNext;
    Started.m_BreakAt = UINT32_MAX; // Never steps.
    return;
  }
  if (m_BreakNext > 0) {
    --m_BreakNext;
    Started.m_BreakAt = m_BreakAfterTokens;
  }
  if (!Started.m_Spec.m_Stream)
    return;
  std::vector<HttpHeader> Headers = loadHeaders();
  Headers.push_back({"Content-Type", "text/event-stream"});
  if (Started.m_Skip != 0)
    Headers.push_back(
        {"Bronzepass-Resume-Offset", std::to_string(Started.m_Skip)});
  Started.m_Answer->begin(200, Headers, std::nullopt);
}

void EngineStandIn::leave(const std::shared_ptr<Completion> &Gone) {
  ++m_Counts.m_Cancelled;
  --m_Copies[Gone->m_Artifact].m_Running;
  std::erase(m_Running, Gone);
  std::erase(m_Waiting, Gone);
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
  // A write may find the caller gone, which takes it from m_Running.
  const std::vector<std::shared_ptr<Completion>> Stepped = m_Running;
  for (const std::shared_ptr<Completion> &Running : Stepped) {
    const bool Left = std::find(m_Running.begin(), m_Running.end(), Running) ==
                      m_Running.end();
    if (Left || stepOne(*Running))
      continue;
    std::erase(m_Running, Running);
    --m_Copies[Running->m_Artifact].m_Running;
  }
  removeIdleUnloading();
  startWaiting();
}

bool EngineStandIn::stepOne(Completion &Running) {
  if (Running.m_BreakAt == UINT32_MAX)
    return true;
  if (Running.m_BreakAt == Running.m_Done) {
    if (m_EndCleanly)
      Running.m_Answer->end();
    else
      Running.m_Answer->abort();
    return false;
  }
  const uint32_t Index = Running.m_Done++;
  const bool IsLast = Running.m_Done >= Running.m_Spec.m_Tokens;
  if (!Running.m_Spec.m_Stream) {
    if (IsLast)
      finishPlain(Running);
    return !IsLast;
  }
  std::string Event = streamEvent(Running.m_Spec, Index);
  if (IsLast)
    Event += LastEvent;
  const uint64_t Skipped = std::min<uint64_t>(Running.m_Skip, Event.size());
  Running.m_Skip -= Skipped;
  Running.m_Answer->write(std::string_view(Event).substr(Skipped));
  if (IsLast) {
    ++m_Counts.m_Finished;
    Running.m_Answer->end();
  }
  return !IsLast;
}

void EngineStandIn::finishPlain(Completion &Running) {
  ++m_Counts.m_Finished;
  HttpReply Reply;
  Reply.m_Headers = loadHeaders();
  Reply.m_Body = plainBody(Running.m_Spec);
  Running.m_Answer->send(Reply);
}

void EngineStandIn::order(const HttpRequest &Request,
                          const std::shared_ptr<HttpResponseWriter> &Answer) {
  const std::optional<model::EngineOrder> Order =
      adapters::json::orderFromJson(Request.m_Body, Request.m_Path);
  if (!Order || Request.m_Method != "POST") {
    Answer->send(errorReply(400, "no order"));
    return;
  }
  if (Order->m_Token < m_HighestToken &&
      m_Options.m_Fencing == model::FencingMode::Refuses) {
    HttpReply Reply = accepted();
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
    Answer->send(accepted());
  }
}

HttpReply EngineStandIn::accepted() const {
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
    return accepted();
  if (usedBytes() + Bytes > m_Options.m_MemoryBytes) {
    HttpReply Reply = accepted();
    Reply.m_Status = 507;
    return Reply;
  }
  m_Copies[Artifact].m_Report = {Artifact, stateAtFirst(false), Bytes};
  loop().runAfter(m_Options.m_LoadTime, [this, Artifact] {
    auto Found = m_Copies.find(Artifact);
    if (Found != m_Copies.end() &&
        Found->second.m_Report.m_State == model::CopyState::Loading)
      Found->second.m_Report.m_State = model::CopyState::Serving;
  });
  return accepted();
}

HttpReply EngineStandIn::unload(const model::ArtifactId &Artifact) {
  auto Found = m_Copies.find(Artifact);
  if (Found != m_Copies.end())
    Found->second.m_Report.m_State = model::CopyState::Unloading;
  removeIdleUnloading();
  return accepted();
}

void EngineStandIn::removeIdleUnloading() {
  std::erase_if(m_Copies, [](const auto &Entry) {
    return Entry.second.m_Report.m_State == model::CopyState::Unloading &&
           Entry.second.m_Running == 0;
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
  const CacheNews News = m_Cache.since(Since);
  nlohmann::ordered_json Json = adapters::json::reportToJson(
      Report, {Report.m_Endpoint, News.m_Sequence, News.m_Added, News.m_Removed,
               News.m_Cleared});
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
