#ifndef BRONZEPASS_CORE_PORTS_STORE_H
#define BRONZEPASS_CORE_PORTS_STORE_H

#include "Core/Model/Claim.h"
#include "Core/Model/Id.h"
#include "Core/Model/IntentDocument.h"
#include "Core/Model/Lease.h"
#include "Core/Model/Ledger.h"
#include "Core/Model/Time.h"

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzepass::core::ports {

/// The kinds of object that the system keeps in the platform's object API.
enum class ObjectKind { IntentHead, IntentPart, Lease, Ledger, ClaimShard };

struct ObjectKey {
  ObjectKind m_Kind = ObjectKind::Lease;
  /// Lower-case letters, digits, '-' and '.'; unique within its kind.
  std::string m_Name;

  friend auto operator<=>(const ObjectKey &, const ObjectKey &) = default;
};

using StoreRecord =
    std::variant<model::IntentHead, model::IntentPart, model::LeaseRecord,
                 model::EngineLedger, model::ClaimShardRecord>;

/// A record with its version in the object API.
struct StoredObject {
  ObjectKey m_Key;
  model::ObjectVersion m_Version;
  StoreRecord m_Record;

  friend auto operator<=>(const StoredObject &, const StoredObject &) = default;
};

enum class StoreVerb {
  Get,
  /// All objects of m_Key.m_Kind; m_Key.m_Name is a prefix.
  List,
  /// Fails with Conflict where the object exists.
  Create,
  /// Fails with Conflict unless the object's version is m_Expected.
  Update,
  /// As Update.
  Delete,
  /// Waits until an object of the kind is newer than m_Expected, or until the
  /// timeout; counts as one call while it waits.
  Watch,
};

/// Which calls go first when the object API is slow, most urgent first.
enum class StorePriority { Lease, Claim, Ledger, Intent, Status };

struct StoreCall {
  model::CallId m_Id;
  StoreVerb m_Verb = StoreVerb::Get;
  ObjectKey m_Key;
  model::ObjectVersion m_Expected;
  /// The store's era in which m_Expected was read; nullopt if unknown. The call
  /// is not sent in a later era, in which another write may have that version.
  std::optional<model::StoreEra> m_ExpectedEra;
  std::optional<StoreRecord> m_Record;
  StorePriority m_Priority = StorePriority::Status;
  model::Duration m_Timeout{0};

  friend auto operator<=>(const StoreCall &, const StoreCall &) = default;
};

enum class StoreStatus {
  Ok,
  /// Another write was first; nothing changed.
  Conflict,
  NotFound,
  /// The object API refused it as malformed, too large or too many.
  Rejected,
  /// No byte was sent; nothing changed.
  NotSent,
  /// Sent but not answered: a write may have taken effect, or may yet.
  Unknown,
};

struct StoreAnswer {
  model::CallId m_Id;
  StoreStatus m_Status = StoreStatus::Unknown;
  /// Get, Create and Update: the object. List and Watch: those found.
  std::vector<StoredObject> m_Objects;
  /// List and Watch: the version to watch from next.
  model::ObjectVersion m_ListVersion;

  friend auto operator<=>(const StoreAnswer &, const StoreAnswer &) = default;
};

/// The platform's object API. Answers arrive as events.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;
  virtual void submit(const StoreCall &Call) = 0;
};

} // namespace bronzepass::core::ports

#endif // BRONZEPASS_CORE_PORTS_STORE_H
