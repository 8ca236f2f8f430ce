#include "Core/Cli/VersionCommand.h"

#include "Core/Cli/Table.h"
#include "Core/Ports/PeerMessage.h"

namespace bronzepass::core::cli {

ExitCode VersionCommand::run(const CommandContext &Context) const {
  Table Rows({"Part", "Version"});
  Rows.add({"bronzepass", BRONZEPASS_VERSION});
  Rows.add({"peer-protocol", std::to_string(ports::Hello().m_ProtocolVersion)});
  Rows.print(Context.m_Out, Context.wantsJson());
  return ExitCode::Ok;
}

} // namespace bronzepass::core::cli
