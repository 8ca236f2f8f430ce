#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_RECORDCODEC_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_RECORDCODEC_H

#include "Core/Ports/Store.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::codec {

/// Records of the object API as JSON text: one object with the record's fields
/// and "format", the number of the format it was written in. Fields that are
/// not known are passed over, so that two releases can share one object API.
/// Never throws; where nothing is returned, lastReason() says why.
class RecordCodec {
public:
  /// The record as text; nullopt past MaxRecordBytes.
  std::optional<std::string> encode(const ports::StoreRecord &Record);

  /// The record of kind \p Kind that \p Text holds. An IntentPart whose text
  /// does not have the hash that names it is refused.
  std::optional<ports::StoreRecord> decode(ports::ObjectKind Kind,
                                           std::string_view Text);

  /// Why the last call returned nothing; empty where it did not.
  const std::string &lastReason() const { return m_LastReason; }

private:
  std::string m_LastReason;
};

/// The kind of object that \p Record is kept in.
ports::ObjectKind kindOf(const ports::StoreRecord &Record);

/// "Lease", "IntentHead" and so on, for the object API's paths.
std::string_view toString(ports::ObjectKind Kind);

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_RECORDCODEC_H
