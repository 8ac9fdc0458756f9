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

/// Compares what callers were told with what the endpoints recorded. Works on plain data.
class Checker {
 public:
  /// @param records All requests in order of sending.
  /// @param histories What the endpoints recorded, by service. The writes of a service that is
  /// missing here are not compared with a log.
  Checker(const std::vector<RequestRecord>& records,
          const std::map<std::string, ServiceHistory>& histories);

  /// @returns The counts.
  CheckResult Run();

 private:
  // Where the log of a service contains a request id as value.
  struct Occurrence {
    uint64_t index = 0;  // Of the log entry.
    size_t puts = 0;     // Statements of the entry with this value.
  };
  using ServiceValue = std::pair<std::string, std::string>;  // Service and request id.

  void IndexLogs();
  void CheckLoggedTransactions();
  void CheckWrite(const RequestRecord& record);
  void CheckRefused(const RequestRecord& record);
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
  std::map<std::string, const RequestRecord*> writers;  // By request id.
  // Last acknowledged write of a session to a key: session, service, key -> request id.
  std::map<std::pair<int, ServiceValue>, std::string> last_acked;
  CheckResult result;
};

}  // namespace poplarmoor
