#include "work_note_events.h"

#include "control_events.h"

namespace briarwind {

const event_kind& EventForNote(work_note_kind aKind)
{
  switch (aKind) {
    case work_note_kind::kJobKnown:
      return kWorkJobKnown;
    case work_note_kind::kStarted:
      return kWorkStarted;
    case work_note_kind::kStartFailed:
      return kWorkStartFailed;
    case work_note_kind::kEnded:
      return kWorkEnded;
    case work_note_kind::kEvicted:
      return kWorkEvicted;
    case work_note_kind::kStopped:
      return kWorkStopped;
    case work_note_kind::kLost:
      return kWorkLost;
    case work_note_kind::kJobOver:
      return kWorkJobOver;
    case work_note_kind::kWorkerRestored:
      return kWorkWorkerRestored;
    case work_note_kind::kWorkerLost:
      return kWorkWorkerLost;
    case work_note_kind::kWorkerQuarantined:
      return kWorkWorkerQuarantined;
  }
  return kWorkLost;
}

} // namespace briarwind
