// The control endpoints of the simulated servers: commands with parameters in the query string.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cornelhead/base/clock.h"
#include "cornelhead/base/error.h"
#include "cornelhead/net/http.h"

namespace cornelhead {

/// Parses the parameters of one command and keeps the first error.
class ControlParameters
{
public:
    explicit ControlParameters(const std::map<std::string, std::string> &query) : query_(&query) { }

    bool has(const std::string &name) const { return query_->contains(name); }
    std::string text(const std::string &name);
    std::uint64_t integer(const std::string &name, std::uint64_t max);
    double real(const std::string &name, double max);
    Milliseconds duration(const std::string &name);
    /// Parses a comma-separated list.
    std::vector<std::string> list(const std::string &name);
    void addFault(const std::string &name, const std::string &remedy);

    const std::optional<Error> &fault() const { return fault_; }

private:
    const std::map<std::string, std::string> *query_;
    std::optional<Error> fault_;
};

/// Parses the parameters of a command and returns the action to run if all of them are valid.
using ControlCommand = std::function<std::function<void()>(ControlParameters &)>;

/// Serves POST /control/<name>?<parameters>.
class ControlTable
{
public:
    void add(const std::string &name, ControlCommand command)
    {
        commands_[name] = std::move(command);
    }
    /// Returns 200, 400 naming the invalid parameter, or 404 listing the available commands.
    HttpResponse run(const HttpRequest &request) const;

private:
    std::map<std::string, ControlCommand> commands_;
};

/// Returns whether the path is below /control/.
bool isControlPath(const std::string &path);

} // namespace cornelhead
