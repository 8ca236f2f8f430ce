#ifndef BRONZEPASS_BENCHMARKS_MEMBERSHIP_PROPAGATIONTIME_H
#define BRONZEPASS_BENCHMARKS_MEMBERSHIP_PROPAGATIONTIME_H

namespace bronzepass::benchmarks::membership {

/// How a generation spreads over the overlay of a system of some size.
struct Reach {
  int m_MaxHops = 0;
  double m_MeanHops = 0;
  int m_MaxDegree = 0;
  /// From the first node's taking it to the last one's, seconds.
  double m_LastSeconds = 0;
};

/// Spreads one generation from node 0 over \p Nodes nodes in 7 failure domains
/// and 3 regions: each hop takes an offer, a request and the parts one way
/// (1.5 ms in a region, 20 ms between two) and \p AdoptSeconds to put it in
/// force before it is passed on.
Reach reachTime(int Nodes, double AdoptSeconds);

} // namespace bronzepass::benchmarks::membership

#endif // BRONZEPASS_BENCHMARKS_MEMBERSHIP_PROPAGATIONTIME_H
