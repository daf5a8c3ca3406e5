// The folder that holds all durable state of one instance, and the identity of its storage.

#ifndef KUMQUATHAVEN_STORAGE_DATAFOLDER_H
#define KUMQUATHAVEN_STORAGE_DATAFOLDER_H

#include "kumquathaven/base/result.h"
#include "kumquathaven/storage/fileoperations.h"

#include <cstdint>
#include <set>
#include <string>

namespace kumquathaven::storage {

/// An open data folder. It stays locked against other processes as long as the object lives.
class DataFolder
{
public:
    /// Opens a folder and creates what is missing. A folder without an identity is given
    /// \p newIdentity, a random number other than zero. Errors: Unavailable if another process has
    /// the folder, Corrupt if the identity can't be read, Storage for any other failure.
    static Result<DataFolder> open(FileOperations files, std::string path,
                                   std::uint64_t newIdentity);

    DataFolder(DataFolder &&other) noexcept;
    DataFolder &operator=(DataFolder &&other) noexcept;
    DataFolder(const DataFolder &) = delete;
    DataFolder &operator=(const DataFolder &) = delete;
    ~DataFolder();

    /// The random number drawn when the folder was empty. Storage with another identity is another
    /// member to its peers, since it has forgotten every vote and acknowledgement.
    std::uint64_t identity() const { return m_identity; }

    /// Path of the folder, as it was given to open().
    const std::string &path() const { return m_path; }
    const FileOperations &files() const { return m_files; }

    /// Returns the folder of a log group.
    std::string groupFolder(std::uint32_t group) const;

    /// Returns whether a log was ever created for the group. If it was, its files must exist.
    bool hasGroup(std::uint32_t group) const { return m_groups.count(group) > 0; }

    /// Records durably that a log was created for the group.
    Result<void> addGroup(std::uint32_t group);

private:
    DataFolder(FileOperations files, std::string path);

    Result<void> load(std::uint64_t newIdentity);
    Result<void> save();

    FileOperations m_files;
    std::string m_path;
    std::uint64_t m_identity = 0;
    std::set<std::uint32_t> m_groups;
    int m_lock = -1;
};

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_DATAFOLDER_H
