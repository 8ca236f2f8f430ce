#include "Core/Adapters/Traffic/RelayedHead.h"

#include <algorithm>
#include <cstdlib>

namespace bronzepass::core::adapters::traffic {

namespace {

bool isRelayedHeader(const std::string &LowerName) {
  static const std::vector<std::string> Dropped = {
      "connection", "keep-alive",         "transfer-encoding", "content-length",
      "date",       "bronzepass-running", "bronzepass-waiting"};
  return std::find(Dropped.begin(), Dropped.end(), LowerName) == Dropped.end();
}

} // namespace

std::vector<pistache::HttpHeader>
relayedHeaders(const curl::TransferHead &Head) {
  std::vector<pistache::HttpHeader> Headers;
  for (const auto &Entry : Head.m_Headers)
    if (isRelayedHeader(Entry.first))
      Headers.push_back({Entry.first, Entry.second});
  return Headers;
}

std::optional<uint64_t> contentLength(const curl::TransferHead &Head) {
  const std::string Text = Head.header("content-length");
  if (Text.empty())
    return std::nullopt;
  return std::strtoull(Text.c_str(), nullptr, 10);
}

} // namespace bronzepass::core::adapters::traffic
