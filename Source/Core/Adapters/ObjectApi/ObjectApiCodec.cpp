#include "Core/Adapters/ObjectApi/ObjectApiCodec.h"

#include "Core/Adapters/Codec/RecordCodec.h"
#include "Core/Adapters/Yaml/MapReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::object_api {

namespace {

using nlohmann::json;
using ports::StoreAnswer;
using ports::StoreCall;
using ports::StoreStatus;
using ports::StoreVerb;

constexpr const char *ApiRoot = "/apis/bronzepass.example/v1";

const char *resourceName(ports::ObjectKind Kind) {
  switch (Kind) {
  case ports::ObjectKind::IntentHead:
    return "intentheads";
  case ports::ObjectKind::IntentPart:
    return "intentparts";
  case ports::ObjectKind::Lease:
    return "leases";
  case ports::ObjectKind::Ledger:
    return "ledgers";
  case ports::ObjectKind::ClaimShard:
    return "claimshards";
  }
  return "";
}

std::string collectionPath(const StoreCall &Call,
                           const ObjectApiSettings &Settings) {
  return std::string(ApiRoot) + "/namespaces/" + Settings.m_Namespace + "/" +
         resourceName(Call.m_Key.m_Kind);
}

std::string versionText(model::ObjectVersion Version) {
  return std::to_string(Version.m_Value);
}

/// The JSON body of a create or update.
std::optional<std::string> objectText(const StoreCall &Call) {
  if (!Call.m_Record)
    return std::nullopt;
  codec::RecordCodec Codec;
  const std::optional<std::string> Spec = Codec.encode(*Call.m_Record);
  if (!Spec)
    return std::nullopt;
  json Metadata = {{"name", Call.m_Key.m_Name}};
  if (Call.m_Verb == StoreVerb::Update)
    Metadata["resourceVersion"] = versionText(Call.m_Expected);
  return R"({"metadata":)" + Metadata.dump() + R"(,"spec":)" + *Spec + "}";
}

/// The object's resourceVersion, which may be a JSON number or string.
uint64_t versionOf(const json &Object) {
  const json Metadata = Object.value("metadata", json::object());
  const json Version = Metadata.value("resourceVersion", json("0"));
  if (Version.is_number_unsigned())
    return Version.get<uint64_t>();
  if (!Version.is_string())
    return 0;
  return std::strtoull(Version.get<std::string>().c_str(), nullptr, 10);
}

std::optional<ports::StoredObject> readObject(ports::ObjectKind Kind,
                                              const json &Object) {
  if (!Object.is_object() || !Object.contains("spec"))
    return std::nullopt;
  const json Metadata = Object.value("metadata", json::object());
  codec::RecordCodec Codec;
  const std::optional<ports::StoreRecord> Record =
      Codec.decode(Kind, Object["spec"].dump());
  if (!Record)
    return std::nullopt;
  return ports::StoredObject{
      {Kind, Metadata.value("name", "")}, {versionOf(Object)}, *Record};
}

StoreStatus statusOf(int HttpStatus) {
  if (HttpStatus >= 200 && HttpStatus < 300)
    return StoreStatus::Ok;
  switch (HttpStatus) {
  case 404:
    return StoreStatus::NotFound;
  case 409:
    return StoreStatus::Conflict;
  // Too many requests: rejected before anything was done.
  case 429:
    return StoreStatus::NotSent;
  default:
    // A server error may come after the write took effect.
    return HttpStatus >= 500 ? StoreStatus::Unknown : StoreStatus::Rejected;
  }
}

bool readList(const StoreCall &Call, const json &List, StoreAnswer &Answer) {
  if (!List.contains("items") || !List["items"].is_array())
    return false;
  Answer.m_ListVersion = {versionOf(List)};
  for (const json &Item : List["items"]) {
    std::optional<ports::StoredObject> Object =
        readObject(Call.m_Key.m_Kind, Item);
    if (Object && Object->m_Key.m_Name.rfind(Call.m_Key.m_Name, 0) == 0)
      Answer.m_Objects.push_back(std::move(*Object));
  }
  return true;
}

/// Runs \p Read and returns false if it throws: nlohmann's value() throws if a
/// member has another type than requested, which counts as unreadable.
template <typename ReadT> bool readCatchingTypeErrors(ReadT Read) {
  try {
    return Read();
  } catch (const json::exception &) {
    return false;
  }
}

void readWatchLine(const StoreCall &Call, const std::string &Line,
                   StoreAnswer &Answer) {
  const json Event = json::parse(Line, nullptr, false);
  if (!Event.is_object() || !Event.contains("object"))
    return;
  const json &Object = Event["object"];
  Answer.m_ListVersion.m_Value =
      std::max(Answer.m_ListVersion.m_Value, versionOf(Object));
  const std::string Type = Event.value("type", "");
  if (Type != "ADDED" && Type != "MODIFIED")
    return;
  std::optional<ports::StoredObject> Found =
      readObject(Call.m_Key.m_Kind, Object);
  if (Found && Found->m_Key.m_Name.rfind(Call.m_Key.m_Name, 0) == 0)
    Answer.m_Objects.push_back(std::move(*Found));
}

bool readBody(const StoreCall &Call, const std::string &Body,
              StoreAnswer &Answer) {
  if (Call.m_Verb == StoreVerb::Delete)
    return true;
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return false;
  if (Call.m_Verb == StoreVerb::List)
    return readList(Call, Document, Answer);
  std::optional<ports::StoredObject> Object =
      readObject(Call.m_Key.m_Kind, Document);
  if (!Object)
    return false;
  Answer.m_Objects.push_back(std::move(*Object));
  return true;
}

model::Address addressOf(const json &Vm, const char *Key) {
  return yaml::parseAddress(Vm.value(Key, "")).value_or(model::Address());
}

std::optional<model::Liveness> livenessOf(const std::string &State) {
  if (State == "live")
    return model::Liveness::Live;
  if (State == "leaving")
    return model::Liveness::Leaving;
  if (State == "gone")
    return model::Liveness::Gone;
  return std::nullopt;
}

} // namespace

