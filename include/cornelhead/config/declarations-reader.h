// Parses the operators' files plans.yaml and customers.yaml.  The examples also have a
// deployment.yaml.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cornelhead/base/error.h"
#include "cornelhead/config/declarations.h"

namespace cornelhead {

constexpr const char *plansFileName = "plans.yaml";
constexpr const char *customersFileName = "customers.yaml";
constexpr const char *deploymentFileName = "deployment.yaml";

/// One fault (invalid or missing value) in an operator's file.
struct SourceFault
{
    std::string file;
    /// Line number, starting at 1.
    std::size_t line = 1;
    std::string message;
    std::string remedy;

    /// Formats the fault as "plans.yaml:7: message; remedy".
    std::string describe() const;
};

/// The contents of both files.
struct DeclarationFiles
{
    std::string plans;
    std::string customers;
};

/// The parsed declarations and all faults; declarations with faults must not be applied.
struct ParsedDeclarations
{
    Declarations declarations;
    std::vector<SourceFault> faults;
};

/// Parses and validates both files.  Reports all faults, ordered by file and line.
///
///     ParsedDeclarations read = readDeclarations({plansText, customersText});
///     for (const SourceFault &fault : read.faults)
///         std::cerr << fault.describe() << '\n';
ParsedDeclarations readDeclarations(const DeclarationFiles &files);

/// Loads both files from a folder.  Fails with `NotFound` if a file cannot be read.
Result<DeclarationFiles> loadDeclarationFiles(const std::string &folder);

} // namespace cornelhead
