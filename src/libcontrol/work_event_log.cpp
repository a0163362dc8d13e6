#include "work_event_log.h"

#include "control_events.h"

namespace briarwind {

const event_kind& LogEventFor(work_event_kind aKind)
{
  switch (aKind) {
    case work_event_kind::kJobKnown:
      return kWorkJobKnown;
    case work_event_kind::kStarted:
      return kWorkStarted;
    case work_event_kind::kStartFailed:
      return kWorkStartFailed;
    case work_event_kind::kEnded:
      return kWorkEnded;
    case work_event_kind::kEvicted:
      return kWorkEvicted;
    case work_event_kind::kStopped:
      return kWorkStopped;
    case work_event_kind::kLost:
      return kWorkLost;
    case work_event_kind::kJobOver:
      return kWorkJobOver;
    case work_event_kind::kWorkerRestored:
      return kWorkWorkerRestored;
    case work_event_kind::kWorkerLost:
      return kWorkWorkerLost;
    case work_event_kind::kWorkerQuarantined:
      return kWorkWorkerQuarantined;
    case work_event_kind::kWaitsForLimit:
      return kWorkWaitsForLimit;
    case work_event_kind::kWorkerSlow:
      return kWorkWorkerSlow;
    case work_event_kind::kWorkerNotSlow:
      return kWorkWorkerNotSlow;
    case work_event_kind::kWorkerFlaps:
      return kWorkWorkerFlaps;
    case work_event_kind::kInterferenceLearned:
      return kWorkInterferenceLearned;
    case work_event_kind::kInterferenceApplied:
      return kWorkInterferenceApplied;
    case work_event_kind::kInterferenceForgotten:
      return kWorkInterferenceForgotten;
    case work_event_kind::kPaceChanged:
      return kWorkPaceChanged;
    case work_event_kind::kWaitsBesideIdle:
      return kWorkWaitsBesideIdle;
    case work_event_kind::kRackReserved:
      return kWorkRackReserved;
    case work_event_kind::kWriteRefused:
      return kWorkWriteRefused;
    case work_event_kind::kOccurrencesWait:
      return kWorkOccurrencesWait;
  }
  return kWorkLost;
}

} // namespace briarwind
