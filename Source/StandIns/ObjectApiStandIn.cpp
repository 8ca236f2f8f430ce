#include "StandIns/ObjectApiStandIn.h"

#include <algorithm>
#include <vector>

namespace bronzepass::stand_ins {

namespace {

constexpr std::string_view ApiRoot = "/apis/bronzepass.example/v1/";
constexpr std::string_view NamespacesPart = "namespaces/";
constexpr size_t MaxHistory = 10000;
constexpr uint64_t DefaultWatchSeconds = 30;

/// An error reply in the format of Kubernetes.
HttpReply failure(int Status, const std::string &Reason,
                  const std::string &Message) {
  HttpReply Reply;
  Reply.m_Status = Status;
  Reply.m_Body = nlohmann::ordered_json{
      {"kind", "Status"},
      {"status", "Failure"},
      {"reason", Reason},
      {"message", Message},
      {"code",
       Status}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Reply;
}

HttpReply success(int Status, const nlohmann::ordered_json &Body) {
  HttpReply Reply;
  Reply.m_Status = Status;
  Reply.m_Body = Body.dump();
  return Reply;
}

uint64_t numberOf(const std::string &Text, uint64_t Default) {
  return Text.empty() ? Default : std::strtoull(Text.c_str(), nullptr, 10);
}

std::string versionOf(const nlohmann::ordered_json &Object) {
  const bool Known = Object.is_object() && Object.contains("metadata") &&
                     Object["metadata"].is_object();
  return Known ? Object["metadata"].value("resourceVersion", std::string())
               : std::string();
}

std::string nameOf(const nlohmann::ordered_json &Object) {
  const bool Known = Object.is_object() && Object.contains("metadata") &&
                     Object["metadata"].is_object();
  return Known ? Object["metadata"].value("name", std::string())
               : std::string();
}

} // namespace

ObjectApiStandIn::ObjectApiStandIn(ObjectApiOptions Options)
    : StandIn(Options.m_Address), m_Options(std::move(Options)) {}

ObjectApiStandIn::~ObjectApiStandIn() { stop(); }

void ObjectApiStandIn::handle(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  if (Request.m_Path == "/faults") {
    Answer->send(setFaults(Request));
    return;
  }
  if (Request.m_Path == "/counts") {
    Answer->send(counts());
    return;
  }
  if (injectFault(Request, Answer))
    return;
  if (m_ResponseDelay.count() == 0) {
    serve(Request, Answer);
    return;
  }
  loop().runAfter(m_ResponseDelay,
                  [this, Request, Answer] { serve(Request, Answer); });
}

bool ObjectApiStandIn::injectFault(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  if (m_Down) {
    Answer->abort();
    return true;
  }
  const bool IsWrite = Request.m_Method != "GET";
  if (IsWrite && m_LoseCalls > 0) {
    --m_LoseCalls;
    Answer->abort();
    return true;
  }
  return false;
}

void ObjectApiStandIn::serve(
    const HttpRequest &Request,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  if (!Request.m_Path.starts_with(ApiRoot)) {
    Answer->send(failure(404, "NotFound", "no such path"));
    return;
  }
  const std::string Rest = Request.m_Path.substr(ApiRoot.size());
  if (Rest == "vms") {
    Answer->send(vms(Request));
    return;
  }
  std::vector<std::string> Parts;
  for (size_t At = 0; At <= Rest.size();) {
    const size_t End = std::min(Rest.find('/', At), Rest.size());
    Parts.push_back(Rest.substr(At, End - At));
    At = End + 1;
  }
  const bool Known = Rest.starts_with(NamespacesPart) && Parts.size() >= 3 &&
                     Parts.size() <= 4;
  if (!Known) {
    Answer->send(failure(404, "NotFound", "no such path"));
    return;
  }
  const ObjectPath Path{Parts[1] + "/" + Parts[2],
                        Parts.size() > 3 ? Parts[3] : std::string()};
  const bool IsWrite = Request.m_Method != "GET";
  if (isOverRate(IsWrite)) {
    HttpReply Reply = failure(429, "TooManyRequests", "over the rate");
    Reply.m_Headers.push_back({"Retry-After", "1"});
    Answer->send(Reply);
    return;
  }
  if (!IsWrite && Request.query("watch") == "1") {
    startWatch(Request, Path, Answer);
    return;
  }
  const HttpReply Reply = apply(Request, Path);
  if (IsWrite && m_LoseAnswers > 0) {
    --m_LoseAnswers;
    Answer->abort();
    return;
  }
  Answer->send(Reply);
}

bool ObjectApiStandIn::isOverRate(bool IsWrite) {
  const std::chrono::steady_clock::time_point Now =
      std::chrono::steady_clock::now();
  if (Now - m_SecondStart >= std::chrono::seconds(1)) {
    m_SecondStart = Now;
    m_ThisSecond = {};
  }
  const uint32_t Limit =
      IsWrite ? m_Options.m_WritesPerSecond : m_Options.m_ReadsPerSecond;
  uint64_t &Count = IsWrite ? m_ThisSecond.m_Writes : m_ThisSecond.m_Reads;
  if (Limit != 0 && Count >= Limit)
    return true;
  ++Count;
  ++(IsWrite ? m_Counts.m_Writes : m_Counts.m_Reads);
  return false;
}

HttpReply ObjectApiStandIn::apply(const HttpRequest &Request,
                                  const ObjectPath &Path) {
  if (Request.m_Body.size() > m_Options.m_MaxValueBytes)
    return failure(413, "RequestEntityTooLarge", "the value is too large");
  if (Request.m_Method == "POST")
    return create(Request, Path);
  if (Request.m_Method == "PUT")
    return update(Request, Path);
  if (Request.m_Method == "DELETE")
    return remove(Request, Path);
  if (Request.m_Method != "GET")
    return failure(405, "MethodNotAllowed", Request.m_Method);
  if (Path.m_Name.empty())
    return list(Request, Path);
  auto Found = m_Objects.find(Path);
  if (Found == m_Objects.end())
    return failure(404, "NotFound", Path.m_Name + " not found");
  return success(200, Found->second);
}

HttpReply ObjectApiStandIn::list(const HttpRequest &Request,
                                 const ObjectPath &Path) const {
  const std::string Prefix = Request.query("prefix");
  Json Items = Json::array();
  for (const auto &Entry : m_Objects)
    if (Entry.first.m_Kind == Path.m_Kind &&
        Entry.first.m_Name.starts_with(Prefix))
      Items.push_back(Entry.second);
  return success(
      200, {{"kind", "List"},
            {"metadata", {{"resourceVersion", std::to_string(m_Version)}}},
            {"items", Items}});
}

HttpReply ObjectApiStandIn::create(const HttpRequest &Request,
                                   const ObjectPath &Path) {
  const Json Given = Json::parse(Request.m_Body, nullptr, false);
  const ObjectPath Full{Path.m_Kind, nameOf(Given)};
  if (Full.m_Name.empty() || !Given.contains("spec"))
    return failure(400, "BadRequest", "metadata.name or spec is missing");
  if (m_Objects.contains(Full))
    return failure(409, "AlreadyExists", Full.m_Name + " exists");
  const Json Stored = storeObject(Full, Given);
  recordChange("ADDED", Full, Stored);
  return success(201, Stored);
}

HttpReply ObjectApiStandIn::update(const HttpRequest &Request,
                                   const ObjectPath &Path) {
  const Json Given = Json::parse(Request.m_Body, nullptr, false);
  if (!Given.is_object() || !Given.contains("spec"))
    return failure(400, "BadRequest", "spec is missing");
  auto Found = m_Objects.find(Path);
  if (Found == m_Objects.end())
    return failure(404, "NotFound", Path.m_Name + " not found");
  if (versionOf(Given) != versionOf(Found->second))
    return failure(409, "Conflict", "the object has been modified");
  const Json Stored = storeObject(Path, Given);
  recordChange("MODIFIED", Path, Stored);
  return success(200, Stored);
}

HttpReply ObjectApiStandIn::remove(const HttpRequest &Request,
                                   const ObjectPath &Path) {
  auto Found = m_Objects.find(Path);
  if (Found == m_Objects.end())
    return failure(404, "NotFound", Path.m_Name + " not found");
  const std::string Expected = Request.query("resourceVersion");
  if (!Expected.empty() && Expected != versionOf(Found->second))
    return failure(409, "Conflict", "the object has been modified");
  Json Deleted = Found->second;
  m_Objects.erase(Found);
  Deleted["metadata"]["resourceVersion"] = std::to_string(++m_Version);
  recordChange("DELETED", Path, Deleted);
  return success(200, Deleted);
}

ObjectApiStandIn::Json ObjectApiStandIn::storeObject(const ObjectPath &Path,
                                                     const Json &Given) {
  const size_t Slash = Path.m_Kind.find('/');
  Json Stored = {{"apiVersion", "bronzepass.example/v1"},
                 {"kind", Path.m_Kind.substr(Slash + 1)},
                 {"metadata",
                  {{"name", Path.m_Name},
                   {"namespace", Path.m_Kind.substr(0, Slash)},
                   {"resourceVersion", std::to_string(++m_Version)}}},
                 {"spec", Given["spec"]}};
  m_Objects[Path] = Stored;
  return Stored;
}

void ObjectApiStandIn::recordChange(const std::string &Type,
                                    const ObjectPath &Path,
                                    const Json &Object) {
  m_History.push_back({m_Version, Path.m_Kind, Type, Object});
  if (m_History.size() > MaxHistory)
    m_History.pop_front();
  for (Watch &Watching : m_Watches)
    send(Watching, m_History.back());
}

void ObjectApiStandIn::startWatch(
    const HttpRequest &Request, const ObjectPath &Path,
    const std::shared_ptr<HttpResponseWriter> &Answer) {
  ++m_Counts.m_Watches;
  const uint64_t Since = numberOf(Request.query("resourceVersion"), m_Version);
  const bool Lost =
      m_History.size() == MaxHistory && Since + 1 < m_History.front().m_Version;
  if (Lost) {
    Answer->send(failure(410, "Expired", "the version is too old"));
    return;
  }
  auto Added = m_Watches.insert(
      m_Watches.end(), {Path.m_Kind, Request.query("prefix"), Since, Answer});
  Answer->begin(200, {{"Content-Type", "application/json"}}, std::nullopt);
  for (const Change &Changed : m_History)
    send(*Added, Changed);
  const std::weak_ptr<HttpResponseWriter> Weak = Answer;
  loop().runAfter(std::chrono::seconds(numberOf(Request.query("timeoutSeconds"),
                                                DefaultWatchSeconds)),
                  [this, Weak] {
                    // Not found if the caller has disconnected.
                    auto Ended =
                        std::find_if(m_Watches.begin(), m_Watches.end(),
                                     [&Weak](const Watch &Each) {
                                       return Each.m_Answer == Weak.lock();
                                     });
                    if (Ended != m_Watches.end())
                      endWatch(Ended);
                  });
  // Must come last: if the caller has already disconnected, the callback runs
  // at once and removes the watch.
  Answer->onDisconnect([this, Added] { m_Watches.erase(Added); });
}

void ObjectApiStandIn::send(Watch &Watching, const Change &Changed) {
  const bool Wanted = Changed.m_Version > Watching.m_Since &&
                      Changed.m_Kind == Watching.m_Kind &&
                      nameOf(Changed.m_Object).starts_with(Watching.m_Prefix);
  if (!Wanted)
    return;
  Watching.m_Since = Changed.m_Version;
  const Json Line = {{"type", Changed.m_Type}, {"object", Changed.m_Object}};
  const std::shared_ptr<HttpResponseWriter> Answer = Watching.m_Answer;
  const std::string Text = Line.dump() + "\n";
  // Posted, since a write to a disconnected caller removes the watch from the
  // list.
  loop().post([Answer, Text] { Answer->write(Text); });
}

void ObjectApiStandIn::endWatch(std::list<Watch>::iterator Ended) {
  const std::shared_ptr<HttpResponseWriter> Answer = Ended->m_Answer;
  m_Watches.erase(Ended);
  Answer->onDisconnect(nullptr);
  loop().post([Answer] { Answer->end(); });
}

HttpReply ObjectApiStandIn::vms(const HttpRequest &Request) {
  if (Request.m_Method == "GET")
    return success(200, m_Vms);
  m_NextVms = Json::parse(Request.m_Body, nullptr, false);
  if (Request.m_Method != "PUT" || !m_NextVms.is_object())
    return failure(400, "BadRequest", "PUT a JSON object");
  const uint64_t LagMillis = numberOf(Request.query("lagMillis"), 0);
  if (LagMillis == 0) {
    m_Vms = m_NextVms;
    return success(200, m_Vms);
  }
  loop().runAfter(std::chrono::milliseconds(LagMillis),
                  [this] { m_Vms = m_NextVms; });
  return success(202, m_Vms);
}

HttpReply ObjectApiStandIn::setFaults(const HttpRequest &Request) {
  const Json Faults = Json::parse(Request.m_Body, nullptr, false);
  if (!Faults.is_object())
    return errorReply(400, "no JSON object");
  m_Down = Faults.value("down", false);
  m_ResponseDelay = std::chrono::milliseconds(Faults.value("slow_ms", 0U));
  m_LoseAnswers = Faults.value("lose_answers", 0U);
  m_LoseCalls = Faults.value("lose_calls", 0U);
  if (m_Down)
    while (!m_Watches.empty()) {
      const std::shared_ptr<HttpResponseWriter> Answer =
          m_Watches.front().m_Answer;
      m_Watches.pop_front();
      Answer->abort();
    }
  return HttpReply{};
}

HttpReply ObjectApiStandIn::counts() const {
  return success(200, {{"reads", m_Counts.m_Reads},
                       {"writes", m_Counts.m_Writes},
                       {"watches", m_Counts.m_Watches}});
}

} // namespace bronzepass::stand_ins
