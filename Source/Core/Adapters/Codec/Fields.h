#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDS_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDS_H

namespace bronzepass::core::adapters::codec {

/// Names the fields of one type for writing and reading alike: a
/// specialisation has `template <V, T> static void visit(V &Visitor, T &Value)`
/// that calls the visitor once for each field. A field added later is
/// `optional`, so that records and messages of the release before still read.
template <typename T> struct Fields;

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDS_H
