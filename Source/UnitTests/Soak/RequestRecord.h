#ifndef BRONZEPASS_UNITTESTS_SOAK_REQUESTRECORD_H
#define BRONZEPASS_UNITTESTS_SOAK_REQUESTRECORD_H

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::soak {

enum class RequestKind {
  Once,
  Repeatable,
  LiveStream,
  ResumableStream,
  /// Takes longer than the grace of a planned stop.
  LongStream,
};

/// Engines run it.
bool isStream(RequestKind Kind);

/// Events of a stream's complete answer.
constexpr int StreamEvents = 8;
/// From a signal to stop to the end of a node.
constexpr std::chrono::milliseconds StopGrace(8000);

std::string streamEvent(const std::string &Id, int Number);
/// The complete body of an endpoint's answer to the request \p Id.
std::string completeBody(const std::string &Id, RequestKind Kind);

/// A caller's connection that ended without a complete answer although nothing
/// unplanned had happened to its node.
struct LostAnswer {
  using Time = std::chrono::steady_clock::time_point;

  /// When the whole request was sent.
  Time m_SentAt;
  Time m_EndedAt;
  /// The caller got a head.
  bool m_HasBegun = false;
  /// When the node was asked to stop.
  std::optional<Time> m_StopAskedAt;
  /// A time-out of the route that may have applied.
  std::optional<std::chrono::milliseconds> m_Timeout;
};

/// What callers and endpoints have seen of each request, and the promises that
/// this shows to be broken. Thread-safe.
class RequestRecord {
public:
  using Time = std::chrono::steady_clock::time_point;

  void onSent(const std::string &Id, RequestKind Kind);
  /// An endpoint began to work on it. Returns the number of the run.
  size_t onRunBegan(const std::string &Id, const std::string &Endpoint);
  /// An engine of the software version \p Version goes on with the stream, or
  /// begins it.
  void onStreamAt(const std::string &Id, const std::string &Version,
                  bool Begins);
  /// \p Answered: the whole answer was written to the connection.
  void onRunEnded(const std::string &Id, size_t Run, bool Answered);
  /// The caller got a status that promises that it has not run.
  void onPromisedNotRun(const std::string &Id, int Status);
  void onCallerLeft(const std::string &Id);
  /// The caller got a complete success, sealed by \p Endpoint.
  void onSuccess(const std::string &Id, const std::string &Endpoint);
  void onLost(const std::string &Id, const LostAnswer &Lost);
  /// The endpoint ended the run by itself.
  void onBrokenOff(const std::string &Id);

  /// A promise is broken.
  void violation(const std::string &Promise, const std::string &What);
  /// Checks what only the end can tell.
  void finish();
  /// Number of violations by promise.
  std::map<std::string, int> violations() const;
  size_t runCount() const;

private:
  struct Run {
    std::string m_Endpoint;
    Time m_Began;
    std::optional<Time> m_Ended;
    bool m_Answered = false;
  };
  struct Entry {
    RequestKind m_Kind = RequestKind::Once;
    std::vector<Run> m_Runs;
    int m_PromisedStatus = 0;
    std::optional<LostAnswer> m_Lost;
    bool m_IsBrokenOff = false;
    std::optional<Time> m_LeftAt;
    /// Of the engine that began the stream.
    std::string m_SoftwareVersion;
  };

  void addViolation(const std::string &Promise, const std::string &What);
  void checkLeavers();
  /// Judges a request that the caller lost while its node was stopping.
  void checkStopped(const std::string &Id, const Entry &Known);

  mutable std::mutex m_Mutex;
  std::map<std::string, Entry> m_Entries;
  std::map<std::string, int> m_Violations;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_REQUESTRECORD_H
