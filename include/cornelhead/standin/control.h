// The control endpoints of the stand-ins: commands with parameters in the query.
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

/// Reads the parameters of one command and remembers the first fault.
class ControlParameters
{
public:
    explicit ControlParameters(const std::map<std::string, std::string> &query) : query_(&query) { }

    bool has(const std::string &name) const { return query_->contains(name); }
    std::string text(const std::string &name);
    std::uint64_t integer(const std::string &name, std::uint64_t most);
    double real(const std::string &name, double most);
    Milliseconds duration(const std::string &name);
    /// Reads a comma-separated list.
    std::vector<std::string> list(const std::string &name);
    void addFault(const std::string &name, const std::string &remedy);

    const std::optional<Error> &fault() const { return fault_; }

private:
    const std::map<std::string, std::string> *query_;
    std::optional<Error> fault_;
};

/// Runs a command whose parameters were read; gives the work to be done when they have no fault.
using ControlCommand = std::function<std::function<void()>(ControlParameters &)>;

/// Serves POST /control/<name>?<parameters>.
class ControlTable
{
public:
    void add(const std::string &name, ControlCommand command)
    {
        commands_[name] = std::move(command);
    }
    /// Answers 200, 400 naming the wrong parameter, or 404 naming the commands there are.
    HttpResponse run(const HttpRequest &request) const;

private:
    std::map<std::string, ControlCommand> commands_;
};

/// Tells whether the path belongs to a control table.
bool isControlPath(const std::string &path);

} // namespace cornelhead
