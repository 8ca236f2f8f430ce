#include "UnitTests/Soak/PlatformStore.h"

#include <algorithm>
#include <thread>

namespace bronzepass::unit_tests::soak {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds SlowAnswerTime = 200ms;
constexpr std::chrono::milliseconds BackupPeriod = 200ms;
constexpr size_t MaxBackups = 60;
constexpr size_t MaxHistory = 2000;

void waitForPeer(ServerConnection &Connection) {
  while (!Connection.hasPeerClosed())
    std::this_thread::sleep_for(20ms);
  Connection.close();
}

} // namespace

void PlatformStore::stop() {
  const std::scoped_lock Lock(m_Mutex);
  m_Stopping = true;
  m_Changed.notify_all();
}

PlatformStore::Json PlatformStore::toJson(const std::string &Name,
                                          const Object &Each) {
  return {{"Metadata", {{"Name", Name}, {"Revision", Each.m_Revision}}},
          {"Spec", Each.m_Spec}};
}

void PlatformStore::keepBackup() {
  const SteadyTime Now = std::chrono::steady_clock::now();
  if (!m_Backups.empty() && Now - m_Backups.back().first < BackupPeriod)
    return;
  m_Backups.emplace_back(Now, m_State);
  if (m_Backups.size() > MaxBackups)
    m_Backups.pop_front();
}

void PlatformStore::apply(Change New) {
  keepBackup();
  New.m_Revision = ++m_State.m_Revision;
  auto &Objects = m_State.m_Objects[New.m_Kind];
  if (New.m_Spec)
    Objects[New.m_Name] = {New.m_Revision, *New.m_Spec};
  else
    Objects.erase(New.m_Name);
  m_State.m_History.push_back(std::move(New));
  if (m_State.m_History.size() > MaxHistory) {
    m_State.m_HistoryStart = m_State.m_History.front().m_Revision;
    m_State.m_History.pop_front();
  }
  m_Changed.notify_all();
}

void PlatformStore::put(const std::string &Kind, const std::string &Name,
                        const Json &Spec) {
  const std::scoped_lock Lock(m_Mutex);
  const auto Found = m_State.m_Objects[Kind].find(Name);
  if (Found == m_State.m_Objects[Kind].end() || Found->second.m_Spec != Spec)
    apply({0, Kind, Name, Spec});
}

void PlatformStore::remove(const std::string &Kind, const std::string &Name) {
  const std::scoped_lock Lock(m_Mutex);
  if (m_State.m_Objects[Kind].contains(Name))
    apply({0, Kind, Name, std::nullopt});
}

void PlatformStore::compact() {
  const std::scoped_lock Lock(m_Mutex);
  m_State.m_History.clear();
  m_State.m_HistoryStart = m_State.m_Revision;
  m_Changed.notify_all();
}

void PlatformStore::restore(std::chrono::milliseconds Age) {
  const std::scoped_lock Lock(m_Mutex);
  const SteadyTime Wanted = std::chrono::steady_clock::now() - Age;
  while (m_Backups.size() > 1 && m_Backups.back().first > Wanted)
    m_Backups.pop_back();
  if (!m_Backups.empty())
    m_State = m_Backups.back().second;
  ++m_Era;
  m_Changed.notify_all();
}

PlatformStore::Reply PlatformStore::list(const std::string &Kind) const {
  Json Items = Json::array();
  const auto Found = m_State.m_Objects.find(Kind);
  if (Found != m_State.m_Objects.end())
    for (const auto &Each : Found->second)
      Items.push_back(toJson(Each.first, Each.second));
  return {200, {{"items", Items}, {"At", m_State.m_Revision}}};
}

PlatformStore::Reply PlatformStore::watch(const std::string &Kind,
                                          const ServerRequest &Request,
                                          std::unique_lock<std::mutex> &Lock) {
  const uint64_t From = std::stoull(Request.query("Watch"));
  const SteadyTime Until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(std::stoll(Request.query("WaitMs")));
  const uint64_t Era = m_Era;
  const auto IsNews = [&](const Change &Each) {
    return Each.m_Kind == Kind && Each.m_Revision > From &&
           !(m_HidesConfiguration && Kind == "config");
  };
  const auto HasNews = [&] {
    return m_Stopping || m_Era != Era || From < m_State.m_HistoryStart ||
           std::any_of(m_State.m_History.begin(), m_State.m_History.end(),
                       IsNews);
  };
  if (From <= m_State.m_Revision)
    m_Changed.wait_until(Lock, Until, HasNews);
  if (From > m_State.m_Revision || From < m_State.m_HistoryStart)
    return {410};
  Json Events = Json::array();
  for (const Change &Each : m_State.m_History)
    if (IsNews(Each))
      Events.push_back(
          {{"Tombstone", !Each.m_Spec.has_value()},
           {"Object", toJson(Each.m_Name, {Each.m_Revision,
                                           Each.m_Spec.value_or(Json())})}});
  return {200, {{"events", Events}, {"At", m_State.m_Revision}}};
}

