#pragma once

#include <string>

#include "kernel/endpoint_status.h"
#include "kernel/group_state.h"
#include "kernel/statement_result.h"
#include "kernel/time.h"

namespace poplarmoor {

/// @param millis Milliseconds since the start of the virtual clock.
/// @returns The time point.
inline TimePoint At(int64_t millis) {
  return TimePoint(std::chrono::milliseconds(millis));
}

/// @param verdict Verdict of a request.
/// @param reason Reason for the verdict.
/// @returns A result with only these two fields set.
inline StatementResult MakeResult(Verdict verdict, Reason reason) {
  StatementResult result;
  result.verdict = verdict;
  result.reason = reason;
  return result;
}

/// @param term Term of the group.
/// @param primary Primary of the group; empty while an election runs.
/// @returns A group with the endpoints a, b and c.
inline GroupState MakeGroup(uint64_t term, const std::string& primary) {
  GroupState state;
  state.service = "orders";
  state.version = term;
  state.term = term;
  state.phase = primary.empty() ? GroupPhase::kElecting : GroupPhase::kServing;
  state.primary = primary;
  for (const char* name : {"a", "b", "c"}) {
    state.endpoints.push_back({name, "", "", false});
  }
  state.term_starts.push_back({term, 0});
  return state;
}

/// @param endpoint Name of the endpoint.
/// @param term Term that the endpoint follows, and term of its last log entry.
/// @param index Log index up to which the endpoint has received and replayed the log.
/// @returns The status of the endpoint.
inline EndpointStatus MakeStatus(const std::string& endpoint, uint64_t term, uint64_t index) {
  EndpointStatus status;
  status.endpoint = endpoint;
  status.term = term;
  status.received = index;
  status.replayed = index;
  status.last = {term, index};
  return status;
}

}  // namespace poplarmoor
