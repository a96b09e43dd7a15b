package coordinator

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
	"pinelb.example/pinelb/internal/fleet/storage"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testAddress = "10.0.0.1:1"

var counterName = coordination.Name{Kind: coordination.KindCounter, ID: "c"}

// sentMessage is a message that a service sent to another machine.
type sentMessage struct {
	to      string
	nonce   uint64
	message any
}

// machine is a core machine whose loops are stepped by the test, on a simulated clock. It starts no goroutine.
type machine struct {
	service *Service
	now     time.Duration
	sent    []sentMessage
	onSend  func(sentMessage) // called for each sent message; nil: not called
}

// newMachine returns a core machine that is the only founder. If directory is empty, it has no disk.
func newMachine(directory string) *machine {
	m, err := buildMachine(directory)
	So(err, ShouldBeNil)
	return m
}

// buildMachine is newMachine for callers outside of Convey.
func buildMachine(directory string) (*machine, error) {
	m := &machine{}
	m.service = &Service{options: Options{
		Address: testAddress, Directory: directory, Founders: []string{testAddress}, Core: true, Votes: true, Log: zap.NewNop(),
		State:     coordination.Options{History: time.Minute, MaxGroupBytes: 1 << 20},
		Peers:     func() []string { return nil },
		Proposers: func() []string { return []string{testAddress} },
		Leaving:   func() bool { return false },
		Clock:     func() time.Duration { return m.now },
		Send: func(to string, nonce uint64, message any) {
			sent := sentMessage{to, nonce, message}
			m.sent = append(m.sent, sent)
			if m.onSend != nil {
				m.onSend(sent)
			}
		},
	}}
	m.service.forwarder.init(m.service)
	store, err := openStore(&m.service.options)
	if err != nil {
		return nil, err
	}
	m.service.acceptor = newAcceptorLoop(m.service, store)
	m.service.proposer = newProposerLoop(m.service)
	return m, nil
}

// takeSent returns the messages that were sent to other machines since its last call.
func (m *machine) takeSent() []any {
	var messages []any
	for _, sent := range m.sent {
		messages = append(messages, sent.message)
	}
	m.sent = nil
	return messages
}

// acceptRequest returns a request to set a counter, under a ballot of epoch 1.
func acceptRequest(id string, round, count uint64) *register.Request {
	return &register.Request{Epoch: 1, Accepts: []register.Accept{{
		Name:      coordination.Name{Kind: coordination.KindCounter, ID: id},
		Version:   register.Version{Ballot: register.Ballot{Epoch: 1, Round: round, Proposer: 9}, Sequence: 1},
		Change:    &coordination.Change{Counter: &coordination.CounterRecord{Count: count}},
		RoundTrip: 1,
	}}}
}

// storedCounts returns the values of the counters that are stored on a disk, by name, as a restarted acceptor reads them.
func storedCounts(directory string) map[string]uint64 {
	options := Options{Address: testAddress, Directory: directory, Log: zap.NewNop()}
	s, err := openStore(&options)
	So(err, ShouldBeNil)
	defer s.close()
	counts := map[string]uint64{}
	for _, stored := range s.build(0, coordination.Options{}).Snapshot(0) {
		counts[stored.Name.ID] = stored.Change.Counter.Count
	}
	return counts
}

// newestGeneration returns the directories of a log's newest generation and of the one that would follow it.
func newestGeneration(directory string) (newest, next string) {
	generations, err := filepath.Glob(filepath.Join(directory, logDirectory, "generation-*"))
	So(err, ShouldBeNil)
	newest = generations[len(generations)-1]
	digits := []byte(newest)
	for i := len(digits) - 1; ; i-- {
		if digits[i] != '9' {
			digits[i]++
			return newest, string(digits)
		}
		digits[i] = '0'
	}
}

// failNextWrite makes the next write fail: it closes the log, so that no generation is open, and creates the directory of the
// next generation with a wrong first segment.
func failNextWrite(directory string, log *storage.Log[*register.HardState]) {
	log.Close()
	_, next := newestGeneration(directory)
	So(os.MkdirAll(next, 0o750), ShouldBeNil)
	So(os.WriteFile(filepath.Join(next, "00000000000000000002"), nil, 0o600), ShouldBeNil)
}

var testPeer = replication.Replica{Address: "10.0.0.2:1"}
