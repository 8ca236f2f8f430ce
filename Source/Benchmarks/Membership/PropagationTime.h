#ifndef BRONZEPASS_BENCHMARKS_MEMBERSHIP_PROPAGATIONTIME_H
#define BRONZEPASS_BENCHMARKS_MEMBERSHIP_PROPAGATIONTIME_H

namespace bronzepass::benchmarks::membership {

/// How a generation spreads over the overlay of a system of a given size.
struct Propagation {
  int m_MaxHops = 0;
  double m_MeanHops = 0;
  int m_MaxDegree = 0;
  /// Time from its adoption by the first node to that by the last, in seconds.
  double m_LastSeconds = 0;
};

/// Simulates how one generation spreads from node 0 to \p Nodes nodes in 7
/// failure domains and 3 regions. Each hop takes three one-way messages, which
/// are an offer, a request and the parts (1.5 ms each within a region, 20 ms
/// between regions), and \p AdoptSeconds to put the generation in force before
/// it is forwarded.
Propagation propagationTime(int Nodes, double AdoptSeconds);

} // namespace bronzepass::benchmarks::membership

#endif // BRONZEPASS_BENCHMARKS_MEMBERSHIP_PROPAGATIONTIME_H
