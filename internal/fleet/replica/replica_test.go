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

// submitTimeout is long enough on a heavily loaded machine.
const submitTimeout = 30 * time.Second

// startSingle starts the only replica of a fleet that tolerates no failures, and returns a channel of its commits.
func startSingle(directory string, bootstrap bool) (*Replica, chan Commit) {
	commits := make(chan Commit, 100)
	startedAt := time.Now()
	options := Options{
		Address: ownAddress, Directory: directory, Votes: true, Timing: replication.DefaultTiming(), Log: zap.NewNop(),
		LocalityOf: func(string) replication.Locality {
			return replication.Locality{Zone: "z", Known: true, CountsForQuorum: true}
		},
		Peers:    func() []string { return nil },
		Send:     func(string, uint64, replication.Envelope) {},
		OnCommit: func(c Commit) { commits <- c }, OnViewChange: func(replication.View) {},
		Clock: func() time.Duration { return time.Since(startedAt) },
	}
	if bootstrap {
		options.BootstrapWitnesses = []string{ownAddress}
	}
	r, err := Start(options)
	So(err, ShouldBeNil)
	return r, commits
}

// newChange returns a change by a patch, given as JSON.
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

// singleReplica is the only replica of a fleet. It has committed a first change, to version 3.
type singleReplica struct {
	*Replica
	directory   string
	firstChange *config.Change
	close       func() // may be called twice
}

// startWithChange starts a single replica and commits its first change. The replica is closed at the end of the Convey at the
// latest.
func startWithChange(t *testing.T) singleReplica {
	directory := t.TempDir()
	r, commits := startSingle(directory, true)
	a := singleReplica{
		Replica: r, directory: directory, close: sync.OnceFunc(r.Close),
		firstChange: newChange(0, `{"version":3,"upsert":{"services":[{"name":"s"}]}}`),
	}
	Reset(a.close)
	So(submit(r, a.firstChange), ShouldBeNil)
	So((<-commits).Table.Version, ShouldEqual, 0) // the initial, empty configuration
	So((<-commits).Table.Version, ShouldEqual, 3)
	return a
}

func TestChanges(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A single replica", t, func() {
		a := startWithChange(t)

		Convey("acknowledges a change that is submitted again", func() {
			So(submit(a.Replica, a.firstChange), ShouldBeNil)
			So(submit(a.Replica, newChange(3, `{"version":4}`)), ShouldBeNil)
			So(submit(a.Replica, a.firstChange), ShouldBeNil)
		})
		Convey("rejects a change that is based on another version, and invalid changes", func() {
			So(submit(a.Replica, newChange(0, `{"version":5}`)), ShouldEqual, ErrConflict)
			var invalid *config.InvalidError
			for _, body := range []string{`{"version":3}`, `{"version":2}`, `{"vers`, `{"version":4,"upsert":{"services":[{}]}}`} {
				So(errors.As(submit(a.Replica, newChange(3, body)), &invalid), ShouldBeTrue)
			}
			document, err := a.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("commits only one of two changes that are based on the same version", func() {
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
	Convey("A single replica", t, func() {
		a := startWithChange(t)

		Convey("keeps the time of its last confirmation while the composition of its own view is changing", func() {
			at, ok := a.LeadershipConfirmedAt()
			So(ok, ShouldBeTrue)
			var kept time.Duration
			var hasLease bool
			done := make(chan struct{})
			a.enqueue(func() { // the replica's goroutine publishes no status before this returns
				defer close(done)
				a.mu.Lock()
				a.status.isPrimary, a.status.isConfirmed = false, false
				a.mu.Unlock()
				kept, ok = a.LeadershipConfirmedAt()
				_, _, _, hasLease = a.ReadLease()
			})
			<-done
			So(ok, ShouldBeTrue)
			So(kept, ShouldBeGreaterThanOrEqualTo, at)
			So(hasLease, ShouldBeFalse)
		})
	})
}

func TestDisk(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A single replica", t, func() {
		a := startWithChange(t)

		Convey("has the configuration after a restart, and recognises the changes that were applied", func() {
			a.close()
			restarted, _ := startSingle(a.directory, false)
			defer restarted.Close()
			So(submit(restarted, a.firstChange), ShouldBeNil)
			document, err := restarted.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("acknowledges no change while its disk fails, and continues when the disk works again", func() {
			logPath := filepath.Join(a.directory, logDirectory)
			movedPath := logPath + ".hidden"
			So(a.closeLog(), ShouldBeNil)
			So(os.Rename(logPath, movedPath), ShouldBeNil)
			So(os.WriteFile(logPath, nil, 0o600), ShouldBeNil) // a file in place of the log's directory: writes fail
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			So(a.Submit(ctx, newChange(3, `{"version":6}`)), ShouldNotBeNil)
			So(os.Remove(logPath), ShouldBeNil)
			So(os.Rename(movedPath, logPath), ShouldBeNil)
			So(submit(a.Replica, newChange(3, `{"version":6}`)), ShouldBeNil)
		})
	})
}

// closeLog closes the log's files while the replica is running, so that its next write has to start a new generation.
func (r *Replica) closeLog() error {
	done := make(chan struct{})
	r.enqueue(func() { r.store.log.Close(); close(done) })
	<-done
	return nil
}
