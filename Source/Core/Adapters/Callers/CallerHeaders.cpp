#include "Core/Adapters/Callers/CallerHeaders.h"

#include <algorithm>
#include <charconv>

namespace bronzepass::core::adapters::callers {

namespace {

constexpr size_t MaxKeyBytes = 255;
constexpr size_t MaxCallerBytes = 128;
/// Keeps the window within the range of model::Duration.
constexpr uint64_t MaxWindowCount = 1'000'000'000;
const char *const AnonymousCallerName = "anonymous";
constexpr std::string_view BearerScheme = "Bearer ";

void readWindow(const pistache::HttpRequest &Request,
                const WindowLimits &Windows, model::TimePoint Now,
                model::Request &Into, std::vector<std::string> &Errors) {
  model::Duration Window = Windows.m_Default;
  const std::string Text = Request.header("bronzepass-window");
  if (!Text.empty()) {
    const std::optional<model::Duration> Parsed = parseWindow(Text);
    if (!Parsed)
      Errors.push_back("Bronzepass-Window: '" + Text +
                       "' is no time such as 250ms or 2s");
    Window = Parsed.value_or(Window);
  }
  Into.m_Deadline = Now + std::min(Window, Windows.m_Max);
}

void readPriority(const pistache::HttpRequest &Request,
                  const routing::RoutingTable &Table, model::Request &Into,
                  std::vector<std::string> &Errors) {
  const model::CallerSpec *const Caller = Table.findCaller(Into.m_Caller);
  if (Caller != nullptr)
    Into.m_Priority = Caller->m_Priority;
  const std::string Text = Request.header("bronzepass-priority");
  if (Text == "batch")
    Into.m_Priority = model::Priority::Batch;
  else if (Text == "interactive")
    Into.m_Priority = model::Priority::Interactive;
  else if (!Text.empty())
    Errors.push_back("Bronzepass-Priority: '" + Text +
                     "' is neither interactive nor batch");
}

void readIdempotencyKey(const pistache::HttpRequest &Request,
                        model::Request &Into,
                        std::vector<std::string> &Errors) {
  const std::string Key = Request.header("idempotency-key");
  if (Key.size() > MaxKeyBytes)
    Errors.push_back("Idempotency-Key: longer than " +
                     std::to_string(MaxKeyBytes) + " bytes");
  else if (!Key.empty())
    Into.m_IdempotencyKey = Key;
}

} // namespace

std::optional<model::Duration> parseWindow(std::string_view Text) {
  uint64_t Count = 0;
  const std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Result.ec != std::errc() || Count == 0 || Count > MaxWindowCount)
    return std::nullopt;
  const std::string_view Unit(Result.ptr,
                              Text.data() + Text.size() - Result.ptr);
  if (Unit == "ms")
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  return std::nullopt;
}

model::CallerId callerOf(const pistache::HttpRequest &Request) {
  const std::string CallerHeader = Request.header("bronzepass-caller");
  if (!CallerHeader.empty())
    return model::CallerId(CallerHeader);
  const std::string Authorization = Request.header("authorization");
  if (Authorization.starts_with(BearerScheme) &&
      Authorization.size() > BearerScheme.size())
    return model::CallerId(Authorization.substr(BearerScheme.size()));
  return model::CallerId(AnonymousCallerName);
}

bool isForwarded(const pistache::HttpRequest &Request,
                 const routing::RoutingTable &Table) {
  if (Request.header("bronzepass-hop").empty())
    return false;
  return std::any_of(Table.nodes().begin(), Table.nodes().end(),
                     [&Request](const model::NodeInfo &Node) {
                       return Node.m_CallerAddress.m_Ip == Request.m_PeerIp ||
                              Node.m_PeerAddress.m_Ip == Request.m_PeerIp;
                     });
}

void readHeaders(const pistache::HttpRequest &Request,
                 const routing::RoutingTable &Table,
                 const WindowLimits &Windows, model::TimePoint Now,
                 model::Request &Into, std::vector<std::string> &Errors) {
  Into.m_Caller = callerOf(Request);
  if (Into.m_Caller.str().size() > MaxCallerBytes)
    Errors.push_back("Bronzepass-Caller: longer than " +
                     std::to_string(MaxCallerBytes) + " bytes");
  Into.m_Forwarded = isForwarded(Request, Table);
  readWindow(Request, Windows, Now, Into, Errors);
  readPriority(Request, Table, Into, Errors);
  readIdempotencyKey(Request, Into, Errors);
}

} // namespace bronzepass::core::adapters::callers
