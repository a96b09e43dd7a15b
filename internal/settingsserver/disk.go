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

// loadRecords reads the records on a disk. Faults are of files that can't be used.
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

// writeRecord makes a record durable. The caller holds writeMu.
func (d *Distributor) writeRecord(r *settingsstore.Record) error {
	return persistence.ReplaceFile(d.disk, r.Service+fileSuffix, persistence.Frame(fileKind, fileVersion, settingsstore.EncodeRecord(r)))
}

// requestWrite has runWriter write what is dirty.
func (d *Distributor) requestWrite() {
	select {
	case d.writeRequested <- struct{}{}:
	default:
	}
}

// runWriter writes what other distributors have sent, until ctx is done and once more then. Of a service that changes faster
// than the disk takes it, the newest record is written.
func (d *Distributor) runWriter(ctx context.Context) {
	failed := false
	for {
		err := d.writeDirty()
		if (err != nil) != failed {
			failed = err != nil
			d.log.Error().Err(err).Bool("kept", !failed).Msg("settings on the disk")
		}
		retry := time.NewTimer(writeRetryInterval)
		if !failed {
			retry.Stop()
		}
		select {
		case <-retry.C:
		case <-d.writeRequested:
		case <-ctx.Done():
			retry.Stop()
			if err := d.writeDirty(); err != nil {
				d.log.Error().Err(err).Bool("kept", false).Msg("settings on the disk")
			}
			return
		}
		retry.Stop()
	}
}

// writeDirty writes all that is dirty. What fails stays dirty; the error is one of those.
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

// writeService writes a service's record, if it is dirty.
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

// publish makes the record durable that next returns, and then merges it and answers those that wait for it: an edition that
// somebody was sent is never assigned again. The error is next's, or a diskError.
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
	if d.store.Record(r.Service).Same(r) { // otherwise a peer's update came in between, and the merged record is to be written
		delete(d.dirty, r.Service)
	}
	d.mu.Unlock()
	return r, nil
}

// diskError says that nothing was published, for it could not be made durable.
type diskError struct{ error }

func (e diskError) Error() string {
	return "distributor: not published, for it can't be kept: " + e.error.Error()
}
