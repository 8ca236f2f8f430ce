#include "Benchmarks/Traffic/LoadRun.h"

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/EventLoop.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

namespace bronzepass::benchmarks::traffic {

namespace curl = core::adapters::curl;
namespace net = core::adapters::net;

namespace {

constexpr std::chrono::seconds RequestTimeout(30);
constexpr long MaxIdleConnections = 512;

using SteadyTime = std::chrono::steady_clock::time_point;

std::chrono::microseconds elapsedSince(SteadyTime Start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - Start);
}

/// Measures the times of one answer and checks its text.
class ResponseTimer : public curl::TransferListener {
public:
  ResponseTimer(LoadResult &Result, SteadyTime Start, std::string User,
                uint32_t &Unfinished, net::EventLoop &Loop)
      : m_Result(Result), m_Start(Start), m_User(std::move(User)),
        m_Unfinished(Unfinished), m_Loop(Loop) {}

  void onHead(const curl::TransferHead &Head) override {
    m_Status = Head.m_Status;
  }

  bool onChunk(std::string_view Chunk) override {
    if (m_Text.empty())
      m_TimeToFirstChunk = elapsedSince(m_Start);
    m_Text.append(Chunk);
    return true;
  }

  void onDone(const curl::TransferResult &Result) override {
    const bool Complete = Result.m_Complete && m_Status == 200 &&
                          m_Text.find("data: [DONE]") != std::string::npos;
    if (Complete && m_Text.find(m_User + ":0 ") == std::string::npos)
      ++m_Result.m_Crossed;
    if (Complete) {
      m_Result.m_TimesToFirstChunk.push_back(m_TimeToFirstChunk);
      m_Result.m_TimesToEnd.push_back(elapsedSince(m_Start));
    } else {
      ++m_Result.m_Broken;
      if (m_Result.m_FirstError.empty())
        m_Result.m_FirstError =
            std::to_string(m_Status) + " " + Result.m_Error + " " + m_Text;
    }
    if (--m_Unfinished == 0)
      m_Loop.stop();
  }

private:
  LoadResult &m_Result;
  SteadyTime m_Start;
  std::string m_User;
  uint32_t &m_Unfinished;
  net::EventLoop &m_Loop;
  int m_Status = 0;
  std::chrono::microseconds m_TimeToFirstChunk{0};
  std::string m_Text;
};

curl::TransferRequest requestOf(const LoadPlan &Plan, const std::string &User) {
  curl::TransferRequest Request;
  Request.m_Method = "POST";
  Request.m_Address = Plan.m_Address;
  Request.m_Path = "/v1/chat/completions";
  Request.m_Headers = {"Content-Type: application/json"};
  Request.m_Body =
      nlohmann::json{{"model", Plan.m_ModelName},
                     {"user", User},
                     {"stream", true},
                     {"max_tokens", Plan.m_Tokens},
                     {"messages",
                      {{{"role", "user"},
                        {"content", "is the unit safe to keep energised?"}}}}}
          .dump();
  Request.m_Timeout = RequestTimeout;
  return Request;
}

/// Sends the due requests each millisecond; libcurl and the timers share one
/// loop.
class LoadDriver {
public:
  explicit LoadDriver(const std::vector<LoadPlan> &Plans)
      : m_Plans(Plans), m_Results(Plans.size()), m_Sent(Plans.size(), 0),
        m_Curl(m_Loop, MaxIdleConnections) {
    for (const LoadPlan &Plan : Plans)
      m_Unfinished += Plan.m_Requests;
  }

  std::vector<LoadResult> run() {
    m_Start = std::chrono::steady_clock::now();
    tick();
    m_Loop.run();
    return m_Results;
  }

private:
  void tick() {
    bool More = false;
    for (size_t I = 0; I < m_Plans.size(); ++I) {
      sendDue(I);
      More = More || m_Sent[I] < m_Plans[I].m_Requests;
    }
    if (More)
      m_Loop.runAfter(std::chrono::milliseconds(1), [this] { tick(); });
  }

  void sendDue(size_t I) {
    const LoadPlan &Plan = m_Plans[I];
    const std::chrono::microseconds Period =
        std::chrono::microseconds(std::chrono::seconds(1)) /
        Plan.m_RequestsPerSecond;
    const SteadyTime Now = std::chrono::steady_clock::now();
    while (m_Sent[I] < Plan.m_Requests && m_Start + Period * m_Sent[I] <= Now) {
      const std::string User =
          "load" + std::to_string(I) + "-" + std::to_string(m_Sent[I]++);
      // Timed from here, so that delays in this tool don't count as the
      // node's.
      m_Curl.start(requestOf(Plan, User),
                   std::make_shared<ResponseTimer>(
                       m_Results[I], std::chrono::steady_clock::now(), User,
                       m_Unfinished, m_Loop));
    }
  }

  const std::vector<LoadPlan> &m_Plans;
  std::vector<LoadResult> m_Results;
  std::vector<uint32_t> m_Sent;
  uint32_t m_Unfinished = 0;
  SteadyTime m_Start;
  net::EventLoop m_Loop;
  curl::CurlMulti m_Curl;
};

} // namespace

std::vector<LoadResult> runLoads(const std::vector<LoadPlan> &Plans) {
  return LoadDriver(Plans).run();
}

std::chrono::microseconds
percentile(std::vector<std::chrono::microseconds> Values, double Percent) {
  if (Values.empty())
    return std::chrono::microseconds(0);
  std::sort(Values.begin(), Values.end());
  const size_t Rank =
      static_cast<size_t>(Percent / 100 * static_cast<double>(Values.size()));
  return Values[std::min(Rank, Values.size() - 1)];
}

} // namespace bronzepass::benchmarks::traffic
