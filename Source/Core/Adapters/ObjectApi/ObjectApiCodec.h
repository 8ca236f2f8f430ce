#ifndef BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICODEC_H
#define BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICODEC_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/ObjectApi/ObjectApiSettings.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Store.h"

#include <optional>
#include <string>

namespace bronzepass::core::adapters::object_api {

/// The HTTP request for \p Call; nullopt if its record is too large or missing.
std::optional<curl::TransferRequest>
makeTransfer(const ports::StoreCall &Call, const ObjectApiSettings &Settings);

/// Decodes the response to \p Call; \p Status is 0 if none was received. An
/// unreadable response to a successful call has the status Unknown.
ports::StoreAnswer readAnswer(const ports::StoreCall &Call, int Status,
                              const std::string &Body,
                              const curl::TransferResult &Result);

/// Decodes the complete lines of a watch response received so far; nullopt if
/// there is no complete line yet.
std::optional<ports::StoreAnswer> readWatchLines(const ports::StoreCall &Call,
                                                 const std::string &Body);

/// The request for the platform's VM list, and the decoder of its response.
curl::TransferRequest makeVmListTransfer(const ObjectApiSettings &Settings);
std::optional<ports::VmListReceived> readVmList(const std::string &Body);

} // namespace bronzepass::core::adapters::object_api

#endif // BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTAPICODEC_H
