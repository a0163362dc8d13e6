#pragma once

namespace briarwind {

/// How many starts one decision pass may add to those in flight, which are placed and not answered
/// yet. Each of them costs the leader a row of a record, an order and a fiber; the rest of a wide
/// step waits as a number. Answers the load of jobs that have far more ready tasks than the workers
/// can be told to start within a moment.
class start_budget
{
public:
  /// Most starts in flight, urgent ones and gangs aside.
  static constexpr int kMaxInFlight = 1'024;
  /// Passes with at most this many waiting tasks need no budget.
  static constexpr int kUnboundedTasks = 256;
  /// Units with more waiting tasks than this are wide, and share the budget.
  static constexpr int kOrdinaryTasks = 128;

  /// @param aWaiting tasks that wait, over all units of the pass
  /// @param aUnits number of units with waiting tasks
  start_budget(int aInFlight, int aWaiting, int aUnits);

  /// How many of a unit's waiting tasks may be placed. Wide units have equal shares, so that none
  /// waits until the one before it has started all its tasks. Of a gang all or none.
  int Allowed(int aTasks, bool aIsGang, bool aIsUrgent) const;
  /// Tasks of a unit were placed.
  void Take(int aTasks) { mInFlight += aTasks; }

private:
  int mInFlight;
  int mShare;
};

} // namespace briarwind
