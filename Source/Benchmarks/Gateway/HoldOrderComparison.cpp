// Compares ways to order requests that wait for little room, on drawn loads:
// one server, three kinds of requests, demand above what it serves.

#include "Core/Gateway/HoldQueue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <random>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace bronzepass::core::gateway; // NOLINT: names of the code.
namespace model = bronzepass::core::model;

struct Kind {
  uint32_t m_Rank;
  model::Duration m_Target;
  model::Duration m_Window;
  double m_Share;
};
using Kinds = std::array<Kind, 3>;

constexpr model::Duration Step = 10ms;
constexpr int Steps = 7000;
/// Requests that come later may still wait at the end and are not counted.
constexpr int CountedSteps = 6000;
/// Part of the window after the target for which a late request is held.
constexpr double LateShare = 0.3;

struct Request {
  uint64_t m_Number;
  size_t m_Kind;
  model::TimePoint m_At;
  model::TimePoint m_Due;
  model::TimePoint m_LateUntil;
};

struct Counts {
  std::array<int, 3> m_Asked{};
  std::array<int, 3> m_InTime{};
  std::array<int, 3> m_Late{};

  static int isCounted(const Request &Value) {
    return Value.m_At < model::TimePoint(1h) + CountedSteps * Step ? 1 : 0;
  }
  void countAsked(const Request &Value) {
    m_Asked[Value.m_Kind] += isCounted(Value);
  }
  void countServed(const Request &Value, model::TimePoint Now) {
    (Now <= Value.m_Due ? m_InTime : m_Late)[Value.m_Kind] += isCounted(Value);
  }
};

/// Requests that come in each step; demand swings around \p Load.
std::vector<std::vector<Request>> draw(const Kinds &Kinds, double Load,
                                       uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<std::vector<Request>> Loads(Steps);
  uint64_t Number = 0;
  for (int I = 0; I < Steps; ++I) {
    const double Swing = 1 + 0.55 * std::sin(I * 0.0037);
    std::poisson_distribution<int> Count(Load * Swing);
    const model::TimePoint Now = model::TimePoint(1h) + I * Step;
    for (int Left = Count(Random); Left > 0; --Left) {
      double Draw = std::uniform_real_distribution<double>()(Random);
      size_t Index = 0;
      while (Index < 2 && Draw >= Kinds[Index].m_Share)
        Draw -= Kinds[Index++].m_Share;
      const Kind &Of = Kinds[Index];
      const auto Late = std::chrono::duration_cast<model::Duration>(
          LateShare * (Of.m_Window - Of.m_Target));
      Loads[I].push_back(
          {++Number, Index, Now, Now + Of.m_Target, Now + Of.m_Target + Late});
    }
  }
  return Loads;
}

/// Serves the request with the lowest \p Cost in each step. \p KeepsLate: those
/// that can't be in time are served late.
Counts
serveBy(const std::vector<std::vector<Request>> &Loads, bool KeepsLate,
        const std::function<double(const Request &, model::TimePoint)> &Cost) {
  Counts Result;
  std::vector<Request> Waiting;
  for (int I = 0; I < Steps; ++I) {
    const model::TimePoint Now = model::TimePoint(1h) + I * Step;
    for (const Request &Each : Loads[I]) {
      Result.countAsked(Each);
      Waiting.push_back(Each);
    }
    std::erase_if(Waiting, [&](const Request &Each) {
      return Now > (KeepsLate ? Each.m_LateUntil : Each.m_Due);
    });
    const auto First =
        std::min_element(Waiting.begin(), Waiting.end(),
                         [&](const Request &Left, const Request &Right) {
                           return Cost(Left, Now) < Cost(Right, Now);
                         });
    if (First == Waiting.end())
      continue;
    Result.countServed(*First, Now);
    Waiting.erase(First);
  }
  return Result;
}

