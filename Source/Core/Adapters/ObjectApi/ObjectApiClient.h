#ifndef BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICLIENT_H
#define BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICLIENT_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Adapters/ObjectApi/ObjectApiSettings.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

namespace bronzepass::core::adapters::object_api {

/// The object API and the list of VMs over HTTP. Calls may come from any
/// thread; the transfers run on the loop's, and their answers go to the sink.
/// Every call is answered once: by what the object API said, or, where nothing
/// came, by whether a byte of it had left.
class ObjectApiClient : public ports::ObjectStore, public ports::VmList {
public:
  /// \p Loop and \p Sink outlive it; destroy it once the loop has stopped.
  ObjectApiClient(net::EventLoop &Loop, ObjectApiSettings Settings,
                  ports::EventSink &Sink);

  void submit(const ports::StoreCall &Call) override;
  void refresh() override;

private:
  /// Waiting watches and calls at once; connections are kept for use again.
  static constexpr long MaxIdleConnections = 16;

  net::EventLoop &m_Loop;
  const ObjectApiSettings m_Settings;
  ports::EventSink &m_Sink;
  curl::CurlMulti m_Curl;
};

} // namespace bronzepass::core::adapters::object_api

#endif // BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICLIENT_H
