#include "Core/Adapters/Gateway/StreamRecorder.h"

#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr const char *RecorderDuty = "stream-recorder";
constexpr model::Duration ListTimeout = std::chrono::milliseconds(600);
constexpr model::Duration WriteTimeout = std::chrono::milliseconds(1500);

const char *toString(gateway::WriteResult Result) {
  switch (Result) {
  case gateway::WriteResult::Done:
    return "done";
  case gateway::WriteResult::AlreadyExists:
    return "the slot exists";
  case gateway::WriteResult::NotFound:
    return "the slot is gone";
  case gateway::WriteResult::Failed:
    return "failed";
  }
  return "failed";
}

} // namespace

StreamRecorder::StreamRecorder(model::NodeId Self,
                               const gateway::Dialect &Dialect,
                               StoreClient &Store, const ports::Clock &Clock,
                               GatewayLog &Log, StreamRecorderEvents &Events)
    : m_Dialect(Dialect), m_Store(Store), m_Clock(Clock), m_Log(Log),
      m_Events(Events), m_Candidates(std::move(Self), RecorderDuty) {}

void StreamRecorder::tick() {
  const std::optional<gateway::StreamRecordCall> Call =
      m_Keeper.nextCall(m_Clock.now());
  if (!Call)
    return;
  const bool IsList = Call->m_Verb == gateway::StreamRecordCall::Verb::List;
  m_Store.call(m_Dialect.streamRecordCall(*Call),
               IsList ? ListTimeout : WriteTimeout, false,
               [this, Call = *Call, IsList](const gateway::HttpResult &Result) {
                 if (IsList)
                   onListAnswer(Result);
                 else
                   onWriteAnswer(Call, Result);
               });
}

void StreamRecorder::onListAnswer(const gateway::HttpResult &Result) {
  const gateway::FeedAnswer Answer = m_Dialect.readFeed({}, Result);
  if (Answer.m_Status != gateway::FeedStatus::Ok) {
    m_Log.write("streams", "record_unread", {{"reason", Answer.m_Reason}});
    m_Keeper.onListFailed(m_Clock.now());
    return;
  }
  std::vector<std::string> Names;
  std::vector<gateway::StreamNotice> Records;
  for (const gateway::FeedObject &Each : Answer.m_Objects) {
    Names.push_back(Each.m_Name);
    gateway::Decoded<gateway::StreamNotice> Parsed =
        m_Dialect.readStreamRecord(Each.m_Name, Each.m_Content);
    m_Log.writeFindings("streams", Each.m_Name, Parsed.m_Findings);
    if (Parsed.m_Value)
      Records.push_back(std::move(*Parsed.m_Value));
  }
  const std::optional<gateway::StreamNotice> All =
      m_Keeper.onListed(Names, Records, Answer.m_HasMore);
  if (!All)
    return;
  m_Log.write(
      "streams", "record_read",
      {{"origins", static_cast<int64_t>(All->m_Origins.size())},
       {"mixed_services", static_cast<int64_t>(All->m_MixedServices.size())},
       {"revision", static_cast<int64_t>(Answer.m_Revision)}});
  m_Events.onStreamRecordRead(*All);
}

void StreamRecorder::onWriteAnswer(const gateway::StreamRecordCall &Call,
                                   const gateway::HttpResult &Result) {
  const gateway::WriteResult Written = m_Dialect.readWrite(Result);
  const bool IsRemoval = Call.m_Verb == gateway::StreamRecordCall::Verb::Remove;
  m_Log.write(
      "streams", IsRemoval ? "record_removed" : "record_written",
      {{"slot", Call.m_Name},
       {"origins", static_cast<int64_t>(Call.m_Record.m_Origins.size())},
       {"status", static_cast<int64_t>(Result.m_Status)},
       {"reason", toString(Written)}});
  m_Keeper.onWritten(Call, Written, m_Clock.now());
}

void StreamRecorder::setNodes(const std::vector<gateway::NodeEntry> &Nodes) {
  m_Candidates.setRegistered(Nodes);
}

void StreamRecorder::onLivePeers(const gateway::LivePeers &Peers) {
  m_Candidates.setHeard(Peers);
  updateSlot();
}

void StreamRecorder::updateSlot() {
  const uint32_t Rank = m_Candidates.rank();
  const std::optional<uint32_t> Slot =
      Rank < gateway::StreamRecordSlots ? std::optional(Rank) : std::nullopt;
  if (m_IsSlotDecided && Slot == m_Slot)
    return;
  m_IsSlotDecided = true;
  m_Slot = Slot;
  m_Log.write(
      "streams", "record_slot",
      {{"slot", Slot ? std::to_string(*Slot) : "none"},
       {"rank", static_cast<int64_t>(Rank)},
       {"unheard", static_cast<int64_t>(m_Candidates.unheardBefore())},
       {"registered", static_cast<int64_t>(m_Candidates.registered())}});
  m_Keeper.setSlot(Slot);
  m_Events.onStreamRecordSlot(Slot);
}

} // namespace bronzepass::core::adapters::gateway
