#include "Core/Placement/PlacementStatus.h"

namespace bronzepass::core::placement {

const char *toString(CopyReason Value) {
  switch (Value) {
  case CopyReason::Adopted:
    return "adopted: reported without an order";
  case CopyReason::Declared:
    return "declared: too few copies";
  case CopyReason::Burst:
    return "burst: demand pays for a further copy";
  case CopyReason::Moved:
    return "moved: its engine is drained or needed";
  case CopyReason::Spare:
    return "spare: demand no longer needs it";
  case CopyReason::Evicted:
    return "makes room for an artifact without a copy";
  case CopyReason::Drained:
    return "drained: its engine is to be emptied";
  case CopyReason::Retired:
    return "retired: the intent does not declare it";
  case CopyReason::Inherited:
    return "inherited from a former lease holder";
  }
  return "";
}

const char *toString(MovePhase Value) {
  switch (Value) {
  case MovePhase::Queued:
    return "queued";
  case MovePhase::Recording:
    return "recording";
  case MovePhase::Ordered:
    return "ordered";
  case MovePhase::Working:
    return "working";
  case MovePhase::InDoubt:
    return "in-doubt";
  }
  return "";
}

} // namespace bronzepass::core::placement
