#include "kumquathaven/storage/fileoperations.h"

#include <cerrno>
#include <cstdio>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace kumquathaven::storage {

namespace {

constexpr mode_t folderMode = 0750;
constexpr mode_t fileMode = 0640;

int resultOf(int returned)
{
    return returned < 0 ? errno : 0;
}

int makeFolder(const std::string &folder)
{
    const int ec = resultOf(::mkdir(folder.c_str(), folderMode));
    return ec == EEXIST ? 0 : ec;
}

int list(const std::string &folder, std::vector<std::string> &names)
{
    DIR *stream = ::opendir(folder.c_str());
    if (!stream)
        return errno;
    errno = 0;
    while (const dirent *it = ::readdir(stream)) {
        const std::string name = it->d_name;
        if (name != "." && name != "..")
            names.push_back(name);
    }
    const int ec = errno;
    ::closedir(stream);
    return ec;
}

int read(const std::string &path, std::string &content)
{
    const int handle = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (handle < 0)
        return errno;
    content.clear();
    std::string buf(std::size_t{256} * 1024, '\0');
    int ec = 0;
    while (true) {
        const ssize_t n = ::read(handle, buf.data(), buf.size());
        if (n < 0 && errno == EINTR)
            continue;
        ec = resultOf(static_cast<int>(n));
        if (n <= 0)
            break;
        content.append(buf, 0, static_cast<std::size_t>(n));
    }
    ::close(handle);
    return ec;
}

int open(const std::string &path, int &handle)
{
    handle = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, fileMode);
    return resultOf(handle);
}

int append(int handle, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::write(handle, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return errno;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return 0;
}

int syncFolder(const std::string &folder)
{
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0)
        return errno;
    const int ec = resultOf(::fsync(handle));
    ::close(handle);
    return ec;
}

int lock(const std::string &path, int &handle)
{
    handle = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (handle < 0)
        return errno;
    const int ec = resultOf(::flock(handle, LOCK_EX | LOCK_NB));
    if (ec == 0)
        return 0;
    ::close(handle);
    handle = -1;
    return ec;
}

} // namespace

FileOperations systemFiles()
{
    FileOperations files;
    files.makeFolder = makeFolder;
    files.list = list;
    files.read = read;
    files.open = open;
    files.append = append;
    files.truncate = [](int handle, std::size_t size) {
        return resultOf(::ftruncate(handle, static_cast<off_t>(size)));
    };
    files.sync = [](int handle) {
        return resultOf(::fdatasync(handle));
    };
    files.close = [](int handle) {
        ::close(handle);
    };
    files.syncFolder = syncFolder;
    files.rename = [](const std::string &from, const std::string &to) {
        return resultOf(std::rename(from.c_str(), to.c_str()));
    };
    files.remove = [](const std::string &path) {
        return resultOf(::unlink(path.c_str()));
    };
    files.lock = lock;
    return files;
}

} // namespace kumquathaven::storage
