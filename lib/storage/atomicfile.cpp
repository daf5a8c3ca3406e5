#include "atomicfile.h"

#include "bytes.h"
#include "ioerror.h"
#include "kumquathaven/base/hash.h"

#include <cerrno>

namespace kumquathaven::storage {

namespace {

constexpr std::size_t checksumBytes = 4;

Result<void> writeNew(const FileOperations &files, const std::string &path,
                      std::string_view content)
{
    const int removed = files.remove(path);
    BOOST_LEAF_CHECK(checkIo(removed == ENOENT ? 0 : removed, "storage.remove", path));
    int handle = -1;
    BOOST_LEAF_CHECK(checkIo(files.open(path, handle), "storage.open", path));
    std::string sum;
    putNumber(sum, crc32c(content));
    int ec = files.append(handle, sum);
    if (ec == 0)
        ec = files.append(handle, content);
    if (ec == 0)
        ec = files.sync(handle);
    files.close(handle);
    return checkIo(ec, "storage.write", path);
}

} // namespace

Result<void> replaceFile(const FileOperations &files, const std::string &folder,
                         const std::string &name, std::string_view content)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + ".tmp";
    auto written = writeNew(files, temporary, content);
    if (!written) {
        files.remove(temporary);
        return written;
    }
    BOOST_LEAF_CHECK(checkIo(files.rename(temporary, path), "storage.rename", path));
    return checkIo(files.syncFolder(folder), "storage.syncFolder", folder);
}

Result<std::optional<std::string>> readFile(const FileOperations &files, const std::string &folder,
                                            const std::string &name)
{
    const std::string path = folder + "/" + name;
    std::string content;
    const int ec = files.read(path, content);
    if (ec == ENOENT)
        return std::optional<std::string>();
    BOOST_LEAF_CHECK(checkIo(ec, "storage.read", path));
    ByteReader reader(content);
    const auto sum = reader.number<std::uint32_t>();
    if (!reader.isValid() || crc32c(reader.rest()) != sum)
        return failCorrupt("storage.read", path, "the checksum does not fit the content");
    return std::optional<std::string>(content.substr(checksumBytes));
}

} // namespace kumquathaven::storage
