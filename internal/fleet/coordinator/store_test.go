package coordinator

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

func storeOptions(directory string, founders ...string) *Options {
	return &Options{Address: testAddress, Directory: directory, Founders: founders, Log: zap.NewNop()}
}

func storedCounter(id string, count uint64) register.Stored {
	ballot := register.Ballot{Epoch: 1, Round: count, Proposer: 9}
	return register.Stored{
		Name: coordination.Name{Kind: coordination.KindCounter, ID: id}, Promised: ballot, Accepted: register.Version{Ballot: ballot, Sequence: 1},
		Change: &coordination.Change{Counter: &coordination.CounterRecord{Count: count}},
	}
}

// writeTestStore writes a snapshot with counter a = 1 and two changes, a = 2 and b = 1, and returns the last hard state that it
// has written.
func writeTestStore(directory string) register.HardState {
	s, err := openStore(storeOptions(directory, testAddress))
	So(err, ShouldBeNil)
	defer s.close()
	So(s.records, ShouldBeEmpty)
	hardState := s.hardState
	So(s.replace(hardState, []register.Stored{storedCounter("a", 1)}), ShouldBeNil)
	So(s.append(hardState, []register.Stored{storedCounter("a", 2)}), ShouldBeNil)
	hardState.ReadyEpoch = 1
	So(s.append(hardState, []register.Stored{storedCounter("b", 1)}), ShouldBeNil)
	return hardState
}

func segmentPath(directory string) string {
	newest, _ := newestGeneration(directory)
	return filepath.Join(newest, "00000000000000000001")
}

func TestStoreIsReadBack(t *testing.T) {
	Convey("A store that was written", t, func() {
		directory := t.TempDir()
		hardState := writeTestStore(directory)

		Convey("is read back, whatever Options.Founders contains", func() {
			for _, founders := range [][]string{nil, {testAddress}, {"10.0.0.7:1"}} {
				s, err := openStore(storeOptions(directory, founders...))
				So(err, ShouldBeNil)
				So(s.hardState, ShouldResemble, hardState)
				So(storedCounts(directory), ShouldResemble, map[string]uint64{"a": 2, "b": 1})
			}
		})
		Convey("loses only the last record if that is truncated", func() {
			content, err := os.ReadFile(segmentPath(directory))
			So(err, ShouldBeNil)
			So(os.WriteFile(segmentPath(directory), content[:len(content)-1], 0o600), ShouldBeNil)
			So(storedCounts(directory), ShouldResemble, map[string]uint64{"a": 2})
			s, err := openStore(storeOptions(directory))
			So(err, ShouldBeNil)
			So(s.hardState.Self, ShouldResemble, hardState.Self)
		})
		Convey("starts without state under a new identity if a synced record is corrupt", func() {
			content, err := os.ReadFile(segmentPath(directory))
			So(err, ShouldBeNil)
			content[20] ^= 1
			So(os.WriteFile(segmentPath(directory), content, 0o600), ShouldBeNil)
			s, err := openStore(storeOptions(directory, testAddress))
			So(err, ShouldBeNil)
			So(s.records, ShouldBeEmpty)
			So(s.hardState.Self.Address, ShouldEqual, testAddress)
			So(s.hardState.Self.Nonce, ShouldNotEqual, 0)
			So(s.hardState.Config.Epoch, ShouldEqual, 0)
			So(s.replace(s.hardState, nil), ShouldBeNil)
			s.close()
			again, err := openStore(storeOptions(directory, testAddress))
			So(err, ShouldBeNil)
			So(again.hardState, ShouldResemble, s.hardState)
		})
	})
}

