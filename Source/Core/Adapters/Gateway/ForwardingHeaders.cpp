#include "Core/Adapters/Gateway/ForwardingHeaders.h"

#include "Core/Model/HeaderName.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace bronzepass::core::adapters::gateway {

using core::gateway::ForwardingTerms;
using core::gateway::HeaderLine;
using core::gateway::HeaderLines;

namespace {

// Of a request.
constexpr const char *ConfigHeader = "Bronzepass-Config";
constexpr const char *RunsHeader = "Bronzepass-Runs";
constexpr const char *StreamVersionHeader = "Bronzepass-Stream-Version";
/// Empty for a request that is nobody's.
constexpr const char *OrganisationHeader = "Bronzepass-Organisation";
/// Only there if the stream has begun.
constexpr const char *BegunHeader = "Bronzepass-Begun";
constexpr const char *BegunValue = "1";
// Of an answer.
constexpr const char *EndpointHeader = "Bronzepass-Endpoint";
constexpr const char *EndpointVersionHeader = "Bronzepass-Endpoint-Version";
constexpr std::array<const char *, 7> AllHeaders = {
    ConfigHeader, RunsHeader,     StreamVersionHeader,  OrganisationHeader,
    BegunHeader,  EndpointHeader, EndpointVersionHeader};

std::optional<std::string> find(const HeaderLines &Headers, const char *Name) {
  for (const HeaderLine &Each : Headers)
    if (model::isSameHeader(Each.first, Name))
      return Each.second;
  return std::nullopt;
}

template <typename NumberT>
std::optional<NumberT> readNumber(const HeaderLines &Headers, const char *Name,
                                  std::string &Reason) {
  const std::optional<std::string> Text = find(Headers, Name);
  NumberT Value = 0;
  if (Text) {
    const char *const End = Text->data() + Text->size();
    const std::from_chars_result Read =
        std::from_chars(Text->data(), End, Value);
    if (Read.ec == std::errc() && Read.ptr == End && !Text->empty())
      return Value;
  }
  Reason = std::string(Name) + (Text ? " is not a number" : " is missing");
  return std::nullopt;
}

} // namespace

void removeForwardingHeaders(HeaderLines &Headers) {
  std::erase_if(Headers, [](const HeaderLine &Line) {
    return std::any_of(AllHeaders.begin(), AllHeaders.end(),
                       [&](const char *Name) {
                         return model::isSameHeader(Line.first, Name);
                       });
  });
}

void addTerms(const ForwardingTerms &Terms, HeaderLines &Headers) {
  Headers.emplace_back(ConfigHeader, std::to_string(Terms.m_ConfigVersion));
  Headers.emplace_back(RunsHeader, std::to_string(Terms.m_RunsLeft));
  if (Terms.m_RequiredVersion)
    Headers.emplace_back(StreamVersionHeader, *Terms.m_RequiredVersion);
  if (Terms.m_Organisation)
    Headers.emplace_back(OrganisationHeader, *Terms.m_Organisation);
  if (Terms.m_HasBegun)
    Headers.emplace_back(BegunHeader, BegunValue);
}

std::optional<ForwardingTerms> readTerms(const HeaderLines &Headers,
                                         std::string &Reason) {
  const std::optional<uint64_t> Config =
      readNumber<uint64_t>(Headers, ConfigHeader, Reason);
  const std::optional<uint32_t> Runs =
      Config ? readNumber<uint32_t>(Headers, RunsHeader, Reason) : std::nullopt;
  if (!Runs)
    return std::nullopt;
  return ForwardingTerms{*Config, *Runs, find(Headers, StreamVersionHeader),
                         find(Headers, OrganisationHeader),
                         find(Headers, BegunHeader) == BegunValue};
}

void addAnsweringEndpoint(const AnsweringEndpoint &Endpoint,
                          HeaderLines &Headers) {
  Headers.emplace_back(EndpointHeader, Endpoint.m_Endpoint.str());
  Headers.emplace_back(EndpointVersionHeader, Endpoint.m_SoftwareVersion);
}

std::optional<AnsweringEndpoint>
readAnsweringEndpoint(const HeaderLines &Headers) {
  const std::optional<std::string> Endpoint = find(Headers, EndpointHeader);
  if (!Endpoint)
    return std::nullopt;
  return AnsweringEndpoint{model::EndpointId(*Endpoint),
                           find(Headers, EndpointVersionHeader).value_or("")};
}

} // namespace bronzepass::core::adapters::gateway
