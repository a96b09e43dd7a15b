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

const self = "10.0.0.1:1"

// patience is how long a test waits at most; a machine however busy gets there.
const patience = 30 * time.Second

// startAlone starts the only replica of a core that may lose none. Commits go to the channel.
func startAlone(directory string, bootstrap bool) (*Replica, chan Commit) {
	commits := make(chan Commit, 100)
	began := time.Now()
	options := Options{
		Address: self, Directory: directory, Votes: true, Timing: replication.DefaultTiming(), Log: zap.NewNop(),
		LocalityOf: func(string) replication.Locality {
			return replication.Locality{Zone: "z", Known: true, CountsForQuorum: true}
		},
		Peers:    func() []string { return nil },
		Send:     func(string, uint64, replication.Envelope) {},
		OnCommit: func(c Commit) { commits <- c }, OnViewChange: func(replication.View) {},
		Clock: func() time.Duration { return time.Since(began) },
	}
	if bootstrap {
		options.BootstrapWitnesses = []string{self}
	}
	r, err := Start(options)
	So(err, ShouldBeNil)
	return r, commits
}

func order(base int64, body string) *config.Change {
	return &config.Change{Base: base, Body: []byte(body)}
}

// submit sends an order until it is decided, as an operator does.
func submit(r *Replica, o *config.Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		err := r.Submit(ctx, o)
		undecided := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrNotPrimary)
		if !undecided || ctx.Err() != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestOrders(t *testing.T) {
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
		first := order(0, `{"version":3,"upsert":{"services":[{"name":"s"}]}}`)
		So(submit(r, first), ShouldBeNil)
		So((<-commits).Table.Version, ShouldEqual, 0) // what it begins with
		So((<-commits).Table.Version, ShouldEqual, 3)

		Convey("acknowledges the same order again", func() {
			So(submit(r, first), ShouldBeNil)
			So(submit(r, order(3, `{"version":4}`)), ShouldBeNil)
			So(submit(r, first), ShouldBeNil)
		})
		Convey("refuses one on another version, and an invalid one", func() {
			So(submit(r, order(0, `{"version":5}`)), ShouldEqual, ErrConflict)
			var invalid *config.InvalidError
			for _, body := range []string{`{"version":3}`, `{"version":2}`, `{"vers`, `{"version":4,"upsert":{"services":[{}]}}`} {
				So(errors.As(submit(r, order(3, body)), &invalid), ShouldBeTrue)
			}
			document, err := r.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("takes one of two on the same version", func() {
			results := make(chan error, 2)
			go func() { results <- submit(r, order(3, `{"version":10}`)) }()
			go func() { results <- submit(r, order(3, `{"version":11}`)) }()
			one, other := <-results, <-results
			if one != nil {
				one, other = other, one
			}
			So(one, ShouldBeNil)
			So(other, ShouldEqual, ErrConflict)
		})
		Convey("knows when it was surely the primary, also while its own view is changing", func() {
			at, ok := r.LeadershipConfirmedAt()
			So(ok, ShouldBeTrue)
			var held time.Duration
			var leading bool
			done := make(chan struct{})
			r.do(func() { // nothing else is done meanwhile
				defer close(done)
				r.mu.Lock()
				r.seen.leading, r.seen.current = false, false
				r.mu.Unlock()
				held, ok = r.LeadershipConfirmedAt()
				_, _, _, leading = r.ReadLease()
			})
			<-done
			So(ok, ShouldBeTrue)
			So(held, ShouldBeGreaterThanOrEqualTo, at)
			So(leading, ShouldBeFalse)
		})
		Convey("knows all after a restart, and the orders too", func() {
			end()
			again, _ := startAlone(directory, false)
			defer again.Close()
			So(submit(again, first), ShouldBeNil)
			document, err := again.Read(context.Background())
			So(err, ShouldBeNil)
			So(document.Version(), ShouldEqual, 3)
		})
		Convey("acknowledges nothing that its disk does not take, and goes on when it does", func() {
			folder := filepath.Join(directory, logFolder)
			hidden := folder + ".hidden"
			So(r.breakDisk(), ShouldBeNil)
			So(os.Rename(folder, hidden), ShouldBeNil)
			So(os.WriteFile(folder, nil, 0o600), ShouldBeNil) // a file where the folder should be: nothing can be written
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			So(r.Submit(ctx, order(3, `{"version":6}`)), ShouldNotBeNil)
			So(os.Remove(folder), ShouldBeNil)
			So(os.Rename(hidden, folder), ShouldBeNil)
			So(submit(r, order(3, `{"version":6}`)), ShouldBeNil)
		})
	})
}

// breakDisk closes the log's files under the replica.
func (r *Replica) breakDisk() error {
	done := make(chan struct{})
	r.do(func() { r.log.Close(); close(done) })
	<-done
	return nil
}
