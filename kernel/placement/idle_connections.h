#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/time.h"

namespace poplarmoor {

/// Idle connections of one daemon to one endpoint, and the decisions which of them to lend and
/// which to close. A connection is lent only to the organisation with which it was opened.
/// @tparam Connection Movable type that stands for a connection.
template <typename Connection>
class IdleConnections {
 public:
  /// Adds a connection.
  /// @param organisation Organisation with which the connection was opened; empty: none.
  /// @param session Session that used the connection last.
  /// @param now Current time; it must not be earlier than in the previous call.
  void Put(Connection connection, std::string organisation, uint64_t session, TimePoint now) {
    this->entries.push_back({std::move(connection), std::move(organisation), session, now});
  }

  /// Takes a connection: the one that the session was the last to use, else the one that was used
  /// most recently.
  /// @param organisation Organisation with which the connection must have been opened; null: any.
  /// @returns The connection, or nothing when there is none.
  std::optional<Connection> Take(const std::string* organisation, uint64_t session) {
    auto chosen = this->entries.end();
    for (auto entry = this->entries.begin(); entry != this->entries.end(); ++entry) {
      if (organisation != nullptr && entry->organisation != *organisation) {
        continue;
      }
      chosen = entry;
      if (entry->session == session) {
        break;
      }
    }
    return chosen == this->entries.end() ? std::nullopt : std::optional(this->Remove(chosen));
  }

  /// Takes the connection that comes first in an order.
  /// @param before Called with two connections; returns whether the left one comes before the right
  ///     one.
  /// @returns The connection, or nothing when there is none.
  template <typename Before>
  std::optional<Connection> TakeFirst(Before before) {
    const auto first = std::min_element(this->entries.begin(), this->entries.end(),
                                        [&before](const Entry& left, const Entry& right) {
                                          return before(left.connection, right.connection);
                                        });
    return first == this->entries.end() ? std::nullopt : std::optional(this->Remove(first));
  }

  /// Takes the connections that have to be closed because all connections, in use and idle, exceed
  /// a limit: first those of organisations that have several idle ones, then any others, and of
  /// both those that have been idle for longest.
  /// @param in_use Number of connections in use.
  /// @param limit Largest number of connections in use and idle together.
  std::vector<Connection> TakeExcess(size_t in_use, size_t limit) {
    std::vector<Connection> excess;
    while (!this->entries.empty() && in_use + this->entries.size() > limit) {
      std::map<std::string, int> counts;
      for (const Entry& entry : this->entries) {
        ++counts[entry.organisation];
      }
      auto chosen =
          std::find_if(this->entries.begin(), this->entries.end(),
                       [&counts](const Entry& entry) { return counts[entry.organisation] > 1; });
      chosen = chosen == this->entries.end() ? this->entries.begin() : chosen;
      excess.push_back(this->Remove(chosen));
    }
    return excess;
  }

  /// Closes connections, those that have been idle for longest first.
  /// @param kept Number of connections that are kept whatever their age.
  /// @param since Connections that became idle at this time or later are kept.
  void CloseOlder(size_t kept, TimePoint since) {
    while (this->entries.size() > kept && this->entries.front().since < since) {
      this->entries.erase(this->entries.begin());
    }
  }

  void Clear() { this->entries.clear(); }
  size_t size() const { return this->entries.size(); }

  /// Calls `visit` with the organisation of each connection.
  template <typename Visitor>
  void VisitOrganisations(const Visitor& visit) const {
    for (const Entry& entry : this->entries) {
      visit(entry.organisation);
    }
  }

 private:
  struct Entry {
    Connection connection;
    std::string organisation;
    uint64_t session = 0;
    TimePoint since;
  };

  Connection Remove(typename std::vector<Entry>::iterator entry) {
    Connection connection = std::move(entry->connection);
    this->entries.erase(entry);
    return connection;
  }

  std::vector<Entry> entries;  // Ordered by the time since which they are idle.
};

}  // namespace poplarmoor
