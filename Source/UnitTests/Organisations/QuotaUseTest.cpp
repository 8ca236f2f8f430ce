#include "QuotaUse.h"

namespace bronzepass::unit_tests {

TEST_CASE(
    "in calm nearly all of a quota is used by callers at one node, or moving") {
  for (const size_t Nodes : {6, 64, 195})
    for (const double Times : {1.0, 2.0, 8.0})
      for (const Spread Where : {Spread::OneNode, Spread::Moving}) {
        double Datagrams = 0;
        const double Use = useOf(Nodes, Times, Where, false, &Datagrams);
        CAPTURE(Nodes);
        CAPTURE(Times);
        CAPTURE(static_cast<int>(Where));
        MESSAGE("use " << Use << ", datagrams a second and node " << Datagrams);
        CHECK(Use >= 0.97);
      }
}

TEST_CASE("in calm nearly all of a quota is used by callers at six nodes") {
  for (const size_t Nodes : {6})
    for (const double Times : {1.0, 2.0, 8.0})
      for (const Spread Where : {Spread::Even}) {
        double Datagrams = 0;
        const double Use = useOf(Nodes, Times, Where, false, &Datagrams);
        CAPTURE(Nodes);
        CAPTURE(Times);
        CAPTURE(static_cast<int>(Where));
        MESSAGE("use " << Use << ", datagrams a second and node " << Datagrams);
        CHECK(Use >= 0.97);
      }
}

} // namespace bronzepass::unit_tests