func TestIdentityOfEmptyDisk(t *testing.T) {
	Convey("An empty disk", t, func() {
		Convey("yields a founder's identity at the first start of the whole system", func() {
			s, err := openStore(storeOptions(t.TempDir(), testAddress))
			So(err, ShouldBeNil)
			So(s.hardState.Self, ShouldResemble, replication.Replica{Address: testAddress})
			So(s.hardState.ReadyEpoch, ShouldEqual, 1)
		})
		Convey("yields a new identity without an epoch at any later start", func() {
			first, err := openStore(storeOptions(t.TempDir()))
			So(err, ShouldBeNil)
			second, err := openStore(storeOptions(""))
			So(err, ShouldBeNil)
			So(first.hardState.Self.Nonce, ShouldNotEqual, 0)
			So(first.hardState.Self.Nonce, ShouldNotEqual, second.hardState.Self.Nonce)
			So(first.hardState.Config.Epoch, ShouldEqual, 0)
		})
	})
	Convey("A directory that can't be made is an error", t, func() {
		path := filepath.Join(t.TempDir(), "file")
		So(os.WriteFile(path, nil, 0o600), ShouldBeNil)
		_, err := openStore(storeOptions(path))
		So(err, ShouldNotBeNil)
		_, err = Start(Options{Address: testAddress, Directory: path, Core: true})
		So(err, ShouldNotBeNil)
	})
}

func TestStoreReloads(t *testing.T) {
	Convey("A store whose writes failed", t, func() {
		directory := t.TempDir()
		hardState := writeTestStore(directory)
		s, err := openStore(storeOptions(directory))
		So(err, ShouldBeNil)
		defer s.close()
		s.build(0, coordination.Options{})
		failNextWrite(directory, s.log)
		So(s.append(hardState, []register.Stored{storedCounter("a", 9)}), ShouldNotBeNil)
		So(s.replace(hardState, []register.Stored{storedCounter("a", 9)}), ShouldNotBeNil)

		Convey("has the state on disk after a reload, and can be written again", func() {
			So(s.reload(storeOptions(directory)), ShouldBeNil)
			So(s.hardState, ShouldResemble, hardState)
			So(s.build(0, coordination.Options{}).RegisterCount(), ShouldEqual, 2)
			So(s.replace(hardState, []register.Stored{storedCounter("a", 3)}), ShouldBeNil)
			So(storedCounts(directory), ShouldResemble, map[string]uint64{"a": 3})
		})
	})
	Convey("A store without a disk reloads without an error", t, func() {
		s, err := openStore(storeOptions("", testAddress))
		So(err, ShouldBeNil)
		So(s.reload(storeOptions("")), ShouldBeNil)
	})
}

// Guards against registers that are lost when the log starts a new generation.
func TestCompactionKeepsEverything(t *testing.T) {
	Convey("A growing log is compacted and still contains every register", t, func() {
		directory := t.TempDir()
		m := newMachine(directory)
		loop := m.service.acceptor
		So(loop.writeIdentity(t.Context()), ShouldBeTrue)
		defer loop.store.close()
		const names, rounds = 200, 80
		first, _ := newestGeneration(directory)
		for round := range uint64(rounds) {
			m.now += time.Second
			for i := range names {
				loop.inbox <- receivedMessage{from: testPeer, message: acceptRequest(fmt.Sprint(i), round+1, round+1)}
			}
			loop.handleBatch(t.Context(), <-loop.inbox)
		}
		last, _ := newestGeneration(directory)
		So(last, ShouldNotEqual, first)
		counts := storedCounts(directory)
		So(counts, ShouldHaveLength, names)
		for _, count := range counts {
			So(count, ShouldEqual, rounds)
		}
	})
}

// Guards against a log that can't be read because it contains more registers than the CBOR decoder's default limit.
func TestStoreOfManyNames(t *testing.T) {
	Convey("A store of more registers than CBOR decodes by default is read back", t, func() {
		const names = 131_072 + 1
		directory := t.TempDir()
		s, err := openStore(storeOptions(directory, testAddress))
		So(err, ShouldBeNil)
		defer s.close()
		all := make([]register.Stored, names)
		So(s.replace(s.hardState, all), ShouldBeNil)
		again, err := openStore(storeOptions(directory))
		So(err, ShouldBeNil)
		So(len(again.records[0]), ShouldEqual, names)

		encoded, err := cbor.Marshal(&register.Collected{Epoch: 2, Registers: all})
		So(err, ShouldBeNil)
		var collected register.Collected
		So(Decode(encoded, &collected), ShouldBeNil)
		So(len(collected.Registers), ShouldEqual, names)
	})
}
