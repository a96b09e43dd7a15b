package settingsserver

import (
	"maps"
	"os"
	"slices"
	"sync"

	"pinelb.example/pinelb/internal/persistence"
)

// memoryDisk is a disk in memory, so that the time of a test doesn't depend on that of the machine's disk.
type memoryDisk struct {
	mu    sync.Mutex
	files map[string][]byte
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string][]byte{}} }

func (d *memoryDisk) Create(name string) (persistence.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name] = nil
	return &memoryFile{disk: d, name: name}, nil
}

func (d *memoryDisk) Read(name string, maxBytes int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	content, exists := d.files[name]
	if !exists {
		return nil, os.ErrNotExist
	}
	return slices.Clone(content[:min(int64(len(content)), maxBytes)]), nil
}

func (d *memoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	content, exists := d.files[from]
	if !exists {
		return os.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = content
	return nil
}

func (d *memoryDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, exists := d.files[name]; !exists {
		return os.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

func (d *memoryDisk) Names() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *memoryDisk) Sync() error { return nil }

// Lock always succeeds: no other process has the disk.
func (d *memoryDisk) Lock(string) (unlock func(), err error) { return func() {}, nil }

// memoryFile is a file that is open for writing.
type memoryFile struct {
	disk *memoryDisk
	name string
}

func (f *memoryFile) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.files[f.name] = append(f.disk.files[f.name], p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error  { return nil }
func (f *memoryFile) Close() error { return nil }
