#include "kernel/virtual_cluster.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace poplarmoor {

namespace {

// Approximate bytes of a message in the msgpack peer codec without its lists and strings: keys,
// numbers and message framing.
constexpr size_t kMessageOverheadBytes = 120;
// Approximate bytes of a member in a message, besides its strings.
constexpr size_t kMemberOverheadBytes = 16;
constexpr size_t kHashBytes = 9;  // Approximate bytes of one bucket hash in a message.
// Approximate bytes of a unit or version, besides name and content.
constexpr size_t kUnitOverheadBytes = 24;

size_t SizeOf(const Member& member) {
  return kMemberOverheadBytes + member.daemon.size() + member.address.size() +
         member.failure_domain.size();
}

size_t SizeOf(const GossipMessage& message) {
  size_t size = kMessageOverheadBytes + SizeOf(message.sender) + message.target.size() +
                kHashBytes * message.bucket_hashes.size() + 2 * message.differing.size();
  for (const Member& update : message.updates) {
    size += SizeOf(update);
  }
  return size;
}

size_t SizeOf(const ConfigMessage& message) {
  size_t size = kMessageOverheadBytes + kHashBytes * message.bucket_hashes.size() +
                2 * message.buckets.size();
  for (const UnitVersion& version : message.versions) {
    size += kUnitOverheadBytes + version.name.size();
  }
  for (const ConfigUnit& unit : message.units) {
    size += kUnitOverheadBytes + unit.name.size() + unit.content.size();
  }
  return size;
}

}  // namespace

VirtualCluster::VirtualCluster(const VirtualClusterOptions& options, MakeStore make_store)
    : options(options), make_store(std::move(make_store)), random(this->options.seed) {
  if (!this->make_store) {
    this->make_store = [] { return std::make_unique<ConfigStore>(); };
  }
  this->nodes.resize(this->options.members);
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    Member& self = this->nodes[i].self;
    char name[32];
    std::snprintf(name, sizeof(name), "d%05zu", i);
    self.daemon = name;
    self.address = "10." + std::to_string(i / 200) + ".0." + std::to_string(i % 200) + ":7000";
    self.failure_domain = "fd-" + std::to_string(i % this->options.failure_domains);
    this->by_address[self.address] = i;
  }
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    this->Start(i, 1);
  }
  if (this->options.start_with_full_table) {
    std::vector<Member> table;
    for (const Node& node : this->nodes) {
      table.push_back(node.self);
    }
    for (const Node& node : this->nodes) {
      node.membership->LoadTable(table);
    }
  }
}

void VirtualCluster::Start(size_t index, uint64_t incarnation) {
  Node& node = this->nodes[index];
  node.self.incarnation = incarnation;
  node.self.state = MemberState::kAlive;
  node.membership =
      std::make_unique<Membership>(node.self, this->options.membership, &this->random);
  node.membership->SetSeeds({this->nodes[0].self.address, this->nodes.back().self.address});
  node.store = this->make_store();
  node.spread = std::make_unique<ConfigSpread>(node.self.daemon, node.self.address,
                                               this->options.spread, node.store.get());
  node.running = true;
  node.paused = false;
}

void VirtualCluster::Kill(size_t index) {
  this->nodes[index].running = false;
}

void VirtualCluster::Restart(size_t index) {
  this->Start(index, this->nodes[index].self.incarnation + 1000);
}

void VirtualCluster::SetPaused(size_t index, bool paused) {
  Node& node = this->nodes[index];
  node.paused = paused;
  if (paused) {
    return;
  }
  node.membership->Tick(this->time);
  for (const GossipMessage& message : std::exchange(node.gossip_backlog, {})) {
    this->Deliver(index, message);
  }
  for (const ConfigMessage& message : std::exchange(node.config_backlog, {})) {
    this->Deliver(index, message);
  }
}

void VirtualCluster::Publish(size_t index, const std::vector<ConfigUnit>& units) {
  Node& node = this->nodes[index];
  node.spread->Publish(units, node.membership->RandomPeers(this->options.spread.fanout + 1));
  this->Flush(index);
}

