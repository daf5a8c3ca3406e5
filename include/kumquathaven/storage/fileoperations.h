// The file operations that durable state is built on, as plain functions that a test can replace.

#ifndef KUMQUATHAVEN_STORAGE_FILEOPERATIONS_H
#define KUMQUATHAVEN_STORAGE_FILEOPERATIONS_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquathaven::storage {

/// Operations on files and folders. Each returns 0 or an errno value. A handle is a number that
/// open gave out and close takes back.
struct FileOperations
{
    /// Creates a folder. A folder that exists already is no error.
    std::function<int(const std::string &folder)> makeFolder;
    /// Puts the names of the files and folders inside a folder into \p names, in any order.
    std::function<int(const std::string &folder, std::vector<std::string> &names)> list;
    /// Reads a whole file. ENOENT if there is none.
    std::function<int(const std::string &path, std::string &content)> read;
    /// Opens a file for appending; creates it if there is none.
    std::function<int(const std::string &path, int &handle)> open;
    /// Appends all of \p bytes. After an error any part of them may have been written.
    std::function<int(int handle, std::string_view bytes)> append;
    /// Shortens a file to \p size bytes.
    std::function<int(int handle, std::size_t size)> truncate;
    /// Makes the content of a file durable.
    std::function<int(int handle)> sync;
    std::function<void(int handle)> close;
    /// Makes the names inside a folder durable.
    std::function<int(const std::string &folder)> syncFolder;
    /// Gives a file a new name in place of the file that had it.
    std::function<int(const std::string &from, const std::string &to)> rename;
    std::function<int(const std::string &path)> remove;
    /// Opens a file and takes the lock that keeps other processes out. EWOULDBLOCK if another
    /// process has it. The lock ends when the handle is closed.
    std::function<int(const std::string &path, int &handle)> lock;
};

/// Returns the operations of the operating system.
FileOperations systemFiles();

} // namespace kumquathaven::storage

#endif // KUMQUATHAVEN_STORAGE_FILEOPERATIONS_H
