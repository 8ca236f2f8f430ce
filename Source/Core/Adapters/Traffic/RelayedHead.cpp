#include "Core/Adapters/Traffic/RelayedHead.h"

#include <algorithm>

namespace bronzepass::core::adapters::traffic {

namespace {

bool isRelayedHeader(const std::string &LowerName) {
  static const std::vector<std::string> Dropped = {"connection",
                                                   "keep-alive",
                                                   "transfer-encoding",
                                                   "content-length",
                                                   "date",
                                                   "bronzepass-running",
                                                   "bronzepass-waiting",
                                                   "bronzepass-attempt"};
  return std::find(Dropped.begin(), Dropped.end(), LowerName) == Dropped.end();
}

} // namespace

std::vector<pistache::HttpHeader>
relayedHeaders(const curl::TransferHead &Head) {
  std::vector<pistache::HttpHeader> Headers;
  for (const auto &[Name, Value] : Head.headers())
    if (isRelayedHeader(Name))
      Headers.push_back({Name, Value});
  return Headers;
}

bool isEventStream(const curl::TransferHead &Head) {
  return Head.header("content-type").rfind("text/event-stream", 0) == 0;
}

std::optional<uint64_t> relayedLength(const curl::TransferHead &Head) {
  if (isEventStream(Head))
    return std::nullopt;
  return Head.m_BodyFormat.m_Length;
}

} // namespace bronzepass::core::adapters::traffic
