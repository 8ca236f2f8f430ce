#ifndef BRONZEPASS_UNITTESTS_FAKES_FAKEINTENTREADER_H
#define BRONZEPASS_UNITTESTS_FAKES_FAKEINTENTREADER_H

#include "Core/Ports/Ports.h"

#include <sstream>
#include <string>

namespace bronzepass::unit_tests::fakes {

/// Reads lines "engine NAME VM" into one pool; a line "broken" is an error.
class FakeIntentReader : public core::ports::IntentReader {
public:
  core::ports::IntentReadResult
  read(const std::string &Text, const std::string &FileName) const override {
    core::ports::IntentReadResult Reading;
    core::model::Intent Intent;
    Intent.m_Pools.emplace_back();
    std::istringstream Lines(Text);
    std::string Line;
    for (int Number = 1; std::getline(Lines, Line); ++Number) {
      std::istringstream Words(Line);
      std::string Kind;
      std::string Name;
      std::string Vm;
      Words >> Kind >> Name >> Vm;
      if (Kind == "broken")
        Reading.m_Findings.push_back({core::model::Severity::Error,
                                      {FileName, Number, 1},
                                      "broken line"});
      if (Kind != "engine")
        continue;
      core::model::EndpointSpec Engine;
      Engine.m_Name = core::model::EndpointId(Name);
      Engine.m_Vm = core::model::VmId(Vm);
      Intent.m_Pools.front().m_Endpoints.push_back(Engine);
    }
    if (Reading.m_Findings.empty())
      Reading.m_Intent = Intent;
    return Reading;
  }
};

} // namespace bronzepass::unit_tests::fakes

#endif // BRONZEPASS_UNITTESTS_FAKES_FAKEINTENTREADER_H