PlatformStore::Reply PlatformStore::write(const std::string &Kind,
                                          const std::string &Name,
                                          const ServerRequest &Request) {
  auto &Objects = m_State.m_Objects[Kind];
  const auto Found = Objects.find(Name);
  const bool Exists = Found != Objects.end();
  if (Request.m_Method == "DELETE") {
    if (!Exists)
      return {404};
    const std::string Condition = Request.query("Revision");
    if (!Condition.empty() &&
        Condition != std::to_string(Found->second.m_Revision))
      return {409, toJson(Name, Found->second)};
    apply({0, Kind, Name, std::nullopt});
    return {200};
  }
  const Json Sent = Json::parse(Request.m_Body);
  const Json Expected = Sent["Metadata"].value("Revision", Json());
  const bool IsCreate = Request.m_Method == "POST";
  if (!Exists && !IsCreate)
    return {404};
  if (Exists && (IsCreate || (Expected.is_number() &&
                              Expected != Found->second.m_Revision)))
    return {409, toJson(Name, Found->second)};
  if (!Exists || Found->second.m_Spec != Sent["Spec"])
    apply({0, Kind, Name, Sent["Spec"]});
  return {IsCreate ? 201 : 200, toJson(Name, Objects.at(Name))};
}

PlatformStore::Reply PlatformStore::handle(const ServerRequest &Request) {
  std::unique_lock Lock(m_Mutex);
  keepBackup();
  Reply Answer = decide(Request, Lock);
  Answer.m_Era = m_Era;
  return Answer;
}

PlatformStore::Reply PlatformStore::decide(const ServerRequest &Request,
                                           std::unique_lock<std::mutex> &Lock) {
  const std::string Root = "/objects/";
  const std::string Rest = Request.path().substr(Root.size());
  const size_t Slash = Rest.find('/');
  const std::string Kind = Rest.substr(0, Slash);
  std::string Name =
      Slash == std::string::npos ? std::string() : Rest.substr(Slash + 1);
  if (Request.m_Method != "GET") {
    if (Name.empty())
      Name = Json::parse(Request.m_Body)["Metadata"]["Name"];
    return write(Kind, Name, Request);
  }
  if (!Request.query("Watch").empty())
    return watch(Kind, Request, Lock);
  if (Name.empty())
    return list(Kind);
  const auto &Objects = m_State.m_Objects[Kind];
  const auto Found = Objects.find(Name);
  return Found == Objects.end() ? Reply{404}
                                : Reply{200, toJson(Name, Found->second)};
}

std::vector<std::string> PlatformStore::names(const std::string &Kind) const {
  const std::scoped_lock Lock(m_Mutex);
  std::vector<std::string> Names;
  const auto Found = m_State.m_Objects.find(Kind);
  if (Found != m_State.m_Objects.end())
    for (const auto &Each : Found->second)
      Names.push_back(Each.first);
  return Names;
}

void PlatformStore::serve(ServerConnection &Connection,
                          const ServerRequest &Request, StoreAccess Access) {
  const StoreAccess All = m_Access;
  const StoreAccess Effective = Access == StoreAccess::Normal ? All : Access;
  const std::string Era = "Store-Era: " + std::to_string(m_Era) + "\r\n";
  switch (Effective) {
  case StoreAccess::Silent:
    waitForPeer(Connection);
    return;
  case StoreAccess::Mute:
    handle(Request);
    waitForPeer(Connection);
    return;
  case StoreAccess::Unavailable:
    Connection.answer(503, "{}", Era);
    return;
  case StoreAccess::TooMany:
    Connection.answer(429, "{}", Era);
    return;
  case StoreAccess::Reset:
    Connection.reset();
    return;
  case StoreAccess::Slow:
    std::this_thread::sleep_for(SlowAnswerTime);
    break;
  case StoreAccess::LosesWriteAnswers:
  case StoreAccess::Normal:
    break;
  }
  const Reply Answer = handle(Request);
  if (Effective == StoreAccess::LosesWriteAnswers &&
      Request.m_Method != "GET") {
    Connection.reset();
    return;
  }
  Connection.answer(Answer.m_Status, Answer.m_Body.dump(),
                    "Store-Era: " + std::to_string(Answer.m_Era) +
                        "\r\nContent-Type: application/json\r\n");
}

} // namespace bronzepass::unit_tests::soak
