// Reads operators' files.
#include "config/read-file.h"

#include <filesystem>
#include <fstream>

#include "config/yaml-tree.h"

namespace cornelhead::detail {

Result<std::string> readBoundedFile(const std::string &path)
{
    std::error_code error;
    if (!std::filesystem::is_regular_file(path, error))
        return fail(ErrorKind::NotFound, path + " is not a file",
                    "name a folder that holds the declarations");
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return fail(ErrorKind::NotFound, "cannot open " + path, "check its permissions");
    // One byte beyond the limit is enough for the parser to refuse the file.
    std::string text(YamlLimits::bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad())
        return fail(ErrorKind::NotFound, "cannot read " + path, "check the file system");
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
}

} // namespace cornelhead::detail
