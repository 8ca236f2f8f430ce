#ifndef BRONZEPASS_CORE_INTENTSTORE_STORESESSION_H
#define BRONZEPASS_CORE_INTENTSTORE_STORESESSION_H

#include "Core/Ports/Store.h"

namespace bronzepass::core::intent_store {

/// Synchronous access to the object API, one call at a time, for commands.
class StoreSession {
public:
  virtual ~StoreSession() = default;
  /// Makes the call and waits for its answer.
  virtual ports::StoreAnswer call(ports::StoreCall Call) = 0;
  /// Waits before the next try; returns false once the time limit for all tries
  /// has passed.
  virtual bool backOff() = 0;
};

} // namespace bronzepass::core::intent_store

#endif // BRONZEPASS_CORE_INTENTSTORE_STORESESSION_H
