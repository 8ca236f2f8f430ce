#ifndef BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICLIENT_H
#define BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICLIENT_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Adapters/ObjectApi/ObjectApiSettings.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

namespace bronzepass::core::adapters::object_api {

/// HTTP client of the object API and the platform's VM list. Callable from any
/// thread; transfers run on the loop's thread, and answers go to the sink.
/// Every store call is answered once: with the response of the object API or,
/// without a response, with a status that says whether any byte was sent.
class ObjectApiClient : public ports::ObjectStore, public ports::VmList {
public:
  /// \p Loop and \p Sink must outlive it; destroy it after the loop has
  /// stopped.
  ObjectApiClient(net::EventLoop &Loop, ObjectApiSettings Settings,
                  ports::EventSink &Sink);

  void submit(const ports::StoreCall &Call) override;
  void refresh() override;

private:
  /// Enough to reuse the connections of concurrent watches and calls.
  static constexpr long MaxIdleConnections = 16;

  net::EventLoop &m_Loop;
  const ObjectApiSettings m_Settings;
  ports::EventSink &m_Sink;
  curl::CurlMulti m_Curl;
};

} // namespace bronzepass::core::adapters::object_api

#endif // BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICLIENT_H
