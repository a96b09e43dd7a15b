package replica

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/replication"
)

const ownAddress = "10.0.0.1:1"

// submitTimeout is long enough for a busy machine.
const submitTimeout = 30 * time.Second

// startAlone starts the only replica of a core that may lose none. Commits go to the channel.
func startAlone(directory string, bootstrap bool) (*Replica, chan Commit) {
	commits := make(chan Commit, 100)
	began := time.Now()
	options := Options{
		Address: ownAddress, Directory: directory, Votes: true, Timing: replication.DefaultTiming(), Log: zap.NewNop(),
		LocalityOf: func(string) replication.Locality {
			return replication.Locality{Zone: "z", Known: true, CountsForQuorum: true}
		},
		Peers:    func() []string { return nil },
		Send:     func(string, uint64, replication.Envelope) {},
		OnCommit: func(c Commit) { commits <- c }, OnViewChange: func(replication.View) {},
		Clock: func() time.Duration { return time.Since(began) },
	}
	if bootstrap {
		options.BootstrapWitnesses = []string{ownAddress}
	}
	r, err := Start(options)
	So(err, ShouldBeNil)
	return r, commits
}

func newChange(base int64, body string) *config.Change {
	return &config.Change{Base: base, Body: []byte(body)}
}

// submit retries a change until its outcome is known, as an operator does.
func submit(r *Replica, change *config.Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	for {
		err := r.Submit(ctx, change)
		undecided := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrNotPrimary)
		if !undecided || ctx.Err() != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestChanges(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A replica alone", t, func() {
		directory := t.TempDir()
		r, commits := startAlone(directory, true)
		closed := false
		end := func() {
			if !closed {
				closed = true
				r.Close()
			}
		}
		Reset(end)
		first := newChange(0, `{"version":3,"upsert":{"services":[{"name":"s"}]}}`)
		So(submit(r, first), ShouldBeNil)
		So((<-commits).Table.Version, ShouldEqual, 0) // what it begins with
		So((<-commits).Table.Version, ShouldEqual, 3)

		Convey("acknowledges the same change again", func() {
			So(submit(r, first), ShouldBeNil)
			So(submit(r, newChange(3, `{"version":4}`)), ShouldBeNil)
			So(submit(r, first), ShouldBeNil)
		})
		Convey("rejects a change of another version, and an invalid one", func() {
			So(submit(r, newChange(0, `{"version":5}`)), ShouldEqual, ErrConflict)
			var invalid *config.InvalidError
			for _, body := range []string{`{"version":3}`, `{"version":2}`, `{"vers`, `{"version":4,"upsert":{"services":[{}]}}`} {
				So(errors.As(submit(r, newChange(3, body)), &invalid), ShouldBeTrue)
			}
			document, err := r.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("commits one of two changes of the same version", func() {
			results := make(chan error, 2)
			go func() { results <- submit(r, newChange(3, `{"version":10}`)) }()
			go func() { results <- submit(r, newChange(3, `{"version":11}`)) }()
			one, other := <-results, <-results
			if one != nil {
				one, other = other, one
			}
			So(one, ShouldBeNil)
			So(other, ShouldEqual, ErrConflict)
		})
		Convey("knows when it was confirmed as the primary, also while its own view is changing", func() {
			at, ok := r.LeadershipConfirmedAt()
			So(ok, ShouldBeTrue)
			var kept time.Duration
			var leading bool
			done := make(chan struct{})
			r.do(func() { // nothing else is done meanwhile
				defer close(done)
				r.mu.Lock()
				r.status.isPrimary, r.status.isConfirmed = false, false
				r.mu.Unlock()
				kept, ok = r.LeadershipConfirmedAt()
				_, _, _, leading = r.ReadLease()
			})
			<-done
			So(ok, ShouldBeTrue)
			So(kept, ShouldBeGreaterThanOrEqualTo, at)
			So(leading, ShouldBeFalse)
		})
		Convey("has the configuration after a restart, and knows the changes that led to it", func() {
			end()
			again, _ := startAlone(directory, false)
			defer again.Close()
			So(submit(again, first), ShouldBeNil)
			document, err := again.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("acknowledges nothing while its disk fails, and goes on when it works", func() {
			folder := filepath.Join(directory, logDirectory)
			hidden := folder + ".hidden"
			So(r.breakDisk(), ShouldBeNil)
			So(os.Rename(folder, hidden), ShouldBeNil)
			So(os.WriteFile(folder, nil, 0o600), ShouldBeNil) // a file where the folder should be: nothing can be written
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			So(r.Submit(ctx, newChange(3, `{"version":6}`)), ShouldNotBeNil)
			So(os.Remove(folder), ShouldBeNil)
			So(os.Rename(hidden, folder), ShouldBeNil)
			So(submit(r, newChange(3, `{"version":6}`)), ShouldBeNil)
		})
	})
}

// breakDisk closes the log's files under the replica.
func (r *Replica) breakDisk() error {
	done := make(chan struct{})
	r.do(func() { r.store.log.Close(); close(done) })
	<-done
	return nil
}
