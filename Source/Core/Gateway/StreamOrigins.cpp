#include "Core/Gateway/StreamOrigins.h"

#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

/// Longer than any route lets a stream and its continuations last.
constexpr model::Duration StreamLifetime = std::chrono::seconds(60);
/// Several notices may be lost in this time.
constexpr model::Duration AnnounceTime = std::chrono::seconds(1);
/// Origins in one notice: 20 to 30 bytes each.
constexpr size_t MaxAnnounced = 256;
/// Streams that a fleet of the largest planned size begins in their lifetime,
/// about 100 bytes each.
constexpr size_t MaxStreams = 65536;
/// Streams of peers that began longer ago are not recorded: a peer does not
/// tell when they end, and few streams take longer.
constexpr model::Duration RecordedAge = std::chrono::seconds(30);
/// 16 bytes each; an object of the store has to hold them.
constexpr size_t MaxRecorded = 16384;

StreamKey keyOf(const std::string &FirstAttempt) {
  return model::stableHash(FirstAttempt);
}

} // namespace

void StreamOrigins::onVersionServes(const std::string &Service,
                                    const std::string &Version,
                                    model::TimePoint Now) {
  StreamOrigins::Service &Served = m_Services[Service];
  Served.m_ServedAt[Version] = Now;
  if (Served.m_ServedAt.size() < 2)
    return;
  Served.m_SeenMixedUntil = Now + StreamLifetime;
  markMixed(Service, Served.m_SeenMixedUntil, Now);
}

void StreamOrigins::markMixed(const std::string &Name, model::TimePoint Until,
                              model::TimePoint Now) {
  Service &Marked = m_Services[Name];
  const bool IsNews = Marked.m_MixedUntil <= Now && Until > Now;
  Marked.m_MixedUntil = std::max(Marked.m_MixedUntil, Until);
  if (IsNews)
    announceUnfinished(Name, Now);
}

void StreamOrigins::announceUnfinished(const std::string &Service,
                                       model::TimePoint Now) {
  for (const auto &Each : m_Streams)
    if (Each.second.m_IsOwn && !Each.second.m_IsCompleted &&
        Each.second.m_Service == Service)
      m_Announcements.push_back({Each.first, Now + AnnounceTime});
}

void StreamOrigins::announceAgain(model::TimePoint Now) {
  for (const auto &Each : m_Services)
    if (Now < Each.second.m_MixedUntil)
      announceUnfinished(Each.first, Now);
}

void StreamOrigins::remember(StreamKey Key, Stream Began,
                             model::TimePoint Now) {
  if (!m_Streams.emplace(Key, std::move(Began)).second)
    return;
  m_Ages.emplace_back(Now, Key);
  if (m_Ages.size() > MaxStreams) {
    m_Streams.erase(m_Ages.front().second);
    m_Ages.pop_front();
  }
}

void StreamOrigins::onStreamBegun(const std::string &Service,
                                  const std::string &FirstAttempt,
                                  const std::string &Version,
                                  model::TimePoint Now) {
  const StreamKey Key = keyOf(FirstAttempt);
  remember(Key, {Version, Service, true, false}, Now);
  if (Now < m_Services[Service].m_MixedUntil)
    m_Announcements.push_back({Key, Now + AnnounceTime});
}

void StreamOrigins::onStreamCompleted(const std::string &FirstAttempt) {
  const auto Found = m_Streams.find(keyOf(FirstAttempt));
  if (Found != m_Streams.end())
    Found->second.m_IsCompleted = true;
}

void StreamOrigins::onNotice(const StreamNotice &Notice, model::TimePoint Now) {
  for (const MixedService &Each : Notice.m_MixedServices)
    markMixed(Each.m_Service, Now + std::min(Each.m_Remaining, StreamLifetime),
              Now);
  for (const StreamOrigin &Each : Notice.m_Origins)
    remember(Each.m_Stream, {Each.m_SoftwareVersion, "", false, false}, Now);
}

