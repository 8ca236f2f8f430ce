#ifndef BRONZEPASS_CORE_GATEWAY_STREAMORIGINS_H
#define BRONZEPASS_CORE_GATEWAY_STREAMORIGINS_H

#include "Core/Gateway/StreamNotice.h"
#include "Core/Model/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace bronzepass::core::gateway {

/// Knows at which software version streams began, here and at the other nodes,
/// since a stream may go on only there.
///
/// While all engines of a service have one version, nothing is told: a stream
/// began at that version. From when a second one appears until no stream of the
/// first can be left, nodes tell each other the origins of their streams, and a
/// stream that nobody has told of is of unknown origin. What would be lost with
/// all nodes is recorded in the store meanwhile, by StreamRecordKeeper.
class StreamOrigins {
public:
  /// An engine of \p Service with this software version is registered.
  void onVersionServes(const std::string &Service, const std::string &Version,
                       model::TimePoint Now);
  /// The first event of a stream has been forwarded by this node.
  void onStreamBegun(const std::string &Service,
                     const std::string &FirstAttempt,
                     const std::string &Version, model::TimePoint Now);
  /// The stream has been forwarded completely.
  void onStreamCompleted(const std::string &FirstAttempt);
  void onNotice(const StreamNotice &Notice, model::TimePoint Now);
  /// Tells the origins of this node's unfinished streams once more, for a node
  /// that has lost what it knew.
  void announceAgain(model::TimePoint Now);
  void forgetOld(model::TimePoint Now);

  /// This node has just started, and does not know what nodes before it have
  /// recorded: until restore() a stream of which nothing was told is of unknown
  /// origin, unless it can't have begun before the start.
  void awaitRecord(model::TimePoint Now);
  bool awaitsRecord(model::TimePoint Now) const {
    return Now < m_AwaitsRecordUntil;
  }
  /// Takes what nodes had recorded when this one started.
  void restore(const StreamNotice &Record, model::TimePoint Now);
  /// Streams of some service may have begun at several versions.
  bool isAnyMixed(model::TimePoint Now) const;
  /// What a node that starts after the loss of all others has to know: mixed
  /// services, and where their streams began, the newest first. Empty while no
  /// service is mixed.
  StreamNotice record(model::TimePoint Now) const;

  /// The version at which the stream began; nullopt if that is not known. Where
  /// all engines have one version, a stream of which nothing was told began
  /// there, unless this node \p MayMissVersions.
  std::optional<std::string> versionOf(const std::string &Service,
                                       const std::string &FirstAttempt,
                                       bool MayMissVersions,
                                       model::TimePoint Now) const;
  StreamNotice notice(model::TimePoint Now) const;

private:
  struct Service {
    /// When engines of each version were last registered.
    std::map<std::string, model::TimePoint> m_ServedAt;
    /// Streams may have begun at several versions until then, by what this
    /// node has seen, and by what any node has.
    model::TimePoint m_SeenMixedUntil;
    model::TimePoint m_MixedUntil;
  };
  struct Stream {
    std::string m_Version;
    std::string m_Service;
    bool m_IsOwn = false;
    bool m_IsCompleted = false;
  };
  struct Announcement {
    StreamKey m_Stream = 0;
    model::TimePoint m_Until;
  };

  void markMixed(const std::string &Name, model::TimePoint Until,
                 model::TimePoint Now);
  bool isMixed(const std::string &Name, model::TimePoint Now) const;
  void remember(StreamKey Key, Stream Began, model::TimePoint Now);
  void announceUnfinished(const std::string &Service, model::TimePoint Now);

  std::map<std::string, Service> m_Services;
  std::unordered_map<StreamKey, Stream> m_Streams;
  /// The keys of m_Streams, oldest first.
  std::deque<std::pair<model::TimePoint, StreamKey>> m_Ages;
  /// Oldest first.
  std::deque<Announcement> m_Announcements;
  model::TimePoint m_AwaitsRecordUntil;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STREAMORIGINS_H
