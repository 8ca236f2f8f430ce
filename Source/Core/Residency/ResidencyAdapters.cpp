#include "Core/Residency/ResidencyCore.h"

#include <algorithm>

namespace bronzepass::core::residency {

using gateway::EngineSpec;
using gateway::ModelRef;
using gateway::OrderVerb;

void ResidencyCore::serveAdapterRequests(model::TimePoint Now,
                                         ResidencyEffectList &Out) {
  if (!m_Lease || Now >= m_Lease->m_ValidUntil)
    return;
  for (const ModelRef &Use : m_Adapters.requested()) {
    const std::string &Service = m_AdapterServices[Use];
    const EngineSpec *const Spec = specOf(Service);
    if (!Spec)
      continue;
    const std::vector<const EngineRecord *> Engines = enginesOf(Service, Now);
    bool IsHeld = false;
    for (const EngineRecord *const Each : Engines) {
      if (!Each->holds(Use))
        continue;
      announce({Each->entry().m_Id, Use, false}, Now);
      IsHeld = true;
    }
    const bool IsLoading =
        std::any_of(Engines.begin(), Engines.end(), [&](const EngineRecord *E) {
          // An unanswered order may be carried out much later: the adapter is
          // also ordered elsewhere.
          return E->openOrder() && E->openOrder()->m_Order.m_ModelRef == Use &&
                 E->openOrder()->m_Order.m_Verb == OrderVerb::Load &&
                 E->openOrder()->m_Phase != OrderPhase::Unanswered;
        });
    if (IsHeld) {
      m_Adapters.removeRequest(Use);
      continue;
    }
    if (IsLoading)
      continue;
    std::vector<const EngineRecord *> Able = Engines;
    std::erase_if(Able, [&](const EngineRecord *E) {
      return Now < m_Engines.at(E->entry().m_Id).m_PausedUntil;
    });
    const std::optional<AdapterOrder> Next =
        m_Adapters.nextOrder(Use, *Spec, Able, Now);
    if (!Next)
      continue;
    Engine &Target = m_Engines.at(Next->m_Endpoint);
    if (Next->m_Verb == OrderVerb::Unload) {
      if (isRoomBeingMade(Service, Use))
        continue;
      Target.m_RoomFor[Next->m_ModelRef] = Use;
    }
    sendOrder(Target, Next->m_Verb, Next->m_ModelRef,
              "adapter " + Use.m_Model + "/" + Use.m_Adapter + " is wanted",
              Now, Out);
  }
}

bool ResidencyCore::isRoomBeingMade(const std::string &Service,
                                    const ModelRef &Adapter) const {
  for (const auto &Each : m_Engines) {
    const EngineRecord &Record = Each.second.m_Record;
    if (Record.entry().m_Service != Service || Record.entry().m_Draining)
      continue;
    const std::optional<OpenOrder> &Open = Record.openOrder();
    for (const auto &Room : Each.second.m_RoomFor)
      if (Room.second == Adapter &&
          (Record.isDropping(Room.first) ||
           (Open && Open->m_Order.m_ModelRef == Room.first)))
        return true;
  }
  return false;
}

} // namespace bronzepass::core::residency
