#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_CURLTRANSFER_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_CURLTRANSFER_H

#include "Core/Adapters/Curl/CurlMulti.h"

#include <cstddef>
#include <cstdint>
#include <curl/curl.h>
#include <memory>
#include <string>

namespace bronzepass::core::adapters::curl {

struct EasyDeleter {
  void operator()(CURL *Easy) const { curl_easy_cleanup(Easy); }
};
struct ListDeleter {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};

/// One transfer, with all data that libcurl keeps pointers to while it runs.
struct Transfer {
  uint64_t m_Id = 0;
  std::unique_ptr<CURL, EasyDeleter> m_Easy;
  std::unique_ptr<curl_slist, ListDeleter> m_HeaderList;
  TransferRequest m_Request;
  std::shared_ptr<TransferListener> m_Listener;
  TransferHead m_Head;
  bool m_Cancelled = false;
  bool m_HeadReceived = false;
  /// Of all header lines so far.
  size_t m_HeaderBytes = 0;
  size_t m_HeaderLines = 0;
  /// At most, of a header line whose end has not been received; libcurl holds
  /// it.
  size_t m_PartialLineBytes = 0;
  /// Why a callback ended the transfer; empty if none did.
  std::string m_AbortReason;
  /// libcurl had a connection ready and was about to send the request.
  bool m_SendStarted = false;
  /// That it waits for; -1 if none.
  curl_socket_t m_Socket = -1;
};

/// What the header lines of \p Running take, at most.
uint64_t headBytes(const Transfer &Running);

/// Callbacks of libcurl for one transfer, which \p User points to.
int onBeforeSend(void *User, char *Ip, char *LocalIp, int Port, int LocalPort);
int onSocketCreated(void *User, curl_socket_t Socket, curlsocktype Purpose);
size_t onHeaderLine(char *Data, size_t Size, size_t Count, void *User);
size_t onBody(char *Data, size_t Size, size_t Count, void *User);

/// \p Code: with which libcurl ended the transfer.
TransferResult makeResult(const Transfer &Ended, CURLcode Code);

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_CURLTRANSFER_H
