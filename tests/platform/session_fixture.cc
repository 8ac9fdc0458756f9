#include "tests/platform/session_fixture.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace poplarmoor::platform {

namespace asio = boost::asio;
using asio::ip::tcp;

SessionFixture::SessionFixture()
    : cluster(this->context.get_executor(), &this->codec, "d1", "fd1"),
      runner(&this->cluster, &this->codec, &this->metrics),
      promotions(&this->group),
      takeover_controller(this->context.get_executor(),
                          &this->cluster,
                          &this->store,
                          &this->promotions,
                          &this->metrics,
                          "d1"),
      server(this->context.get_executor(), &this->cluster, &this->runner, &this->codec) {
  this->group.primary = "p";
  for (const char* id : {"p", "a", "b"}) {
    this->endpoints.push_back(
        std::make_unique<FakeLineEndpoint>(this->context.get_executor(), id, &this->group));
    this->Register(*this->endpoints.back());
  }
  RouteTable table;
  table.version = 1;
  table.services["ledger"] = {"ledger", 40, 1};
  for (const auto& [database, consistency] :
       {std::pair<std::string, Consistency>{"orders", Consistency::kPrimary},
        {"lookups", Consistency::kBounded},
        {"counts", Consistency::kOwnWrites}}) {
    DatabaseRoute route;
    route.name = route.database = database;
    route.service = "ledger";
    route.consistency = consistency;
    route.max_staleness = 60s;  // Long, so that no test depends on the speed of the machine.
    route.statement_timeout = 20s;
    table.routes[database] = route;
  }
  this->cluster.ApplyRoutes(table);
  tcp::acceptor probe(this->context, tcp::endpoint(tcp::v4(), 0));
  this->address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  probe.close();
  this->server.Listen(this->address, 100);
}

void SessionFixture::Register(const FakeLineEndpoint& endpoint) {
  EndpointRecord record;
  record.id = endpoint.id;
  record.service = "ledger";
  record.address = endpoint.address();
  record.failure_domain = "fd1";
  record.slots = 3;
  record.claims_primary = endpoint.id == this->group.primary;
  record.revision = this->store.NextRevision();
  this->cluster.ApplyEndpoint(record);
}

void SessionFixture::RaiseTimeLimits() {
  RouteTable table = this->cluster.routes();
  ++table.version;
  table.transaction_idle_limit = 1h;
  table.routes["orders"].statement_timeout = 1h;
  this->cluster.ApplyRoutes(table);
}

FakeLineEndpoint& SessionFixture::Join(const char* id) {
  this->endpoints.push_back(
      std::make_unique<FakeLineEndpoint>(this->context.get_executor(), id, &this->group));
  this->Register(*this->endpoints.back());
  return *this->endpoints.back();
}

void SessionFixture::AnnouncePrimaryLeaves() {
  EndpointRecord record = this->cluster.FindEndpoint("p")->record();
  record.leaving = true;
  record.revision = this->store.NextRevision();
  this->cluster.ApplyEndpoint(record);
}

void SessionFixture::LosePrimary() {
  this->endpoints[0]->Crash();
  this->group.primary.clear();
  this->cluster.FindEndpoint("p")->suspected = true;
}

}  // namespace poplarmoor::platform
