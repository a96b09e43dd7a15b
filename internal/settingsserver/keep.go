package settingsserver

import (
	"context"
	"fmt"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/persistence"
	"pinelb.example/pinelb/internal/settingsstore"
)

const (
	fileKind           = "settings"
	fileVersion        = 1
	fileSuffix         = ".settings"
	maxFrameBytes      = 128 // bytes
	writeRetryInterval = time.Second
)

// load reads the records that a disk holds. Faults are of files that can't be used.
func loadRecords(disk persistence.Disk) (records []*settingsstore.Record, faults []error, err error) {
	names, err := disk.Names()
	if err != nil {
		return nil, nil, err
	}
	for _, name := range names {
		service, ours := strings.CutSuffix(name, fileSuffix)
		if !ours {
			continue
		}
		r, err := readRecord(disk, name)
		if err == nil && r.Service != service {
			err = fmt.Errorf("is of the service %s", r.Service)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name, err))
			continue
		}
		records = append(records, r)
	}
	return records, faults, nil
}

func readRecord(disk persistence.Disk, name string) (*settingsstore.Record, error) {
	text, err := disk.Read(name, settingsstore.MaxRecordBytes+maxFrameBytes)
	if err != nil {
		return nil, err
	}
	body, err := persistence.Unframe(fileKind, fileVersion, text)
	if err != nil {
		return nil, err
	}
	return settingsstore.ParseRecord(body)
}

// write keeps a record. The caller holds writing.
func (d *Distributor) writeRecord(r *settingsstore.Record) error {
	return persistence.ReplaceFile(d.disk, r.Service+fileSuffix, persistence.Frame(fileKind, fileVersion, settingsstore.EncodeRecord(r)))
}

// hurry has what is dirty be kept.
func (d *Distributor) requestWrite() {
	select {
	case d.writeRequested <- struct{}{}:
	default:
	}
}

// runWriter keeps what others told, until ctx ends and once more then. Of a service that changes faster than the disk takes it the
// newest is kept.
func (d *Distributor) runWriter(ctx context.Context) {
	failed := false
	for {
		err := d.writeDirty()
		if (err != nil) != failed {
			failed = err != nil
			d.log.Error().Err(err).Bool("kept", !failed).Msg("settings on the disk")
		}
		again := time.NewTimer(writeRetryInterval)
		if !failed {
			again.Stop()
		}
		select {
		case <-again.C:
		case <-d.writeRequested:
		case <-ctx.Done():
			again.Stop()
			if err := d.writeDirty(); err != nil {
				d.log.Error().Err(err).Bool("kept", false).Msg("settings on the disk")
			}
			return
		}
		again.Stop()
	}
}

// writeDirty keeps all that is dirty; what fails stays so.
func (d *Distributor) writeDirty() (failed error) {
	d.mu.Lock()
	services := make([]string, 0, len(d.dirty))
	for service := range d.dirty {
		services = append(services, service)
	}
	d.mu.Unlock()
	for _, service := range services {
		if err := d.writeService(service); err != nil {
			failed = err
		}
	}
	return failed
}

func (d *Distributor) writeService(service string) error {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.mu.Lock()
	r, dirty := d.store.Record(service), d.dirty[service]
	delete(d.dirty, service)
	d.mu.Unlock()
	if !dirty {
		return nil
	}
	err := d.writeRecord(r)
	if err != nil {
		d.mu.Lock()
		d.dirty[service] = true
		d.mu.Unlock()
	}
	return err
}

// publish has the record that next makes be kept, and then merged and told: an edition that was told is never given again. The
// error is next's, or the disk's as a diskError.
func (d *Distributor) publish(next func() (*settingsstore.Record, error)) (*settingsstore.Record, error) {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.mu.Lock()
	r, err := next()
	d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := d.writeRecord(r); err != nil {
		return nil, diskError{err}
	}
	if err := d.merge(r); err != nil {
		return nil, err
	}
	d.mu.Lock()
	if d.store.Record(r.Service).Same(r) { // else a peer's word came between, and both have to be kept
		delete(d.dirty, r.Service)
	}
	d.mu.Unlock()
	return r, nil
}

// diskError is a disk's refusal: nothing was published.
type diskError struct{ error }

func (e diskError) Error() string {
	return "distributor: not published, for it can't be kept: " + e.error.Error()
}
