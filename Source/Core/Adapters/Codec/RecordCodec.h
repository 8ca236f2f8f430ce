#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_RECORDCODEC_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_RECORDCODEC_H

#include "Core/Ports/Store.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::codec {

/// Encodes and decodes records of the object API as JSON text: one object with
/// the record's fields and "format", the number of its format. Ignores unknown
/// fields, so that two releases can share one object API.
/// Never throws: on failure returns nullopt and lastReason() says why.
class RecordCodec {
public:
  /// The record as text; nullopt if larger than MaxRecordBytes.
  std::optional<std::string> encode(const ports::StoreRecord &Record);

  /// Decodes a record of kind \p Kind from \p Text. Rejects an IntentPart whose
  /// text does not match its hash.
  std::optional<ports::StoreRecord> decode(ports::ObjectKind Kind,
                                           std::string_view Text);

  /// Why the last call returned nullopt; empty if it succeeded.
  const std::string &lastReason() const { return m_LastReason; }

private:
  std::string m_LastReason;
};

/// The kind of object that stores \p Record.
ports::ObjectKind kindOf(const ports::StoreRecord &Record);

/// "Lease", "IntentHead" and so on, for the object API's paths.
std::string_view toString(ports::ObjectKind Kind);

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_RECORDCODEC_H
