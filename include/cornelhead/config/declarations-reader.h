// Reads the operators' files: plans.yaml, customers.yaml and, for the examples, deployment.yaml.
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

/// One fault of an operator's file.
struct SourceFault
{
    std::string file;
    /// Counts from 1.
    std::size_t line = 1;
    std::string message;
    std::string remedy;

    /// Renders "plans.yaml:7: message; remedy".
    std::string describe() const;
};

/// The text of both lists.
struct DeclarationFiles
{
    std::string plans;
    std::string customers;
};

/// What was read, with every fault; declarations with faults must not be applied.
struct ParsedDeclarations
{
    Declarations declarations;
    std::vector<SourceFault> faults;
};

/// Reads both lists and finds all faults at once, ordered by file and line.
///
///     ParsedDeclarations read = readDeclarations({plansText, customersText});
///     for (const SourceFault &fault : read.faults)
///         std::cerr << fault.describe() << '\n';
ParsedDeclarations readDeclarations(const DeclarationFiles &files);

/// Reads the files of a folder.  Fails with `NotFound` where one cannot be opened.
Result<DeclarationFiles> loadDeclarationFiles(const std::string &folder);

} // namespace cornelhead
