#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_CALLERREQUEST_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_CALLERREQUEST_H

#include "Core/Adapters/Pistache/HttpResponseWriter.h"
#include "Core/Model/Request.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bronzepass::core::adapters::traffic {

/// A caller's request with all that an endpoint is to get of it.
struct CallerRequest {
  /// The driver numbers it.
  model::Request m_Request;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  std::string m_Method;
  /// As the caller asked for it, with the query; a node one hop on gets it.
  std::string m_Path;
  /// What an endpoint gets: for a plain service without its pool's prefix.
  std::string m_EndpointPath;
  std::string m_ContentType;
  /// For a model request: its JSON text without the "model" member. For a
  /// plain service: the body as it came.
  std::string m_Body;
  std::shared_ptr<pistache::HttpResponseWriter> m_Answer;
};

/// Puts the "model" member back in front of CallerRequest::m_Body.
std::string bodyForModel(const std::string &Model,
                         const std::string &BodyWithoutModel);

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_CALLERREQUEST_H