std::optional<curl::TransferRequest>
makeTransfer(const StoreCall &Call, const ObjectApiSettings &Settings) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  curl::TransferRequest Request;
  Request.m_Address = Settings.m_Address;
  Request.m_ConnectTimeout = Settings.m_ConnectTimeout;
  Request.m_Timeout = duration_cast<milliseconds>(Call.m_Timeout);
  Request.m_Headers = {"Content-Type: application/json"};
  const std::string Collection = collectionPath(Call, Settings);
  Request.m_Path = Collection + "/" + Call.m_Key.m_Name;
  switch (Call.m_Verb) {
  case StoreVerb::Get:
    return Request;
  case StoreVerb::List:
    Request.m_Path = Collection;
    return Request;
  case StoreVerb::Watch: {
    const long long Seconds = std::max<long long>(
        1, duration_cast<std::chrono::seconds>(Call.m_Timeout).count());
    Request.m_Path = Collection + "?watch=1&resourceVersion=" +
                     versionText(Call.m_Expected) +
                     "&timeoutSeconds=" + std::to_string(Seconds);
    // The server ends the watch; the extra time bounds one that never answers.
    Request.m_Timeout += std::chrono::seconds(2);
    return Request;
  }
  case StoreVerb::Create:
    Request.m_Method = "POST";
    Request.m_Path = Collection;
    break;
  case StoreVerb::Update:
    Request.m_Method = "PUT";
    break;
  case StoreVerb::Delete:
    Request.m_Method = "DELETE";
    Request.m_Path += "?resourceVersion=" + versionText(Call.m_Expected);
    return Request;
  }
  std::optional<std::string> Body = objectText(Call);
  if (!Body)
    return std::nullopt;
  Request.m_Body = std::move(*Body);
  return Request;
}

StoreAnswer readAnswer(const StoreCall &Call, int Status,
                       const std::string &Body,
                       const curl::TransferResult &Result) {
  StoreAnswer Answer{.m_Id = Call.m_Id};
  if (Status == 0 || !Result.m_Complete) {
    Answer.m_Status =
        Result.m_BytesSent == 0 ? StoreStatus::NotSent : StoreStatus::Unknown;
    return Answer;
  }
  Answer.m_Status = statusOf(Status);
  if (Answer.m_Status != StoreStatus::Ok)
    return Answer;
  if (Call.m_Verb == StoreVerb::Watch) {
    // The watch may have ended without an event.
    Answer.m_ListVersion = Call.m_Expected;
    return readWatchLines(Call, Body).value_or(Answer);
  }
  if (!readCatchingTypeErrors([&] { return readBody(Call, Body, Answer); }))
    Answer = {.m_Id = Call.m_Id, .m_Status = StoreStatus::Unknown};
  return Answer;
}

std::optional<StoreAnswer> readWatchLines(const StoreCall &Call,
                                          const std::string &Body) {
  const size_t End = Body.rfind('\n');
  if (End == std::string::npos)
    return std::nullopt;
  StoreAnswer Answer{.m_Id = Call.m_Id,
                     .m_Status = StoreStatus::Ok,
                     .m_ListVersion = Call.m_Expected};
  size_t Begin = 0;
  while (Begin <= End) {
    const size_t LineEnd = Body.find('\n', Begin);
    readCatchingTypeErrors([&] {
      readWatchLine(Call, Body.substr(Begin, LineEnd - Begin), Answer);
      return true;
    });
    Begin = LineEnd + 1;
  }
  return Answer;
}

curl::TransferRequest makeVmListTransfer(const ObjectApiSettings &Settings) {
  curl::TransferRequest Request;
  Request.m_Address = Settings.m_Address;
  Request.m_Path = std::string(ApiRoot) + "/vms";
  Request.m_ConnectTimeout = Settings.m_ConnectTimeout;
  Request.m_Timeout = std::chrono::seconds(2);
  return Request;
}

std::optional<ports::VmListReceived> readVmList(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("items") ||
      !Document["items"].is_array())
    return std::nullopt;
  ports::VmListReceived Seen;
  const bool Readable = readCatchingTypeErrors([&] {
    for (const json &Vm : Document["items"]) {
      // A state that a newer platform introduces says nothing about whether
      // the VM works.
      const model::Liveness Liveness = livenessOf(Vm.value("state", "live"))
                                           .value_or(model::Liveness::Suspect);
      Seen.m_Vms.push_back(
          {model::VmId(Vm.value("name", "")),
           Vm.value("kind", "endpoint") == "entry" ? model::VmKind::Entry
                                                   : model::VmKind::Endpoint,
           Liveness, model::DomainId(Vm.value("failureDomain", "")),
           model::RegionId(Vm.value("region", "")),
           addressOf(Vm, "peerAddress"), addressOf(Vm, "callerAddress")});
    }
    return true;
  });
  if (!Readable)
    return std::nullopt;
  return Seen;
}

} // namespace bronzepass::core::adapters::object_api
