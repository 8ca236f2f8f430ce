#ifndef BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTEXCHANGE_H
#define BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTEXCHANGE_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/ObjectApi/ObjectApiSettings.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Store.h"

#include <optional>
#include <string>

namespace bronzepass::core::adapters::object_api {

/// The HTTP request of \p Call; nothing where its record is too large or it
/// lacks one.
std::optional<curl::TransferRequest>
makeTransfer(const ports::StoreCall &Call, const ObjectApiSettings &Settings);

/// What the answer with \p Status (0: none came) and \p Body means for
/// \p Call. An answer that can't be read counts as none.
ports::StoreAnswer readAnswer(const ports::StoreCall &Call, int Status,
                              const std::string &Body,
                              const curl::TransferResult &Result);

/// What the whole lines of a watch's answer so far tell; nothing where there is
/// no whole line yet.
std::optional<ports::StoreAnswer> readWatchLines(const ports::StoreCall &Call,
                                                 const std::string &Body);

/// The request for the platform's list of VMs, and what its answer says.
curl::TransferRequest makeVmListTransfer(const ObjectApiSettings &Settings);
std::optional<ports::VmListReceived> readVmList(const std::string &Body);

} // namespace bronzepass::core::adapters::object_api

#endif // BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_OBJECTEXCHANGE_H
