#include "memoryfiles.h"

#include <algorithm>
#include <cerrno>

namespace kumquathaven::storage {

namespace {

bool isInside(const std::string &path, const std::string &folder)
{
    return path.size() > folder.size() + 1 && path.compare(0, folder.size(), folder) == 0
        && path[folder.size()] == '/' && path.find('/', folder.size() + 1) == std::string::npos;
}

} // namespace

FileOperations MemoryFiles::operations()
{
    FileOperations files;
    files.makeFolder = [this](const std::string &folder) {
        m_folders.insert(folder);
        return 0;
    };
    files.list = [this](const std::string &folder, std::vector<std::string> &names) {
        for (const auto &it : m_names) {
            if (isInside(it.first, folder))
                names.push_back(it.first.substr(folder.size() + 1));
        }
        for (const std::string &it : m_folders) {
            if (isInside(it, folder))
                names.push_back(it.substr(folder.size() + 1));
        }
        return 0;
    };
    files.read = [this](const std::string &path, std::string &content) {
        const auto it = m_names.find(path);
        if (it == m_names.end())
            return ENOENT;
        content = it->second->data;
        return 0;
    };
    files.open = [this](const std::string &path, int &handle) {
        return open(path, handle);
    };
    files.append = [this](int handle, std::string_view bytes) {
        return append(handle, bytes);
    };
    files.truncate = [this](int handle, std::size_t size) {
        return truncate(handle, size);
    };
    files.sync = [this](int handle) {
        if (const int ec = checkFault())
            return ec;
        File &file = *m_open.at(handle);
        file.durableBytes = file.data.size();
        file.cutBytes.clear();
        return 0;
    };
    files.close = [this](int handle) {
        m_open.erase(handle);
        m_locks.erase(handle);
    };
    files.syncFolder = [this](const std::string &folder) {
        if (const int ec = checkFault())
            return ec;
        syncNames(folder);
        return 0;
    };
    files.rename = [this](const std::string &from, const std::string &to) {
        if (const int ec = checkFault())
            return ec;
        m_names[to] = m_names.at(from);
        m_names.erase(from);
        return 0;
    };
    files.remove = [this](const std::string &path) {
        if (const int ec = checkFault())
            return ec;
        return m_names.erase(path) > 0 ? 0 : ENOENT;
    };
    files.lock = [this](const std::string &path, int &handle) {
        return lock(path, handle);
    };
    return files;
}

int MemoryFiles::checkFault()
{
    ++m_operations;
    if (m_failAt == 0 || m_operations < m_failAt)
        return 0;
    return m_operations == m_failAt || m_failsOn ? m_failCode : 0;
}

int MemoryFiles::open(const std::string &path, int &handle)
{
    if (const int ec = checkFault())
        return ec;
    FilePointer &file = m_names[path];
    if (!file)
        file = std::make_shared<File>();
    handle = m_nextHandle++;
    m_open[handle] = file;
    return 0;
}

// A failed append leaves a part of its bytes.
int MemoryFiles::append(int handle, std::string_view bytes)
{
    File &file = *m_open.at(handle);
    if (const int ec = checkFault()) {
        file.data.append(bytes.substr(0, bytes.size() / 2));
        return ec;
    }
    if (m_capacity > 0) {
        const std::size_t used = usedBytes();
        const std::size_t room = m_capacity > used ? m_capacity - used : 0;
        if (bytes.size() > room) {
            file.data.append(bytes.substr(0, room));
            return ENOSPC;
        }
    }
    file.data.append(bytes);
    return 0;
}

int MemoryFiles::truncate(int handle, std::size_t size)
{
    if (const int ec = checkFault())
        return ec;
    File &file = *m_open.at(handle);
    if (size < file.durableBytes) {
        file.cutBytes = file.data.substr(size, file.durableBytes - size) + file.cutBytes;
        file.durableBytes = size;
    }
    file.data.resize(size);
    return 0;
}

int MemoryFiles::lock(const std::string &path, int &handle)
{
    for (const auto &it : m_locks) {
        if (it.second == path)
            return EWOULDBLOCK;
    }
    handle = m_nextHandle++;
    m_locks[handle] = path;
    return 0;
}

std::size_t MemoryFiles::usedBytes() const
{
    std::size_t sum = 0;
    for (const auto &it : m_names)
        sum += it.second->data.size();
    return sum;
}

void MemoryFiles::syncNames(const std::string &folder)
{
    for (auto it = m_durableNames.begin(); it != m_durableNames.end();) {
        if (isInside(it->first, folder) && m_names.count(it->first) == 0)
            it = m_durableNames.erase(it);
        else
            ++it;
    }
    for (const auto &it : m_names) {
        if (isInside(it.first, folder))
            m_durableNames[it.first] = it.second;
    }
}

void MemoryFiles::cutPower(Unsynced unsynced, Random &random)
{
    m_names = m_durableNames;
    for (const auto &it : m_names) {
        File &file = *it.second;
        std::string tail = file.cutBytes;
        if (tail.empty() && unsynced != Unsynced::Lost && file.data.size() > file.durableBytes) {
            tail = file.data.substr(file.durableBytes);
            tail.resize(random.below(tail.size() + 1));
            if (unsynced == Unsynced::Garbled && !tail.empty())
                tail[random.below(tail.size())] ^= 0x55;
        }
        file.data.resize(std::min(file.data.size(), file.durableBytes));
        file.data += tail;
        file.durableBytes = file.data.size();
        file.cutBytes.clear();
    }
    killProcess();
}

void MemoryFiles::killProcess()
{
    m_open.clear();
    m_locks.clear();
    failOnce(0, 0);
}

void MemoryFiles::loseDisk()
{
    killProcess();
    m_names.clear();
    m_durableNames.clear();
    m_folders.clear();
}

void MemoryFiles::failOnce(std::uint64_t operation, int ec)
{
    m_operations = 0;
    m_failAt = operation;
    m_failsOn = false;
    m_failCode = ec;
}

void MemoryFiles::failFrom(std::uint64_t operation, int ec)
{
    failOnce(operation, ec);
    m_failsOn = true;
}

std::set<std::string> MemoryFiles::names() const
{
    std::set<std::string> names;
    for (const auto &it : m_names)
        names.insert(it.first);
    return names;
}

} // namespace kumquathaven::storage
