#ifndef BRONZEPASS_CORE_MODEL_RECENTEVENTS_H
#define BRONZEPASS_CORE_MODEL_RECENTEVENTS_H

#include "Core/Model/Time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace bronzepass::core::model {

/// When something last happened to each of many keys, within a lifetime.
template <typename KeyT> class RecentEvents {
public:
  explicit RecentEvents(Duration Lifetime) : m_Lifetime(Lifetime) {}

  void record(const KeyT &Key, TimePoint Now) { m_Times[Key] = Now; }

  /// nullopt if it did not happen within the lifetime before \p Now.
  std::optional<TimePoint> find(const KeyT &Key, TimePoint Now) const {
    const auto Found = m_Times.find(Key);
    if (Found == m_Times.end() || Now - Found->second >= m_Lifetime)
      return std::nullopt;
    return Found->second;
  }

  /// Frees what find() would not return any more.
  void forgetOld(TimePoint Now) {
    std::erase_if(m_Times, [&](const auto &Entry) {
      return Now - Entry.second >= m_Lifetime;
    });
  }

  size_t size() const { return m_Times.size(); }

private:
  const Duration m_Lifetime;
  std::map<KeyT, TimePoint> m_Times;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_RECENTEVENTS_H
