#pragma once

#include "briarwind/time.h"

#include <map>
#include <string>
#include <vector>

namespace briarwind {

/// Remembers when workers went away and came back: whether they stopped answering, left the
/// registry or restarted. Workers that were present all the time take no memory.
class worker_presence
{
public:
  /// The worker stopped answering or is no longer listed.
  void OnAway(const std::string& aWorker, instant aNow);
  /// The worker is listed and answers. A short silence is not counted as an absence.
  void OnPresent(const std::string& aWorker, instant aNow);
  /// A new incarnation of a known worker: an absence, however short it was.
  void OnRestarted(const std::string& aWorker, instant aNow);
  /// Forgets absences that no longer count. Returns the workers that have begun to flap since the
  /// last call.
  std::vector<std::string> Update(instant aNow);

  /// Came back within the last 5 s.
  bool HasJustReturned(const std::string& aWorker, instant aNow) const;
  /// Went away at least twice within the last 10 s.
  bool IsFlapping(const std::string& aWorker, instant aNow) const;
  std::size_t Workers() const { return mWorkers.size(); }

private:
  struct absences
  {
    instant mAwaySince; ///< instant(): present
    instant mLastAwayAt;
    instant mFormerAwayAt; ///< of the absence before the last
    instant mReturnedAt;
    bool mReported = false; ///< as flapping

    bool IsFlapping(instant aNow) const;
    void Count(instant aAwayAt, instant aNow);
  };

  std::map<std::string, absences> mWorkers;
};

} // namespace briarwind
