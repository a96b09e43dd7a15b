package replica

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
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

// alone is the only replica of a core, which has committed a first change to version 3.
type alone struct {
	*Replica
	directory string
	first     *config.Change
	close     func() // may be called twice
}

// startWithChange starts a replica alone, and closes it at the end of the Convey at the latest.
func startWithChange(t *testing.T) alone {
	directory := t.TempDir()
	r, commits := startAlone(directory, true)
	a := alone{
		Replica: r, directory: directory, close: sync.OnceFunc(r.Close),
		first: newChange(0, `{"version":3,"upsert":{"services":[{"name":"s"}]}}`),
	}
	Reset(a.close)
	So(submit(r, a.first), ShouldBeNil)
	So((<-commits).Table.Version, ShouldEqual, 0) // what it begins with
	So((<-commits).Table.Version, ShouldEqual, 3)
	return a
}

func TestChanges(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A replica alone", t, func() {
		a := startWithChange(t)

		Convey("acknowledges the same change again", func() {
			So(submit(a.Replica, a.first), ShouldBeNil)
			So(submit(a.Replica, newChange(3, `{"version":4}`)), ShouldBeNil)
			So(submit(a.Replica, a.first), ShouldBeNil)
		})
		Convey("rejects a change of another version, and an invalid one", func() {
			So(submit(a.Replica, newChange(0, `{"version":5}`)), ShouldEqual, ErrConflict)
			var invalid *config.InvalidError
			for _, body := range []string{`{"version":3}`, `{"version":2}`, `{"vers`, `{"version":4,"upsert":{"services":[{}]}}`} {
				So(errors.As(submit(a.Replica, newChange(3, body)), &invalid), ShouldBeTrue)
			}
			document, err := a.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("commits one of two changes of the same version", func() {
			results := make(chan error, 2)
			go func() { results <- submit(a.Replica, newChange(3, `{"version":10}`)) }()
			go func() { results <- submit(a.Replica, newChange(3, `{"version":11}`)) }()
			one, other := <-results, <-results
			if one != nil {
				one, other = other, one
			}
			So(one, ShouldBeNil)
			So(other, ShouldEqual, ErrConflict)
		})
	})
}

func TestLeadershipConfirmation(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A replica alone", t, func() {
		a := startWithChange(t)

		Convey("knows when it was confirmed as the primary, also while its own view is changing", func() {
			at, ok := a.LeadershipConfirmedAt()
			So(ok, ShouldBeTrue)
			var kept time.Duration
			var leading bool
			done := make(chan struct{})
			a.do(func() { // nothing else is done meanwhile
				defer close(done)
				a.mu.Lock()
				a.status.isPrimary, a.status.isConfirmed = false, false
				a.mu.Unlock()
				kept, ok = a.LeadershipConfirmedAt()
				_, _, _, leading = a.ReadLease()
			})
			<-done
			So(ok, ShouldBeTrue)
			So(kept, ShouldBeGreaterThanOrEqualTo, at)
			So(leading, ShouldBeFalse)
		})
	})
}

func TestDisk(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A replica alone", t, func() {
		a := startWithChange(t)

		Convey("has the configuration after a restart, and knows the changes that led to it", func() {
			a.close()
			again, _ := startAlone(a.directory, false)
			defer again.Close()
			So(submit(again, a.first), ShouldBeNil)
			document, err := again.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("acknowledges nothing while its disk fails, and goes on when it works", func() {
			folder := filepath.Join(a.directory, logDirectory)
			hidden := folder + ".hidden"
			So(a.breakDisk(), ShouldBeNil)
			So(os.Rename(folder, hidden), ShouldBeNil)
			So(os.WriteFile(folder, nil, 0o600), ShouldBeNil) // a file where the folder should be: nothing can be written
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			So(a.Submit(ctx, newChange(3, `{"version":6}`)), ShouldNotBeNil)
			So(os.Remove(folder), ShouldBeNil)
			So(os.Rename(hidden, folder), ShouldBeNil)
			So(submit(a.Replica, newChange(3, `{"version":6}`)), ShouldBeNil)
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
