#ifndef BRONZEPASS_CORE_GATEWAY_HOLDQUEUE_H
#define BRONZEPASS_CORE_GATEWAY_HOLDQUEUE_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bronzepass::core::gateway {

/// How the requests of a lane are ordered.
enum class HoldOrder {
  /// By rank, then by organisation's turn and arrival.
  Rank,
  /// By the latest time at which they can be sent and still be in time. Rank
  /// and organisations' turns decide who is not served in time.
  Slack,
};

/// A request that waits at this node for room at the engines of its model.
struct HeldRequest {
  model::RequestId m_Number;
  /// Requests with the same lane wait for the same engines.
  uint64_t m_Lane = 0;
  HoldOrder m_Order = HoldOrder::Rank;
  /// 0 is the highest.
  uint32_t m_Rank = 0;
  /// Whose request it is; 0 if that is nobody's.
  uint64_t m_Organisation = 0;
  /// When it has to be sent at the latest to be in time.
  model::TimePoint m_LatestStart;
  /// Until when it is held once it can't be in time.
  model::TimePoint m_LateUntil;
  /// Time of an engine that it takes from the others.
  double m_CostMs = 0;
  /// It was refused before and came back: its turn of that time.
  double m_EarlierTurn = -1;

  friend auto operator<=>(const HeldRequest &, const HeldRequest &) = default;
};

/// Room at the engines of a lane.
struct HoldRoom {
  /// Until the best engine can start one more request.
  double m_WaitMs = 0;
  /// Time for which a request waits per millisecond of cost ahead of it: other
  /// nodes hold requests too, and several engines serve them.
  double m_DelayPerMs = 1;

  friend auto operator<=>(const HoldRoom &, const HoldRoom &) = default;
};

enum class HoldVerdict { InTime, Late, Refuse };

struct HoldDecision {
  HoldVerdict m_Verdict = HoldVerdict::InTime;
  /// Predicted wait, unless it can be in time.
  double m_WaitMs = 0;
  /// Its organisation's turn, by which it is ordered when it comes back.
  double m_Turn = 0;

  friend auto operator<=>(const HoldDecision &, const HoldDecision &) = default;
};

/// The requests held at this node, in the order in which they are offered to
/// engines, for loads of more than the engines can serve: patient requests of
/// high rank beside urgent ones of lower rank, and large organisations beside
/// small ones.
///
/// Requests that can be in time go first. A request that would make another
/// one late is served in time only if it has the higher rank, or the same rank
/// and its organisation the earlier turn (start-time fair queueing); the other
/// one then waits behind all that can be in time. Such late requests are
/// ordered by rank and turn and leave after a part of their callers' time.
class HoldQueue {
public:
  struct Entry {
    HeldRequest m_Request;
    double m_Turn = 0;
    bool m_IsLate = false;
    /// Used while a request is admitted.
    bool m_IsGivenUp = false;
  };

  /// Goes through the held requests in their order.
  class Iterator {
  public:
    Iterator(const std::vector<Entry> &Pool,
             std::vector<uint32_t>::const_iterator At)
        : m_Pool(&Pool), m_At(At) {}
    const Entry &operator*() const { return (*m_Pool)[*m_At]; }
    const Entry *operator->() const { return &**this; }
    Iterator &operator++() {
      ++m_At;
      return *this;
    }
    friend bool operator==(const Iterator &Left, const Iterator &Right) {
      return Left.m_At == Right.m_At;
    }

  private:
    const std::vector<Entry> *m_Pool;
    std::vector<uint32_t>::const_iterator m_At;
  };

  HoldQueue();

  /// Decides about a new request, or again about one that is held, and holds
  /// it unless it is refused.
  HoldDecision admit(const HeldRequest &Request, const HoldRoom &Room,
                     model::TimePoint Now);
  /// Holds a request whose wait was predicted otherwise.
  void hold(const HeldRequest &Request, model::TimePoint Now);
  void remove(model::RequestId Number, model::TimePoint Now);
  /// The request leaves for an engine.
  void onSent(model::RequestId Number, model::TimePoint Now);

  /// Share of what is held in a lane now that was held there on average over
  /// the last seconds, 1 at most. The mean of like nodes at one time is the
  /// mean of one of them over time, so this scales what is held here to what
  /// each of the other nodes holds.
  double averageShare(uint64_t Lane, model::TimePoint Now);

  /// Cost, and number, of the requests in its lane that go before it.
  double costAhead(const HeldRequest &Request) const;
  size_t countAhead(const HeldRequest &Request) const;
  bool isLate(model::RequestId Number) const;
  size_t size() const { return m_Order.size(); }
  bool empty() const { return m_Order.empty(); }
  const Entry &front() const { return entry(0); }
  Iterator begin() const { return {m_Pool, m_Order.begin()}; }
  Iterator end() const { return {m_Pool, m_Order.end()}; }

private:
  /// Cost of what is held in a lane, now and on average.
  struct LaneLoad {
    double m_CostMs = 0;
    double m_AverageMs = 0;
    model::TimePoint m_At;
  };

  static bool goesBefore(const Entry &Left, const Entry &Right);
  /// \p Entry is served in time at the cost of \p Other.
  static bool displaces(const Entry &Entry, const HoldQueue::Entry &Other);
  const Entry &entry(size_t Index) const { return m_Pool[m_Order[Index]]; }
  Entry &entry(size_t Index) { return m_Pool[m_Order[Index]]; }
  /// Null if it is not held.
  const Entry *find(model::RequestId Number) const;
  void erase(const Entry &Value);
  /// The entry of a request that may not be held.
  Entry entryOf(const HeldRequest &Request) const;
  LaneLoad &laneLoad(uint64_t Lane, model::TimePoint Now);
  void addLoad(const Entry &Value, double Sign, model::TimePoint Now);
  void insert(const Entry &Value);
  double turnOf(const HeldRequest &Request) const;
  void charge(const Entry &Value);
  void forgetIdleOrganisations();
  /// Whether \p Value can be in time at \p Index; marks the requests that it
  /// displaces as given up, and tells whether there are any.
  bool fitsInTime(const Entry &Value, size_t Index, const HoldRoom &Room,
                  model::TimePoint Now, bool &HasGivenUp);
  /// The last request to be served in time of those before \p End that
  /// \p Value displaces; null if there is none.
  Entry *weakestBefore(const Entry &Value, size_t End);
  void moveGivenUpBehind();
  /// Where \p Value stands or would stand.
  size_t indexOf(const Entry &Value) const;
  double waitMs(const Entry &Value, const HoldRoom &Room) const;

  /// Places of requests, which stay where they are; those that are free have
  /// the number 0.
  std::vector<Entry> m_Pool;
  std::vector<uint32_t> m_FreePlaces;
  /// The places of the held requests in their order.
  std::vector<uint32_t> m_Order;
  /// Reused by admit().
  std::vector<Entry> m_GivenUp;
  /// Turn of the request that was sent last, by rank.
  static constexpr size_t MaxRanks = 16;
  std::array<double, MaxRanks> m_Turns{};
  struct NextTurn {
    uint32_t m_Rank = 0;
    double m_Turn = 0;
  };
  /// Turn of an organisation's next request, by organisation and rank.
  std::unordered_map<uint64_t, NextTurn> m_NextTurns;
  std::unordered_map<uint64_t, LaneLoad> m_Lanes;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_HOLDQUEUE_H
