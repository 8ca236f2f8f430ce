#ifndef BRONZEPASS_STANDINS_SERVICESTANDIN_H
#define BRONZEPASS_STANDINS_SERVICESTANDIN_H

#include "StandIns/StandIn.h"

#include <cstdint>
#include <deque>
#include <string>

namespace bronzepass::stand_ins {

/// A plain service: a call to any other path is a run, which it counts and
/// logs. GET /runs lists the runs; POST /faults makes the next calls fail.
class ServiceStandIn : public StandIn {
public:
  explicit ServiceStandIn(core::model::Address Address);
  ~ServiceStandIn() override;

private:
  struct Call {
    uint64_t m_Run = 0;
    std::string m_Method;
    std::string m_Path;
    std::string m_Key;
    std::string m_Body;
  };

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponseWriter> &Answer) override;
  void run(const HttpRequest &Request,
           const std::shared_ptr<HttpResponseWriter> &Answer);
  HttpReply runs() const;
  HttpReply setFaults(const HttpRequest &Request);

  uint64_t m_Runs = 0;
  std::deque<Call> m_Calls;
  /// How many of the next calls run, but have their connection aborted without
  /// an answer.
  uint32_t m_LoseNext = 0;
  /// How many of the next calls are declined without running.
  uint32_t m_DeclineNext = 0;
  /// Delay before the answer to a call, in milliseconds.
  uint32_t m_DelayMillis = 0;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_SERVICESTANDIN_H