void VirtualCluster::Post(size_t from,
                          const std::string& address,
                          Delivery delivery,
                          size_t bytes) {
  Node& sender = this->nodes[from];
  ++sender.sent_messages;
  sender.sent_bytes += bytes;
  const auto found = this->by_address.find(address);
  constexpr uint64_t kScale = 1'000'000;
  const bool lost = this->options.loss > 0.0 &&
                    static_cast<double>(this->random() % kScale) < this->options.loss * kScale;
  if (found == this->by_address.end() || lost ||
      (this->is_partitioned && this->is_partitioned(from, found->second))) {
    return;
  }
  delivery.to = found->second;
  delivery.time = this->time + this->options.delay;
  delivery.order = this->next_order++;
  this->deliveries.push(std::move(delivery));
}

void VirtualCluster::Flush(size_t index) {
  Node& node = this->nodes[index];
  node.membership->SetConfigHash(node.store->Hash());
  for (GossipEnvelope& envelope : node.membership->TakeOutgoing()) {
    const size_t bytes = SizeOf(envelope.message);
    this->Post(index, envelope.address, {{}, 0, 0, std::move(envelope.message)}, bytes);
  }
  for (ConfigEnvelope& envelope : node.spread->TakeOutgoing()) {
    const size_t bytes = SizeOf(envelope.message);
    this->Post(index, envelope.address, {{}, 0, 0, std::move(envelope.message)}, bytes);
  }
  node.membership->TakeChanges();
}

void VirtualCluster::Deliver(size_t index, const GossipMessage& message) {
  Node& node = this->nodes[index];
  if (!node.running) {
    return;
  }
  if (node.paused) {
    node.gossip_backlog.push_back(message);
    return;
  }
  node.membership->Receive(message, this->time);
  node.spread->RepairIfDifferent(message.sender, message.config_hash, this->time);
  this->Flush(index);
}

void VirtualCluster::Deliver(size_t index, const ConfigMessage& message) {
  Node& node = this->nodes[index];
  if (!node.running) {
    return;
  }
  if (node.paused) {
    node.config_backlog.push_back(message);
    return;
  }
  node.spread->Receive(message, node.membership->RandomPeers(this->options.spread.fanout + 1));
  this->Flush(index);
}

void VirtualCluster::Step() {
  const TimePoint end = this->time + this->options.tick;
  while (!this->deliveries.empty() && this->deliveries.top().time <= end) {
    const Delivery delivery = this->deliveries.top();
    this->deliveries.pop();
    this->time = delivery.time;
    std::visit([&](const auto& message) { this->Deliver(delivery.to, message); }, delivery.message);
  }
  this->time = end;
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    if (this->nodes[i].running && !this->nodes[i].paused) {
      this->nodes[i].membership->Tick(this->time);
      this->Flush(i);
    }
  }
}

void VirtualCluster::Run(Duration duration) {
  const TimePoint end = this->time + duration;
  while (this->time < end) {
    this->Step();
  }
}

Duration VirtualCluster::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint start = this->time;
  while (this->time - start < limit) {
    this->Step();
    if (condition()) {
      return this->time - start;
    }
  }
  return limit;
}

size_t VirtualCluster::CountViews(size_t subject,
                                  const std::function<bool(const Member*)>& matches) const {
  return static_cast<size_t>(
      std::count_if(this->nodes.begin(), this->nodes.end(), [&](const Node& node) {
        return node.running &&
               matches(node.membership->Table().Find(this->nodes[subject].self.daemon));
      }));
}

bool VirtualCluster::AllAgree() const {
  const auto running = static_cast<size_t>(std::count_if(
      this->nodes.begin(), this->nodes.end(), [](const Node& node) { return node.running; }));
  uint64_t hash = 0;
  for (const Node& node : this->nodes) {
    if (!node.running) {
      continue;
    }
    const MemberTable& table = node.membership->Table();
    hash = hash == 0 ? table.Hash() : hash;
    if (table.LiveCount() != running || table.Hash() != hash) {
      return false;
    }
  }
  return true;
}

bool VirtualCluster::ConfigConverged() const {
  const Node* first = nullptr;
  for (const Node& node : this->nodes) {
    if (!node.running) {
      continue;
    }
    if (first != nullptr && node.store->Hash() != first->store->Hash()) {
      return false;
    }
    first = &node;
  }
  return true;
}

}  // namespace poplarmoor
