#ifndef BRONZEPASS_CORE_GATEWAY_STREAMRECORDKEEPER_H
#define BRONZEPASS_CORE_GATEWAY_STREAMRECORDKEEPER_H

#include "Core/Gateway/StreamNotice.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// Nodes that record streams; each writes all that it knows into a slot of its
/// own, so that the loss of some loses nothing.
inline constexpr uint32_t StreamRecordSlots = 3;
/// How often a slot is written while versions are mixed.
inline constexpr model::Duration StreamRecordPeriod = std::chrono::seconds(1);

/// A call to the store on the recorded origins of streams.
struct StreamRecordCall {
  enum class Verb { List, Create, Replace, Remove };

  Verb m_Verb = Verb::List;
  /// List: start after this name.
  std::string m_After;
  /// Otherwise: the slot's object.
  std::string m_Name;
  StreamNotice m_Record;

  friend auto operator<=>(const StreamRecordCall &,
                          const StreamRecordCall &) = default;
};

/// What became of a call that changes an object.
enum class WriteResult { Done, AlreadyExists, NotFound, Failed };

/// Reads, when a node starts, what nodes have recorded of streams' origins; and
/// keeps this node's slot up to date if it has one. Has one call in flight at a
/// time.
class StreamRecordKeeper {
public:
  /// Takes the slot that this node writes; nullopt if it writes none.
  void setSlot(std::optional<uint32_t> Slot) { m_Slot = Slot; }
  /// What is to stand in the slot from now on; if it is empty, what was
  /// recorded is removed.
  void setRecord(StreamNotice Record) { m_Record = std::move(Record); }
  /// The store may have lost what was written.
  void onStoreRestored() { m_Written.reset(); }

  /// The call to make now, if one is due.
  std::optional<StreamRecordCall> nextCall(model::TimePoint Now);
  /// One page of the list was read: \p Names stand in the store, with
  /// \p Records in them. Returns all that was recorded after the last page.
  std::optional<StreamNotice> onListed(const std::vector<std::string> &Names,
                                       const std::vector<StreamNotice> &Records,
                                       bool HasMore);
  void onListFailed(model::TimePoint Now);
  void onWritten(const StreamRecordCall &Call, WriteResult Result,
                 model::TimePoint Now);

private:
  bool isNews(const StreamNotice &Record) const;

  std::optional<uint32_t> m_Slot;
  bool m_HasListed = false;
  bool m_CallOpen = false;
  model::TimePoint m_NextCallAt;
  std::string m_After;
  StreamNotice m_Listed;
  /// Not yet compared with what is written.
  std::optional<StreamNotice> m_Record;
  std::optional<StreamNotice> m_Written;
  /// Objects that are in the store, as far as this node knows.
  std::set<std::string> m_Existing;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_STREAMRECORDKEEPER_H
