#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "load/check_result.h"

namespace poplarmoor {

struct RequestRecord;
struct ServiceHistory;

/// Compares the answers that callers received with the logs of the endpoints and counts violated
/// guarantees. Does no I/O.
class Checker {
 public:
  /// @param records All requests in the order of sending.
  /// @param histories Logs and execution counts of the endpoints, by service. The writes of a
  /// service that is missing here are not compared with a log.
  Checker(const std::vector<RequestRecord>& records,
          const std::map<std::string, ServiceHistory>& histories);

  /// Runs all checks.
  /// @returns The counts of requests and violations.
  CheckResult Run();

 private:
  // One log entry that contains a request id as a written value.
  struct Occurrence {
    uint64_t index = 0;  // Index of the log entry.
    size_t puts = 0;     // Number of statements of the entry that write the request id.
  };
  // Name of a service, and a request id or a key of that service.
  using ServiceValue = std::pair<std::string, std::string>;

  void IndexLogs();
  void CheckLoggedTransactions();
  void CheckWrite(const RequestRecord& record);
  void CheckNotRun(const RequestRecord& record);
  void CheckAnswer(const RequestRecord& record);
  void CheckRead(const RequestRecord& record);
  void CheckTransactionReads(const RequestRecord& record);
  bool IsForeignValue(const RequestRecord& record,
                      const std::string& key,
                      const std::string& value) const;
  int CountExecutions(const RequestRecord& record) const;
  void Count(uint64_t CheckResult::*counter, const std::string& name, const RequestRecord& record);

  const std::vector<RequestRecord>& records;
  const std::map<std::string, ServiceHistory>& histories;
  std::map<ServiceValue, std::vector<Occurrence>> occurrences;
  std::map<std::string, const RequestRecord*> writes_by_id;  // Writes and transactions by id.
  // Request id of the last acknowledged write of a session to a key, by session, service and key.
  std::map<std::pair<int, ServiceValue>, std::string> last_acked;
  CheckResult result;
};

}  // namespace poplarmoor
