#include "Core/Routing/EndpointPolicy.h"

#include <algorithm>

namespace bronzepass::core::routing {

namespace {

class RoundRobinPolicy final : public EndpointPolicy {
public:
  size_t pick(const std::vector<Candidate> &Candidates,
              ports::Random & /*Random*/) override {
    return m_Next++ % Candidates.size();
  }

private:
  uint64_t m_Next = 0;
};

class LeastInFlightPolicy final : public EndpointPolicy {
public:
  size_t pick(const std::vector<Candidate> &Candidates,
              ports::Random &Random) override {
    // Starts at a random index, so that ties don't all go to the first.
    size_t First = Random.next() % Candidates.size();
    size_t Best = First;
    for (size_t Step = 1; Step < Candidates.size(); ++Step) {
      size_t Index = (First + Step) % Candidates.size();
      if (Candidates[Index].m_Stats->inFlight() <
          Candidates[Best].m_Stats->inFlight())
        Best = Index;
    }
    return Best;
  }
};

class PowerOfTwoPolicy final : public EndpointPolicy {
public:
  size_t pick(const std::vector<Candidate> &Candidates,
              ports::Random &Random) override {
    size_t First = Random.next() % Candidates.size();
    size_t Second = Random.next() % Candidates.size();
    return Candidates[Second].m_Load < Candidates[First].m_Load ? Second
                                                                : First;
  }
};

/// Picks the lowest predicted cost among the candidates with room, or among
/// all if none has room.
class PredictivePolicy final : public EndpointPolicy {
public:
  size_t pick(const std::vector<Candidate> &Candidates,
              ports::Random &Random) override {
    size_t First = Random.next() % Candidates.size();
    size_t Best = First;
    for (size_t Step = 1; Step < Candidates.size(); ++Step) {
      size_t Index = (First + Step) % Candidates.size();
      if (isBetter(Candidates[Index], Candidates[Best]))
        Best = Index;
    }
    return Best;
  }

private:
  static bool isBetter(const Candidate &Left, const Candidate &Right) {
    if (Left.m_HasRoom != Right.m_HasRoom)
      return Left.m_HasRoom;
    return Left.m_Cost < Right.m_Cost;
  }
};

} // namespace

std::unique_ptr<EndpointPolicy> makePolicy(PolicyKind Kind) {
  switch (Kind) {
  case PolicyKind::RoundRobin:
    return std::make_unique<RoundRobinPolicy>();
  case PolicyKind::LeastInFlight:
    return std::make_unique<LeastInFlightPolicy>();
  case PolicyKind::PowerOfTwo:
    return std::make_unique<PowerOfTwoPolicy>();
  case PolicyKind::Predictive:
    break;
  }
  return std::make_unique<PredictivePolicy>();
}

const char *toString(PolicyKind Kind) {
  switch (Kind) {
  case PolicyKind::RoundRobin:
    return "round_robin";
  case PolicyKind::LeastInFlight:
    return "least_in_flight";
  case PolicyKind::PowerOfTwo:
    return "power_of_two";
  case PolicyKind::Predictive:
    break;
  }
  return "predictive";
}

} // namespace bronzepass::core::routing