void StreamOrigins::forgetOld(model::TimePoint Now) {
  while (!m_Ages.empty() && m_Ages.front().first + StreamLifetime <= Now) {
    m_Streams.erase(m_Ages.front().second);
    m_Ages.pop_front();
  }
  while (!m_Announcements.empty() && m_Announcements.front().m_Until <= Now)
    m_Announcements.pop_front();
  for (auto &Each : m_Services)
    std::erase_if(Each.second.m_ServedAt, [&](const auto &Version) {
      return Version.second + StreamLifetime <= Now;
    });
}

std::optional<std::string>
StreamOrigins::versionOf(const std::string &Service,
                         const std::string &FirstAttempt, bool MayMissVersions,
                         model::TimePoint Now) const {
  const auto Known = m_Streams.find(keyOf(FirstAttempt));
  if (Known != m_Streams.end())
    return Known->second.m_Version;
  const auto Found = m_Services.find(Service);
  const bool MayKnowAll = !MayMissVersions && !awaitsRecord(Now);
  const bool HasOneVersion = MayKnowAll && Found != m_Services.end() &&
                             Found->second.m_MixedUntil <= Now &&
                             Found->second.m_ServedAt.size() == 1;
  if (HasOneVersion)
    return Found->second.m_ServedAt.begin()->first;
  return std::nullopt;
}

void StreamOrigins::awaitRecord(model::TimePoint Now) {
  m_AwaitsRecordUntil = Now + StreamLifetime;
}

void StreamOrigins::restore(const StreamNotice &Record, model::TimePoint Now) {
  m_AwaitsRecordUntil = model::TimePoint();
  // Unlike what a peer tells, this is passed on: the nodes that saw the
  // versions serve may all be gone.
  for (const MixedService &Each : Record.m_MixedServices) {
    model::TimePoint &Until = m_Services[Each.m_Service].m_SeenMixedUntil;
    Until = std::max(Until, Now + std::min(Each.m_Remaining, StreamLifetime));
  }
  onNotice(Record, Now);
}

bool StreamOrigins::isAnyMixed(model::TimePoint Now) const {
  return std::any_of(
      m_Services.begin(), m_Services.end(),
      [&](const auto &Each) { return Now < Each.second.m_MixedUntil; });
}

bool StreamOrigins::isMixed(const std::string &Name,
                            model::TimePoint Now) const {
  const auto Found = m_Services.find(Name);
  return Found != m_Services.end() && Now < Found->second.m_MixedUntil;
}

StreamNotice StreamOrigins::record(model::TimePoint Now) const {
  StreamNotice Record;
  for (const auto &Each : m_Services)
    if (Now < Each.second.m_MixedUntil)
      Record.m_MixedServices.push_back(
          {Each.first, Each.second.m_MixedUntil - Now});
  if (Record.m_MixedServices.empty())
    return Record;
  for (auto Each = m_Ages.rbegin(); Each != m_Ages.rend(); ++Each) {
    if (Record.m_Origins.size() >= MaxRecorded ||
        Each->first + RecordedAge <= Now)
      break;
    const Stream &Known = m_Streams.at(Each->second);
    // Peers tell of streams of mixed services only.
    if (!Known.m_IsOwn ||
        (!Known.m_IsCompleted && isMixed(Known.m_Service, Now)))
      Record.m_Origins.push_back({Each->second, Known.m_Version});
  }
  return Record;
}

StreamNotice StreamOrigins::notice(model::TimePoint Now) const {
  StreamNotice Notice;
  // What was heard is not passed on: it would last longer with each turn.
  for (const auto &Each : m_Services)
    if (Now < Each.second.m_SeenMixedUntil)
      Notice.m_MixedServices.push_back(
          {Each.first, Each.second.m_SeenMixedUntil - Now});
  for (auto Each = m_Announcements.rbegin(); Each != m_Announcements.rend();
       ++Each) {
    const auto Stream = m_Streams.find(Each->m_Stream);
    if (Notice.m_Origins.size() >= MaxAnnounced || Each->m_Until <= Now)
      break;
    if (Stream != m_Streams.end())
      Notice.m_Origins.push_back({Each->m_Stream, Stream->second.m_Version});
  }
  return Notice;
}

} // namespace bronzepass::core::gateway
