#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_FORWARDINGHEADERS_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_FORWARDINGHEADERS_H

#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Id.h"

#include <compare>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::gateway {

/// The endpoint whose answer a node passes on to the one that forwarded the
/// request.
struct AnsweringEndpoint {
  model::EndpointId m_Endpoint;
  std::string m_SoftwareVersion;

  friend auto operator<=>(const AnsweringEndpoint &,
                          const AnsweringEndpoint &) = default;
};

/// Removes the headers that nodes add to the requests and answers that they
/// pass to each other, wherever they came from.
void removeForwardingHeaders(core::gateway::HeaderLines &Headers);

/// Adds what \p Terms say to the headers of a request.
void addTerms(const core::gateway::ForwardingTerms &Terms,
              core::gateway::HeaderLines &Headers);
/// Reads the terms from the headers of a forwarded request; nullopt and
/// \p Reason if they are incomplete or can't be read.
std::optional<core::gateway::ForwardingTerms>
readTerms(const core::gateway::HeaderLines &Headers, std::string &Reason);

void addAnsweringEndpoint(const AnsweringEndpoint &Endpoint,
                          core::gateway::HeaderLines &Headers);
/// nullopt for an answer of the other node's own.
std::optional<AnsweringEndpoint>
readAnsweringEndpoint(const core::gateway::HeaderLines &Headers);

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_FORWARDINGHEADERS_H
