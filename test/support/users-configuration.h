// Renders configurations in the format of the users' operators, for tests.
#pragma once

#include <string>

namespace cornelhead {

/// Renders one row of the route table, with the columns of `usersConfiguration`.
inline std::string usersRoute(const std::string &name, const std::string &prefix,
                              const std::string &kind, const std::string &service,
                              const std::string &split = "null", int priority = 1)
{
    const std::string target = service.empty() ? "null" : "\"" + service + "\"";
    return "[\"" + name + "\",\"site.example\",\"" + prefix + "\",\"" + kind
            + R"(","2000ms","500ms",)" + std::to_string(priority) + "," + split + ",2," + target
            + "]";
}

/// Renders one row of the customers, with the columns of `usersConfiguration`.
inline std::string usersCustomer(const std::string &name, const std::string &key,
                                 double ratePerSecond, double burst,
                                 const std::string &priority = "null")
{
    return "[\"" + name + "\",[\"" + key + "\"]," + priority + "," + std::to_string(ratePerSecond)
            + "," + std::to_string(burst) + "]";
}

/// Renders a configuration of the services `bookings` and `catalogue`, in which callers need keys
/// if `customers` has rows.
inline std::string usersConfiguration(const std::string &version, const std::string &rows,
                                      const std::string &customers = {})
{
    const std::string tenants = customers.empty()
            ? std::string()
            : R"("tenants":{"columns":["name","api-keys","priority","rate-per-s","burst"],"rows":[)"
                    + customers + "]},";
    return R"({"version":")" + version + R"(",)" + tenants
            + R"("routes":{"columns":["name","host","prefix","kind","timeout","slo","priority",)"
              R"("split","attempts","service"],"rows":[)"
            + rows
            + R"(]},"services":{"columns":["name","health-path","max-conns","protocol","tls"],)"
              R"("rows":[["bookings","/healthz",130,"h1",false],["catalogue","/healthz",130,"h1",)"
              R"(false]]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,)"
              R"("header-timeout":"3000ms","idle-timeout":"15000ms"},"base-version":"00000000"})";
}

} // namespace cornelhead
