package audit

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"pinelb.example/pinelb/internal/version"
)

const (
	stateVersion  = 1
	maxStateBytes = 1 << 30 // what is kept of all sidecars is bounded, and stays below it
)

// storedAudit is an audit in a file, for the one that continues it.
type storedAudit struct {
	Version  int                       `json:"version"`
	Saved    version.Millis            `json:"saved_ms"` // Unix time
	Site     string                    `json:"site"`
	Epoch    uint64                    `json:"epoch"`
	History  *History                  `json:"history"`
	Memories map[string]*sidecarRecord `json:"sidecars"`
}

// Save replaces the file by what was gathered, atomically.
func (a *Audit) Save(path string, now version.Millis) error {
	text, err := json.Marshal(storedAudit{stateVersion, now, a.site, a.epoch, &a.history, a.records})
	if err != nil {
		return fmt.Errorf("audit: kept: %w", err)
	}
	return replaceFile(path, text)
}

// Load continues an audit from a file. A missing file is ignored; one that can't be read is an error, for an audit that
// continues from nothing would assign an epoch twice.
func (a *Audit) Load(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return fmt.Errorf("audit: kept: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := readLimited(f, maxStateBytes)
	if err == nil {
		err = a.restore(text)
	}
	if err != nil {
		return fmt.Errorf("audit: kept: %s: %w", path, err)
	}
	return nil
}

func (a *Audit) restore(text []byte) error {
	var k storedAudit
	if err := json.Unmarshal(text, &k); err != nil {
		return err
	}
	switch {
	case k.Version != stateVersion:
		return fmt.Errorf("version: %d, %d is read", k.Version, stateVersion)
	case a.options.Site != "" && k.Site != "" && k.Site != a.options.Site:
		return fmt.Errorf("site: is of %q, not %q", k.Site, a.options.Site)
	case k.History == nil:
		return errors.New("history is missing")
	}
	for name, p := range k.History.Sidecars {
		if p == nil {
			return fmt.Errorf("history: nothing stands under %q", name)
		}
	}
	for _, s := range a.options.Inventory.Sidecars { // one that isn't listed any more has no row, but a history
		if m := k.Memories[s.Name]; m != nil {
			a.records[s.Name] = m
		}
	}
	if a.site == "" {
		a.site = k.Site
	}
	a.epoch, a.history = k.Epoch, *k.History
	return nil
}

// replaceFile replaces a file by a text, atomically.
func replaceFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new*")
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("audit: %w", errors.Join(err, os.Remove(f.Name())))
	}
	return nil
}
