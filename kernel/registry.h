#pragma once

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace poplarmoor {

/// Factories of an interface's plug-ins, by name. A plug-in registers itself with a namespace-scope
/// Registry<Interface>::Entry in its source file.
template <typename Interface>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>()>;

  /// Registers a factory for the lifetime of the program.
  struct Entry {
    Entry(std::string name, Factory factory) {
      Factories().emplace(std::move(name), std::move(factory));
    }
  };

  /// @param name Name of the plug-in, as in the settings.
  /// @returns A new plug-in.
  /// @throws std::invalid_argument with the known names when there is no such plug-in.
  static std::unique_ptr<Interface> Create(const std::string& name) {
    const auto found = Factories().find(name);
    if (found == Factories().end()) {
      std::string known;
      for (const std::string& each : Names()) {
        known += (known.empty() ? "" : ", ") + each;
      }
      throw std::invalid_argument("no plug-in named '" + name + "'; known: " + known);
    }
    return found->second();
  }

  /// @returns The names of all registered plug-ins, sorted.
  static std::vector<std::string> Names() {
    std::vector<std::string> names;
    for (const auto& entry : Factories()) {
      names.push_back(entry.first);
    }
    return names;
  }

 private:
  static std::map<std::string, Factory>& Factories() {
    static std::map<std::string, Factory> factories;
    return factories;
  }
};

}  // namespace poplarmoor
