// Parses the operators' YAML files into declarations and reports each fault with its line.
#include "cornelhead/config/declarations-reader.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "config/read-file.h"
#include "config/yaml-record.h"
#include "config/yaml-tree.h"
#include "cornelhead/config/validation.h"

namespace cornelhead {
namespace detail {

// The lines of a record and its fields in the file.
struct RecordSource
{
    std::size_t line = 1;
    std::map<std::string, FieldSource> fields;
};

class DeclarationsReader
{
public:
    ParsedDeclarations run(const DeclarationFiles &files)
    {
        const bool hasPlans = readPlansFile(files.plans);
        const bool hasCustomers = readCustomersFile(files.customers);
        // References between the files can be checked only if both could be parsed.
        if (hasPlans && hasCustomers)
            addValidationFaults();
        std::stable_sort(result_.faults.begin(), result_.faults.end(),
                         [](const SourceFault &left, const SourceFault &right) {
                             return std::tie(left.file, left.line)
                                     < std::tie(right.file, right.line);
                         });
        return std::move(result_);
    }

private:
    bool readPlansFile(const std::string &text)
    {
        const std::optional<YamlNode> root = parse(text, planFaults_);
        if (!root)
            return false;
        RecordReader reader(*root, "file", planFaults_);
        reader.items("services", [&](const YamlNode &node) { readService(node); });
        reader.items("plans", [&](const YamlNode &node) { readPlan(node); });
        reader.finish();
        if (result_.declarations.services.empty())
            planFaults_.add(root->line, "no service is declared", "declare at least one service");
        return true;
    }

    bool readCustomersFile(const std::string &text)
    {
        const std::optional<YamlNode> root = parse(text, customerFaults_);
        if (!root)
            return false;
        RecordReader reader(*root, "file", customerFaults_);
        reader.items("customers", [&](const YamlNode &node) { readCustomer(node); });
        reader.finish();
        if (result_.declarations.customers.empty())
            customerFaults_.add(root->line, "no customer is declared",
                                "declare at least one customer");
        return true;
    }

    static std::optional<YamlNode> parse(const std::string &text, FaultSink &faults)
    {
        tl::expected<YamlNode, SourceFault> root = parseYaml(text);
        if (!root) {
            faults.add(std::move(root.error()));
            return std::nullopt;
        }
        if (!std::holds_alternative<YamlNull>(root->content))
            return std::move(*root);
        faults.add(1, "the file is empty", "declare at least one record; see the examples folder");
        return std::nullopt;
    }

    void addSource(RecordKind kind, std::size_t count, RecordReader &reader)
    {
        sources_.emplace(RecordPosition{kind, count - 1},
                         RecordSource{reader.line(), reader.finish()});
    }

    void readService(const YamlNode &node)
    {
        RecordReader reader(node, "service", planFaults_);
        Service service;
        service.id = ServiceId(reader.text("name"));
        service.initialVersion = VersionId(reader.text("initial-version"));
        std::size_t routes = 0;
        reader.items("routes", [&](const YamlNode &route) {
            readRoute(route, service.id);
            ++routes;
        });
        if (routes == 0)
            planFaults_.add(reader.line(), "service '" + service.id.value() + "' has no routes",
                            "add at least one route, such as one with path-prefix /");
        result_.declarations.services.push_back(std::move(service));
        addSource(RecordKind::Service, result_.declarations.services.size(), reader);
    }

    void readRoute(const YamlNode &node, const ServiceId &service)
    {
        RecordReader reader(node, "route", planFaults_);
        Route route;
        route.id = RouteId(service.value() + "/" + reader.text("name"));
        route.service = service;
        route.pathPrefix = reader.text("path-prefix");
        route.priority = static_cast<CallPriority>(
                reader.choice("priority", {"high", "normal", "low"},
                              static_cast<std::size_t>(CallPriority::Normal)));
        route.idempotency = static_cast<Idempotency>(
                reader.choice("idempotency", {"idempotent", "keyed"}, std::nullopt));
        route.timeout = reader.duration("timeout", Route().timeout);
        result_.declarations.routes.push_back(std::move(route));
        addSource(RecordKind::Route, result_.declarations.routes.size(), reader);
    }

    void readPlan(const YamlNode &node)
    {
        RecordReader reader(node, "plan", planFaults_);
        Plan plan;
        plan.id = PlanId(reader.text("name"));
        for (std::string &name : reader.names("services"))
            plan.services.emplace_back(std::move(name));
        for (std::string &name : reader.names("routes"))
            plan.routes.emplace_back(std::move(name));
        plan.ratePerSecond = reader.number("rate");
        plan.burst = reader.number("burst");
        plan.concurrency = reader.number("concurrency");
        result_.declarations.plans.push_back(std::move(plan));
        addSource(RecordKind::Plan, result_.declarations.plans.size(), reader);
    }

    void readCustomer(const YamlNode &node)
    {
        RecordReader reader(node, "customer", customerFaults_);
        Customer customer;
        customer.id = CustomerId(reader.text("name"));
        customer.plan = PlanId(reader.text("plan"));
        result_.declarations.customers.push_back(std::move(customer));
        addSource(RecordKind::Customer, result_.declarations.customers.size(), reader);
    }

    void addValidationFaults()
    {
        for (DeclarationFault &fault : findFaults(result_.declarations))
            addWithSource(std::move(fault));
    }

    void addWithSource(DeclarationFault fault)
    {
        FaultSink &faults
                = fault.record.kind == RecordKind::Customer ? customerFaults_ : planFaults_;
        std::size_t line = 1;
        if (const auto record = sources_.find(fault.record); record != sources_.end()) {
            line = record->second.line;
            const auto field = record->second.fields.find(fault.field);
            if (field != record->second.fields.end()) {
                if (field->second.isFaulty)
                    return;
                const std::vector<std::size_t> &items = field->second.itemLines;
                line = fault.item < items.size() ? items[fault.item] : field->second.line;
            }
        }
        faults.add(line, std::move(fault.message), std::move(fault.remedy));
    }

    ParsedDeclarations result_;
    FaultSink planFaults_{plansFileName, result_.faults};
    FaultSink customerFaults_{customersFileName, result_.faults};
    std::map<RecordPosition, RecordSource> sources_;
};

} // namespace detail

std::string SourceFault::describe() const
{
    return file + ":" + std::to_string(line) + ": " + message + "; " + remedy;
}

ParsedDeclarations readDeclarations(const DeclarationFiles &files)
{
    return detail::DeclarationsReader().run(files);
}

Result<DeclarationFiles> loadDeclarationFiles(const std::string &folder)
{
    Result<std::string> plans = detail::readBoundedFile(folder + "/" + plansFileName);
    if (!plans)
        return tl::unexpected<Error>(plans.error());
    Result<std::string> customers = detail::readBoundedFile(folder + "/" + customersFileName);
    if (!customers)
        return tl::unexpected<Error>(customers.error());
    return DeclarationFiles{std::move(*plans), std::move(*customers)};
}

} // namespace cornelhead
