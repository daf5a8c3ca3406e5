// File operations in memory that tell durable bytes and names from those a power cut takes away,
// and that fail where a test says.

#ifndef KUMQUATHAVEN_UNITTESTS_STORAGE_MEMORYFILES_H
#define KUMQUATHAVEN_UNITTESTS_STORAGE_MEMORYFILES_H

#include "kumquathaven/base/random.h"
#include "kumquathaven/storage/fileoperations.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace kumquathaven::storage {

class MemoryFiles
{
public:
    /// What a power cut leaves of bytes that were not synced.
    enum class Unsynced { Lost, Torn, Garbled };

    /// Returns operations on these files, which must outlive them.
    FileOperations operations();

    /// Cuts the power: unsynced names and bytes go, handles and locks end, faults are cleared.
    void cutPower(Unsynced unsynced, Random &random);

    /// Ends the process: handles and locks end, every byte stays.
    void killProcess();

    /// Removes every file and folder.
    void loseDisk();

    /// Makes the operation with this number, counted from now, fail once; zero for none.
    void failOnce(std::uint64_t operation, int ec);

    /// Makes the operation with this number, counted from now, and all later ones fail.
    void failFrom(std::uint64_t operation, int ec);

    /// Bytes that all files together may have. Zero: no bound.
    void setCapacity(std::size_t bytes) { m_capacity = bytes; }

    /// Operations that could fail, since the last failOnce() or failFrom().
    std::uint64_t operationCount() const { return m_operations; }

    /// The present content of a file.
    std::string &content(const std::string &path) { return m_names.at(path)->data; }

    std::set<std::string> names() const;

private:
    struct File
    {
        std::string data;
        std::size_t durableBytes = 0;
        /// Durable bytes that were cut off and may come back.
        std::string cutBytes;
    };
    using FilePointer = std::shared_ptr<File>;

    int checkFault();
    int append(int handle, std::string_view bytes);
    int truncate(int handle, std::size_t size);
    int open(const std::string &path, int &handle);
    int lock(const std::string &path, int &handle);
    std::size_t usedBytes() const;
    void syncNames(const std::string &folder);

    std::map<std::string, FilePointer> m_names;
    std::map<std::string, FilePointer> m_durableNames;
    std::set<std::string> m_folders;
    std::map<int, FilePointer> m_open;
    std::map<int, std::string> m_locks;
    int m_nextHandle = 1;
    std::size_t m_capacity = 0;
    std::uint64_t m_operations = 0;
    std::uint64_t m_failAt = 0;
    bool m_failsOn = false;
    int m_failCode = 0;
};

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_UNITTESTS_STORAGE_MEMORYFILES_H
