#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDS_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDS_H

namespace bronzepass::core::adapters::codec {

/// Lists the fields of one type, for both writing and reading. A
/// specialisation has `template <V, T> static void visit(V &Visitor, T &Value)`
/// that calls the visitor once for each field. A field added later is
/// `optional`, so that records and messages of the previous release can still
/// be read.
template <typename T> struct Fields;

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDS_H
