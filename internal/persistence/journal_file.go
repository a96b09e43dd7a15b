package persistence

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/internal/inflight"
)

const (
	journalPrefix   = "effects-" // of a journal's file name; its number follows
	maxJournalBytes = 4 << 20    // beyond which the next file is begun
	maxReadBytes    = 4 * maxJournalBytes
	sumDigits       = 16 // of a line's checksum, which is hexadecimal
)

// errLocked says that another process has a journal's new file locked.
var errLocked = errors.New("another process's")

// journalHeader is a journal's first line: the moment by which its times are read.
type journalHeader struct {
	Clock Timestamp `json:"Clock"`
}

// IsJournal reports whether a file of that name is a journal of effects.
func IsJournal(name string) bool { return strings.HasPrefix(name, journalPrefix) }

// nextJournalName returns the name after the last of those that there are.
func nextJournalName(names []string) string {
	last := 0
	for _, name := range names {
		if i, err := strconv.Atoi(strings.TrimPrefix(name, journalPrefix)); err == nil && IsJournal(name) {
			last = max(last, i)
		}
	}
	return fmt.Sprintf("%s%09d", journalPrefix, last+1)
}

// appendLine appends a line: the checksum (xxHash64) of a value's JSON, and the JSON.
func appendLine(b []byte, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		return b // no value that is written here fails
	}
	return append(append(fmt.Appendf(b, "%016x ", xxhash.Sum64(text)), text...), '\n')
}

// appendNote appends a change as a line. One without an effect that could take place twice is left out.
func appendNote(b []byte, n inflight.Update) []byte {
	if n.Retention == 0 || n.SentAt.IsZero() && !n.Retracted {
		return b // nothing of it has begun
	}
	return appendLine(b, n)
}

// parseLine returns the JSON of a line, and whether it is as it was written.
func parseLine(line []byte) (text []byte, ok bool) {
	sum, text, found := bytes.Cut(bytes.TrimSuffix(line, []byte{'\n'}), []byte{' '})
	if !found || len(sum) != sumDigits {
		return nil, false
	}
	want, err := strconv.ParseUint(string(sum), 16, 64)
	return text, err == nil && xxhash.Sum64(text) == want
}

// DecodeJournal reads a journal at the moment now, to which the notes' times are converted. Lines that are cut off or changed
// are skipped and counted: what a power cut has left half written had not been waited for.
func DecodeJournal(text []byte, now Timestamp) (notes []inflight.Update, skipped int) {
	var start *Timestamp // by the header; nil until there was one
	for line := range bytes.Lines(text) {
		body, ok := parseLine(line)
		if !ok {
			skipped++
			continue
		}
		var h journalHeader
		if start == nil && json.Unmarshal(body, &h) == nil && !h.Clock.Wall.IsZero() {
			start = &h.Clock
			continue
		}
		var n inflight.Update
		if json.Unmarshal(body, &n) != nil || n.Txn == "" || n.Class == "" {
			skipped++
			continue
		}
		if start != nil && !n.SentAt.IsZero() { // however the wall clock has been set since
			n.SentAt = now.Wall.Add(-now.Since(*start) + n.SentAt.Sub(start.Wall))
		}
		notes = append(notes, n)
	}
	return notes, skipped
}

// Recovered is what journals say that processes have left which have ended.
type Recovered struct {
	Notes   []inflight.Update // oldest first
	Skipped int               // lines that could not be read
	Files   []string          // the journals' names, for Journal.Start
	Alive   int               // journals that other processes use, which are not read
}

// RecoverEffects reads the journals of processes that have ended, at the moment now. The caller makes sure that no other
// process calls it at the same time: by the lock of the directory, or as the successor of the process that has that lock.
func RecoverEffects(d Disk, now Timestamp) (Recovered, error) {
	names, err := d.Names()
	if err != nil {
		return Recovered{}, fmt.Errorf("durable: journal: %w", err)
	}
	var r Recovered
	for _, name := range names {
		if !IsJournal(name) {
			continue
		}
		unlock, err := d.Lock(name)
		if err != nil || unlock == nil {
			r.Alive++
			continue
		}
		unlock()
		text, err := d.Read(name, maxReadBytes)
		if err != nil {
			return Recovered{}, fmt.Errorf("durable: journal: %w", err)
		}
		notes, skipped := DecodeJournal(text, now)
		r.Notes = append(r.Notes, notes...)
		r.Skipped += skipped
		r.Files = append(r.Files, name)
	}
	return r, nil
}
