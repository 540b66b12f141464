// Reads the operators' files up to a size limit.
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
                    "pass a folder that contains the declarations");
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return fail(ErrorKind::NotFound, "cannot open " + path, "check its permissions");
    // One byte above the limit is enough for the parser to reject the file.
    std::string text(YamlLimits::bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad())
        return fail(ErrorKind::NotFound, "cannot read " + path, "check the file system");
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
}

} // namespace cornelhead::detail
