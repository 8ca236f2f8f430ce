#include "Core/Adapters/Gateway/GatewayTraffic.h"

#include "Core/Gateway/StreamRecordKeeper.h"

#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// Within the time for which the origin of a stream is told, twice.
constexpr model::Duration StreamNoticePeriod = std::chrono::milliseconds(400);

} // namespace

/// Tells the peers that are not told of loads where streams began, since their
/// callers may take any of them up.
void GatewayTraffic::sendStreamNotice(gateway::StreamNotice Streams) {
  const model::TimePoint Now = m_Clock.now();
  if (Streams.isEmpty() || Now < m_StreamNoticeSentAt + StreamNoticePeriod)
    return;
  m_StreamNoticeSentAt = Now;
  gateway::PeerNotice Notice;
  Notice.m_Streams = std::move(Streams);
  sendNotice(std::move(Notice), m_Peers.takeOthers(true, Now));
}

void GatewayTraffic::reportStreamRecord() {
  const model::TimePoint Now = m_Clock.now();
  // A record without what was recorded before would replace it.
  if (!m_StreamRecordSlot || m_Core.streamOrigins().awaitsRecord(Now))
    return;
  const bool IsMixed = m_Core.streamOrigins().isAnyMixed(Now);
  if (!IsMixed && !m_RecordsStreams)
    return;
  // Nodes learn of a second version at about the same time. They write in turn,
  // so that the newest record is never old.
  if (!m_RecordsStreams)
    m_StreamRecordAt = Now + gateway::StreamRecordPeriod * *m_StreamRecordSlot /
                                 gateway::StreamRecordSlots;
  m_RecordsStreams = true;
  if (Now < m_StreamRecordAt)
    return;
  m_StreamRecordAt = Now + gateway::StreamRecordPeriod;
  m_RecordsStreams = IsMixed;
  m_Events.onStreamRecord(m_Core.streamOrigins().record(Now));
}

void GatewayTraffic::restoreStreams(gateway::StreamNotice Record) {
  m_Thread.loop().post([this, Record = std::move(Record)] {
    m_Core.streamOrigins().restore(Record, m_Clock.now());
  });
}

void GatewayTraffic::setStreamRecordSlot(std::optional<uint32_t> Slot) {
  m_Thread.loop().post([this, Slot] {
    m_StreamRecordSlot = Slot;
    m_RecordsStreams = false;
  });
}

} // namespace bronzepass::core::adapters::gateway
