#include "UnitTests/Soak/RequestRecord.h"

#include <iostream>

namespace bronzepass::unit_tests::soak {

namespace {

constexpr size_t PlainBodyBytes = 400;
/// By then an endpoint's connection is closed after its caller has left.
constexpr std::chrono::milliseconds LeaveBound(500);
/// Late runs of callers that left which are not counted, and their share.
constexpr size_t MaxLateLeaves = 3;
constexpr size_t MaxLateLeaveShare = 4;
/// A connection that ends so soon after a request was sent may have been closed
/// before the node could read it.
constexpr std::chrono::milliseconds CrossingTime(200);
/// What an endpoint still works on may be cut in this part of the grace.
constexpr int LastPart = 6;

} // namespace

std::string streamEvent(const std::string &Id, int Number) {
  return "id: " + std::to_string(Number) + "\ndata: " + Id + "/" +
         std::to_string(Number) + "\n\n";
}

bool isStream(RequestKind Kind) {
  return Kind != RequestKind::Once && Kind != RequestKind::Repeatable;
}

std::string completeBody(const std::string &Id, RequestKind Kind) {
  std::string Body;
  if (isStream(Kind)) {
    for (int Number = 1; Number <= StreamEvents; ++Number)
      Body += streamEvent(Id, Number);
    return Body;
  }
  while (Body.size() < PlainBodyBytes)
    Body += Id + ".";
  return Body;
}

void RequestRecord::onSent(const std::string &Id, RequestKind Kind) {
  const std::scoped_lock Lock(m_Mutex);
  m_Entries[Id].m_Kind = Kind;
}

size_t RequestRecord::onRunBegan(const std::string &Id,
                                 const std::string &Endpoint) {
  const std::scoped_lock Lock(m_Mutex);
  const auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end()) {
    addViolation("unasked", "run of '" + Id + "' that no caller sent");
    return 0;
  }
  Entry &Known = Found->second;
  Known.m_Runs.push_back(
      {Endpoint, std::chrono::steady_clock::now(), std::nullopt, false});
  const bool MayRepeat = Known.m_Kind == RequestKind::Repeatable ||
                         Known.m_Kind == RequestKind::ResumableStream;
  if (Known.m_Runs.size() > 1 && !MayRepeat)
    addViolation("at most once", Id + " ran again at " + Endpoint);
  if (Known.m_PromisedStatus != 0)
    addViolation("true refusals", Id + " runs after status " +
                                      std::to_string(Known.m_PromisedStatus));
  return Known.m_Runs.size() - 1;
}

void RequestRecord::onStreamAt(const std::string &Id,
                               const std::string &Version, bool Begins) {
  const std::scoped_lock Lock(m_Mutex);
  std::string &Known = m_Entries[Id].m_SoftwareVersion;
  if (Begins)
    Known = Version;
  else if (Known != Version)
    addViolation("one software version",
                 Id + " began at " + Known + " and goes on at " + Version);
}

void RequestRecord::onRunEnded(const std::string &Id, size_t Number,
                               bool Answered) {
  const std::scoped_lock Lock(m_Mutex);
  Run &Ended = m_Entries[Id].m_Runs.at(Number);
  Ended.m_Ended = std::chrono::steady_clock::now();
  Ended.m_Answered = Answered;
}

void RequestRecord::onPromisedNotRun(const std::string &Id, int Status) {
  const std::scoped_lock Lock(m_Mutex);
  Entry &Known = m_Entries[Id];
  Known.m_PromisedStatus = Status;
  if (!Known.m_Runs.empty() && Known.m_Kind == RequestKind::Once)
    addViolation("true refusals",
                 Id + " had run before status " + std::to_string(Status));
}

void RequestRecord::onCallerLeft(const std::string &Id) {
  const std::scoped_lock Lock(m_Mutex);
  m_Entries[Id].m_LeftAt = std::chrono::steady_clock::now();
}

void RequestRecord::onSuccess(const std::string &Id,
                              const std::string &Endpoint) {
  const std::scoped_lock Lock(m_Mutex);
  for (const Run &Each : m_Entries[Id].m_Runs)
    if (Each.m_Endpoint == Endpoint)
      return;
  addViolation("own answer",
               Id + " sealed by " + Endpoint + ", which did not run it");
}

void RequestRecord::onLost(const std::string &Id, const LostAnswer &Lost) {
  const std::scoped_lock Lock(m_Mutex);
  m_Entries[Id].m_Lost = Lost;
}

void RequestRecord::onBrokenOff(const std::string &Id) {
  const std::scoped_lock Lock(m_Mutex);
  m_Entries[Id].m_IsBrokenOff = true;
}

void RequestRecord::violation(const std::string &Promise,
                              const std::string &What) {
  const std::scoped_lock Lock(m_Mutex);
  addViolation(Promise, What);
}

void RequestRecord::addViolation(const std::string &Promise,
                                 const std::string &What) {
  ++m_Violations[Promise];
  std::cerr << "broken: " << Promise << ": " << What << std::endl;
}

void RequestRecord::checkStopped(const std::string &Id, const Entry &Known) {
  const LostAnswer &Lost = *Known.m_Lost;
  if (!Lost.m_HasBegun) {
    if (!Known.m_Runs.empty() || Lost.m_EndedAt - Lost.m_SentAt > CrossingTime)
      addViolation("answers in stops",
                   Id + " got neither an answer nor a refusal");
    return;
  }
  const bool IsTimeUp =
      Lost.m_Timeout && Lost.m_EndedAt - Lost.m_SentAt >= *Lost.m_Timeout;
  if (!Known.m_IsBrokenOff && !IsTimeUp &&
      Lost.m_EndedAt - *Lost.m_StopAskedAt < StopGrace - StopGrace / LastPart)
    addViolation("answers in stops", Id + " was cut early");
}

void RequestRecord::finish() {
  const std::scoped_lock Lock(m_Mutex);
  for (const auto &[Id, Known] : m_Entries)
    for (const Run &Each : Known.m_Runs)
      if (Known.m_Lost && Each.m_Answered)
        addViolation("planned stops", Id + " was answered by " +
                                          Each.m_Endpoint +
                                          " and not by its node");
  for (const auto &[Id, Known] : m_Entries)
    if (Known.m_Lost && Known.m_Lost->m_StopAskedAt)
      checkStopped(Id, Known);
  checkLeavers();
}

void RequestRecord::checkLeavers() {
  size_t Left = 0;
  size_t Late = 0;
  for (const auto &[Id, Known] : m_Entries) {
    for (const Run &Each : Known.m_Runs) {
      const bool IsCut = Known.m_LeftAt && Each.m_Began < *Known.m_LeftAt &&
                         Known.m_Kind != RequestKind::Once;
      if (!IsCut)
        continue;
      ++Left;
      Late += !Each.m_Ended || *Each.m_Ended - *Known.m_LeftAt > LeaveBound;
    }
  }
  if (Late > MaxLateLeaves && Late * MaxLateLeaveShare > Left)
    addViolation("callers that leave", std::to_string(Late) + " of " +
                                           std::to_string(Left) +
                                           " runs went on");
}

std::map<std::string, int> RequestRecord::violations() const {
  const std::scoped_lock Lock(m_Mutex);
  return m_Violations;
}

size_t RequestRecord::runCount() const {
  const std::scoped_lock Lock(m_Mutex);
  size_t Count = 0;
  for (const auto &Each : m_Entries)
    Count += Each.second.m_Runs.size();
  return Count;
}

} // namespace bronzepass::unit_tests::soak
