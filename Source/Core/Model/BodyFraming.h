#ifndef BRONZEPASS_CORE_MODEL_BODYFRAMING_H
#define BRONZEPASS_CORE_MODEL_BODYFRAMING_H

namespace bronzepass::core::model {

/// How the end of an HTTP answer's body is marked.
enum class BodyFraming {
  /// By its Content-Length, or by a status or method that allows no body.
  Length,
  /// By the last chunk.
  Chunked,
  /// By the end of the connection.
  Connection,
};

inline const char *toString(BodyFraming Value) {
  switch (Value) {
  case BodyFraming::Length:
    return "length";
  case BodyFraming::Chunked:
    return "chunked";
  case BodyFraming::Connection:
    return "connection";
  }
  return "";
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_BODYFRAMING_H
