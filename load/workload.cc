#include "load/workload.h"

#include <array>
#include <utility>

#include "load/load_options.h"

namespace poplarmoor {

namespace {

// Number of keys that all sessions use. Small, so that sessions often access the same key.
constexpr size_t kSharedKeys = 50;
// Number of key sets. Each transaction reads and writes all keys of one set.
constexpr size_t kTransactionGroups = 10;
// For each rank, the share of writes among its reads and writes. Transactions count as neither.
constexpr std::array<double, kRankCount> kWriteShare{0.8, 0.5, 0.0};

}  // namespace

Workload::Workload(const LoadOptions& options, std::string run_id)
    : options(options), run_id(std::move(run_id)), random(options.seed) {}

bool Workload::DrawWithProbability(double share) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

size_t Workload::PickIndex(size_t bound) {
  return std::uniform_int_distribution<size_t>(0, bound - 1)(this->random);
}

double Workload::DrawInterval(double rate) {
  return std::exponential_distribution<double>(rate)(this->random);
}

RequestRecord Workload::MakeRequest(Rank rank, int session) {
  RequestRecord record;
  record.request_id = this->run_id + "-" + std::to_string(++this->next_id);
  record.session = session;
  record.rank = rank;
  record.service = this->options.services[this->PickIndex(this->options.services.size())];
  const bool is_background = rank == Rank::kBackground;
  if (!is_background && this->DrawWithProbability(this->options.transactions)) {
    record.kind = RequestKind::kTransaction;
    const std::string group = "group-" + std::to_string(this->PickIndex(kTransactionGroups));
    record.keys = {group + "-a", group + "-b"};
  } else {
    const bool write = this->DrawWithProbability(kWriteShare[static_cast<size_t>(rank)]);
    record.kind = write ? RequestKind::kWrite : RequestKind::kRead;
    const bool shared = is_background || this->DrawWithProbability(0.3);
    record.keys = {shared ? "shared-" + std::to_string(this->PickIndex(kSharedKeys))
                          : this->run_id + "-session-" + std::to_string(session)};
    record.own_writes = !is_background;
  }
  if (record.kind != RequestKind::kRead) {
    record.repeatable = !this->DrawWithProbability(this->options.nonrepeatable);
  }
  return record;
}

}  // namespace poplarmoor
