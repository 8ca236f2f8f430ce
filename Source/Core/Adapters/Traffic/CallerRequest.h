#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_CALLERREQUEST_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_CALLERREQUEST_H

#include "Core/Adapters/Pistache/HttpResponseWriter.h"
#include "Core/Model/Request.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bronzepass::core::adapters::traffic {

/// A caller's request, with everything that is sent to an endpoint.
struct CallerRequest {
  /// Its m_Id is assigned by TrafficDriver.
  model::Request m_Request;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  std::string m_Method;
  /// Path and query as the caller sent them; used to forward the request to
  /// another node.
  std::string m_Path;
  /// Path and query sent to an endpoint; for a plain service without its pool's
  /// path prefix.
  std::string m_EndpointPath;
  std::string m_ContentType;
  /// For a model request: its JSON text without the "model" member. For a
  /// plain service: the unchanged body.
  std::string m_Body;
  std::shared_ptr<pistache::HttpResponseWriter> m_Answer;
};

/// Inserts the "model" member at the front of CallerRequest::m_Body.
std::string bodyForModel(const std::string &Model,
                         const std::string &BodyWithoutModel);

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_CALLERREQUEST_H
