#include "kumquathaven/storage/datafolder.h"

#include "atomicfile.h"
#include "bytes.h"
#include "ioerror.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <utility>

namespace kumquathaven::storage {

namespace {

constexpr const char *lockName = "lock";
constexpr const char *identityName = "identity";

/// Returns whether a folder has files that an instance which lost its identity left behind.
bool hasState(const std::vector<std::string> &names)
{
    return std::any_of(names.begin(), names.end(), [](const std::string &it) {
        return it != lockName && it != std::string(identityName) + ".tmp";
    });
}

} // namespace

DataFolder::DataFolder(FileOperations files, std::string path)
    : m_files(std::move(files))
    , m_path(std::move(path))
{ }

DataFolder::DataFolder(DataFolder &&other) noexcept
    : m_files(std::move(other.m_files))
    , m_path(std::move(other.m_path))
    , m_identity(other.m_identity)
    , m_groups(std::move(other.m_groups))
    , m_lock(std::exchange(other.m_lock, -1))
{ }

DataFolder &DataFolder::operator=(DataFolder &&other) noexcept
{
    std::swap(m_files, other.m_files);
    std::swap(m_path, other.m_path);
    std::swap(m_identity, other.m_identity);
    std::swap(m_groups, other.m_groups);
    std::swap(m_lock, other.m_lock);
    return *this;
}

DataFolder::~DataFolder()
{
    if (m_lock >= 0)
        m_files.close(m_lock);
}

Result<DataFolder> DataFolder::open(FileOperations files, std::string path,
                                    std::uint64_t newIdentity)
{
    assert(newIdentity != 0 && "zero stands for any identity");
    DataFolder folder(std::move(files), std::move(path));
    BOOST_LEAF_CHECK(
        checkIo(folder.m_files.makeFolder(folder.m_path), "storage.makeFolder", folder.m_path));
    const std::string lockPath = folder.m_path + "/" + lockName;
    const int ec = folder.m_files.lock(lockPath, folder.m_lock);
    if (ec == EWOULDBLOCK) {
        return fail({ErrorCode::Unavailable,
                     "storage.lock",
                     lockPath,
                     "another process uses the data folder",
                     Outcome::NotRun,
                     {}});
    }
    BOOST_LEAF_CHECK(checkIo(ec, "storage.lock", lockPath));
    BOOST_LEAF_CHECK(folder.load(newIdentity));
    return folder;
}

Result<void> DataFolder::load(std::uint64_t newIdentity)
{
    BOOST_LEAF_AUTO(content, readFile(m_files, m_path, identityName));
    if (!content) {
        std::vector<std::string> names;
        BOOST_LEAF_CHECK(checkIo(m_files.list(m_path, names), "storage.list", m_path));
        if (hasState(names)) {
            return failCorrupt("storage.identity", m_path,
                               "the folder has state but no identity; move it away to rejoin");
        }
        m_identity = newIdentity;
        return save();
    }
    ByteReader reader(*content);
    m_identity = reader.number<std::uint64_t>();
    while (reader.isValid() && !reader.rest().empty())
        m_groups.insert(reader.number<std::uint32_t>());
    if (!reader.isComplete() || m_identity == 0)
        return failCorrupt("storage.identity", m_path, "the identity is malformed");
    return {};
}

Result<void> DataFolder::save()
{
    std::string content;
    putNumber(content, m_identity);
    for (const std::uint32_t it : m_groups)
        putNumber(content, it);
    return replaceFile(m_files, m_path, identityName, content);
}

std::string DataFolder::groupFolder(std::uint32_t group) const
{
    return m_path + "/group-" + std::to_string(group);
}

Result<void> DataFolder::addGroup(std::uint32_t group)
{
    m_groups.insert(group);
    auto saved = save();
    if (!saved)
        m_groups.erase(group);
    return saved;
}

} // namespace kumquathaven::storage
