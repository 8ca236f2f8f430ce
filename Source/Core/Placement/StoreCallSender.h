#ifndef BRONZEPASS_CORE_PLACEMENT_STORECALLSENDER_H
#define BRONZEPASS_CORE_PLACEMENT_STORECALLSENDER_H

#include "Core/Ports/Store.h"

#include <functional>

namespace bronzepass::core::placement {

/// Assigns an id to a call to the object API (its m_Id is unset), submits the
/// call and returns the id. The answer arrives at PlacementCore::storeAnswered.
using StoreCallSender = std::function<model::CallId(ports::StoreCall)>;

} // namespace bronzepass::core::placement

#endif // BRONZEPASS_CORE_PLACEMENT_STORECALLSENDER_H
