#ifndef BRONZEPASS_CORE_PLACEMENT_STORECALLSENDER_H
#define BRONZEPASS_CORE_PLACEMENT_STORECALLSENDER_H

#include "Core/Ports/Store.h"

#include <functional>

namespace bronzepass::core::placement {

/// Takes a call to the object API (its m_Id unset), allots its id and passes it
/// on. The answer comes back through PlacementCore::storeAnswered.
using StoreCallSender = std::function<model::CallId(ports::StoreCall)>;

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_STORECALLSENDER_H
