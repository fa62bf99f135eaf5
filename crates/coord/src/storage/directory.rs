//! A directory of the file system.

use std::{
    collections::BTreeMap,
    fs, io,
    io::{Read, Seek, Write},
    path,
};

use crate::storage::{Disk, Error, File, Flush, Flusher};

/// The file that is locked, so that no second process opens the directory.
const LOCK_FILE: &str = "lock";

/// A directory of the file system, locked for this process.
#[derive(Debug)]
pub struct Directory {
    path: path::PathBuf,
    writers: BTreeMap<String, Writer>,
    _lock: fs::File,
}

/// A file that is open for appending.
#[derive(Debug)]
struct Writer {
    file: fs::File,
    /// Whether the directory entry of the file is durable.
    entry_synced: bool,
}

impl Directory {
    /// Opens and locks a directory, which is created if it is absent.
    ///
    /// The entry of the directory in its parent is durable on success, as are all earlier
    /// changes of the parent's entries, unless the parent cannot be opened.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created or synced, or cannot be locked because
    /// another process uses it.
    pub fn open(path: impl Into<path::PathBuf>) -> Result<Directory, Error> {
        let path = path.into();
        let name = path.display().to_string();
        fs::create_dir_all(&path).map_err(|error| Error::io("create", &name, error))?;
        // An earlier process may have created the directory and died before this sync.
        sync_parent(&path).map_err(|error| Error::io("sync the parent of", &name, error))?;
        let lock = fs::File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(|error| Error::io("open", LOCK_FILE, error))?;
        match lock.try_lock() {
            Ok(()) => Ok(Directory {
                path,
                writers: BTreeMap::new(),
                _lock: lock,
            }),
            Err(fs::TryLockError::WouldBlock) => Err(Error::Locked {
                file: path.join(LOCK_FILE).display().to_string(),
            }),
            Err(fs::TryLockError::Error(error)) => Err(Error::io("lock", LOCK_FILE, error)),
        }
    }

    fn sync_entries(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }

    fn writer(&mut self, name: &str) -> io::Result<&mut Writer> {
        if !self.writers.contains_key(name) {
            let file = fs::File::options()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            let writer = Writer {
                file,
                entry_synced: false,
            };
            self.writers.insert(name.to_owned(), writer);
        }
        self.writers
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_of(&mut self, name: &str) -> io::Result<Flush> {
        let writer = self.writer(name)?;
        let file = writer.file.try_clone()?;
        let entry_synced = std::mem::replace(&mut writer.entry_synced, true);
        let entries = match entry_synced {
            true => None,
            false => Some(fs::File::open(&self.path)?),
        };
        let name = name.to_owned();
        Ok(Flush::new(move || {
            sync_files(&file, entries.as_ref()).map_err(|error| Error::io("sync", &name, error))
        }))
    }

    fn read_file(&self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let mut file = fs::File::open(self.path.join(name))?;
        file.seek(io::SeekFrom::Start(offset))?;
        let mut data = Vec::new();
        file.take(length as u64).read_to_end(&mut data)?;
        Ok(data)
    }

    fn remove_file(&mut self, name: &str) -> io::Result<()> {
        self.writers.remove(name);
        match fs::remove_file(self.path.join(name)) {
            Ok(()) => self.sync_entries(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn rename_file(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.writers.remove(from);
        self.writers.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_entries()
    }

    fn list_files(&self) -> io::Result<Vec<File>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let metadata = entry.metadata()?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if metadata.is_file() && name != LOCK_FILE {
                files.push(File {
                    name,
                    size: metadata.len(),
                });
            }
        }
        files.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(files)
    }
}

fn sync_parent(path: &path::Path) -> io::Result<()> {
    let parent = match path.parent() {
        Some(parent) if parent != path::Path::new("") => parent,
        Some(_) => path::Path::new("."),
        None => return Ok(()),
    };
    match fs::File::open(parent) {
        Err(error) if error.kind() == io::ErrorKind::PermissionDenied => {
            log::warn!(
                "{}: cannot be opened to be synced: {error}",
                parent.display()
            );
            Ok(())
        }
        opened => opened?.sync_all(),
    }
}

/// Syncs the content of a file, and the directory if one is given because the file's
/// entry in it is not durable yet.
fn sync_files(file: &fs::File, entries: Option<&fs::File>) -> io::Result<()> {
    file.sync_data()?;
    entries.map_or(Ok(()), fs::File::sync_all)
}

impl Flusher for Directory {
    fn prepare_sync(&mut self, name: &str) -> Result<Flush, Error> {
        self.sync_of(name)
            .map_err(|error| Error::io("sync", name, error))
    }
}

impl Disk for Directory {
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), Error> {
        self.writer(name)
            .and_then(|writer| writer.file.write_all(data))
            .map_err(|error| Error::io("append to", name, error))
    }

    fn sync(&mut self, name: &str) -> Result<(), Error> {
        self.prepare_sync(name)?.run()
    }

    fn close(&mut self, name: &str) {
        self.writers.remove(name);
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, Error> {
        self.read_file(name, offset, length)
            .map_err(|error| Error::io("read", name, error))
    }

    fn remove(&mut self, name: &str) -> Result<(), Error> {
        self.remove_file(name)
            .map_err(|error| Error::io("remove", name, error))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error> {
        self.rename_file(from, to)
            .map_err(|error| Error::io("rename", from, error))
    }

    fn list(&mut self) -> Result<Vec<File>, Error> {
        self.list_files()
            .map_err(|error| Error::io("list", &self.path.display().to_string(), error))
    }
}