Counts serveByQueue(const Kinds &Kinds,
                    const std::vector<std::vector<Request>> &Loads) {
  Counts Result;
  HoldQueue Queue;
  std::vector<Request> All(1);
  for (int I = 0; I < Steps; ++I) {
    const model::TimePoint Now = model::TimePoint(1h) + I * Step;
    for (const Request &Each : Loads[I]) {
      Result.countAsked(Each);
      All.push_back(Each);
      HeldRequest Held;
      Held.m_Number = {Each.m_Number};
      Held.m_Order = HoldOrder::Slack;
      Held.m_Rank = Kinds[Each.m_Kind].m_Rank;
      Held.m_LatestStart = Each.m_Due;
      Held.m_LateUntil = Each.m_LateUntil;
      Held.m_CostMs = 10;
      Queue.admit(Held, {}, Now);
    }
    std::vector<model::RequestId> Gone;
    for (const HoldQueue::Entry &Each : Queue)
      if (Now > Each.m_Request.m_LateUntil)
        Gone.push_back(Each.m_Request.m_Number);
    for (const model::RequestId &Each : Gone)
      Queue.remove(Each, Now);
    if (Queue.empty())
      continue;
    const model::RequestId Number = Queue.front().m_Request.m_Number;
    Result.countServed(All[Number.m_Value], Now);
    Queue.onSent(Number, Now);
  }
  return Result;
}

void print(const char *Name, const std::vector<Counts> &Runs) {
  std::printf("| %s |", Name);
  for (size_t I = 0; I < 3; ++I) {
    double InTime = 0;
    double Late = 0;
    double Asked = 0;
    for (const Counts &Each : Runs) {
      InTime += Each.m_InTime[I];
      Late += Each.m_Late[I];
      Asked += Each.m_Asked[I];
    }
    std::printf(" %.2f, %.2f |", InTime / Asked, Late / Asked);
  }
  std::printf("\n");
}

void compare(const char *Name, const Kinds &Kinds, double Load) {
  std::printf("\n%s, demand %.2f of what is served; share in time, late\n",
              Name, Load);
  std::vector<std::vector<Counts>> Runs(6);
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    const std::vector<std::vector<Request>> Loads = draw(Kinds, Load, Seed);
    const auto Rank = [&Kinds](const Request &Each, model::TimePoint) {
      return Kinds[Each.m_Kind].m_Rank * 1e9 +
             static_cast<double>(Each.m_Number);
    };
    const auto Due = [](const Request &Each, model::TimePoint) {
      return static_cast<double>(Each.m_Due.time_since_epoch().count());
    };
    const auto Weighted = [&Kinds](const Request &Each, model::TimePoint Now) {
      return static_cast<double>((Each.m_Due - Now).count()) *
             (1 + Kinds[Each.m_Kind].m_Rank);
    };
    // What a request loses by waiting grows as its time runs out.
    const auto DelayCost = [&Kinds](const Request &Each, model::TimePoint Now) {
      const double Left =
          std::chrono::duration<double>(Each.m_Due - Now).count();
      const double Weight = 3.0 - Kinds[Each.m_Kind].m_Rank;
      return Left < 0 ? -Weight * 1e-3 : -Weight / (0.05 + Left);
    };
    Runs[0].push_back(serveBy(Loads, false, Rank));
    Runs[1].push_back(serveBy(Loads, false, Due));
    Runs[2].push_back(serveBy(Loads, true, Due));
    Runs[3].push_back(serveBy(Loads, false, Weighted));
    Runs[4].push_back(serveBy(Loads, true, DelayCost));
    Runs[5].push_back(serveByQueue(Kinds, Loads));
  }
  print("rank, then arrival; never late", Runs[0]);
  print("earliest deadline first; never late", Runs[1]);
  print("earliest deadline first; late ones kept", Runs[2]);
  print("least slack times rank; never late", Runs[3]);
  print("cost of delay; late ones kept", Runs[4]);
  print("HoldQueue", Runs[5]);
}

} // namespace

int main() {
  const Kinds PatientAbove{{{0, 2000ms, 3000ms, 0.29},
                            {1, 500ms, 12000ms, 0.63},
                            {1, 6000ms, 20000ms, 0.08}}};
  const Kinds Agree{{{0, 250ms, 12000ms, 0.4},
                     {1, 400ms, 3000ms, 0.3},
                     {2, 6000ms, 20000ms, 0.3}}};
  for (const double Load : {0.8, 1.0, 1.3}) {
    compare("patient rank above urgent ones", PatientAbove, Load);
    compare("ranks agree with urgency", Agree, Load);
  }
  return 0;
}
