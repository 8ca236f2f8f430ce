#ifndef BRONZEPASS_CORE_INTENTSTORE_STORESESSION_H
#define BRONZEPASS_CORE_INTENTSTORE_STORESESSION_H

#include "Core/Ports/Store.h"

namespace bronzepass::core::intent_store {

/// The object API one call at a time, as an operator's command uses it.
class StoreSession {
public:
  virtual ~StoreSession() = default;
  /// Makes the call and waits for its answer.
  virtual ports::StoreAnswer call(ports::StoreCall Call) = 0;
  /// Waits before another try; false once the time for all tries is up.
  virtual bool backOff() = 0;
};

} // namespace bronzepass::core::intent_store

#endif // BRONZEPASS_CORE_INTENTSTORE_STORESESSION_H
