#ifndef BRONZEPASS_UNITTESTS_SOAK_ANSWERJUDGE_H
#define BRONZEPASS_UNITTESTS_SOAK_ANSWERJUDGE_H

#include "UnitTests/Soak/CallerConnection.h"
#include "UnitTests/Soak/RequestRecord.h"

#include <optional>
#include <string>

namespace bronzepass::unit_tests::soak {

/// Records what a caller received for a request. \p Loss is that of an
/// incomplete answer that is to be judged. True if it is a complete success.
bool judgeAnswer(RequestRecord &Record, const std::string &Id, RequestKind Kind,
                 const CallerResponse &Response,
                 const std::optional<LostAnswer> &Loss);

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_ANSWERJUDGE_H
