package simprotocol

import (
	"encoding/binary"

	"pinelb.example/pinelb/balance"
)

// Encoder builds one reply at a time. The zero value is ready for Begin.
type Encoder struct {
	records, tail []byte
	instance      uint32 // that the latest record is for
	addressed     bool   // instance is set
}

// Begin starts a new reply.
func (e *Encoder) Begin() {
	e.records = append(e.records[:0], make([]byte, replyHeaderLen)...)
	e.tail = e.tail[:0]
	e.addressed = false
}

// record appends an empty record and returns it, valid until the next one.
func (e *Encoder) record(code byte) []byte {
	n := len(e.records)
	e.records = append(e.records, make([]byte, actionLen)...)
	e.records[n] = code
	return e.records[n:]
}

// address names the instance that the next records are for.
func (e *Encoder) address(instance uint32) {
	if !e.addressed || e.instance != instance {
		binary.BigEndian.PutUint32(e.record(codeFor)[1:], instance)
		e.instance, e.addressed = instance, true
	}
}

// chunk appends data to the tail, and has the field at this offset refer to it.
func (e *Encoder) chunk(record []byte, at int, data string) {
	binary.BigEndian.PutUint32(record[at:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(record[at+4:], uint32(len(data)))
	e.tail = append(e.tail, data...)
}

// Crash reports that the decision module of an instance has panicked.
func (e *Encoder) Crash(instance uint32, text string) {
	e.address(instance)
	e.chunk(e.record(codeCrash), 1, text)
}

// Add appends an instance's actions to the reply.
func (e *Encoder) Add(instance uint32, actions []balance.Action) {
	for i := range actions {
		e.address(instance)
		e.add(&actions[i])
	}
}

func (e *Encoder) add(a *balance.Action) {
	be := binary.BigEndian
	switch a.Kind {
	case balance.ActSend:
		r := e.record(codeDispatch)
		be.PutUint64(r[1:], uint64(a.Request))
		be.PutUint32(r[9:], uint32(a.Endpoint))
		be.PutUint64(r[13:], uint64(a.After))
	case balance.ActReject:
		r := e.record(codeBusy)
		be.PutUint64(r[1:], uint64(a.Request))
		be.PutUint64(r[9:], uint64(a.After))
	case balance.ActFail:
		be.PutUint64(e.record(codeGiveUp)[1:], uint64(a.Request))
	case balance.ActCancel:
		r := e.record(codeCallOff)
		be.PutUint64(r[1:], uint64(a.Request))
		be.PutUint16(r[9:], uint16(a.Attempt))
	case balance.ActTimer:
		r := e.record(codeArm)
		be.PutUint32(r[1:], uint32(a.Token))
		be.PutUint64(r[5:], uint64(a.After))
	case balance.ActFetch:
		e.record(codeRefresh)
	case balance.ActSubscribe:
		e.record(codeObserve)[1] = 1
	case balance.ActHealthCheck:
		be.PutUint32(e.record(codeCheck)[1:], uint32(a.Endpoint))
	case balance.ActCloseIdle:
		be.PutUint32(e.record(codeClose)[1:], uint32(a.Endpoint))
	case balance.ActSendPeer:
		r := e.record(codeAnnounce)
		to := uint32(allPeers)
		if a.Peer >= 0 {
			to = uint32(a.Peer)
		}
		be.PutUint32(r[1:], to)
		e.chunk(r, 5, string(a.Data))
	case balance.ActLog:
		e.chunk(e.record(codeRecord), 1, a.Text)
	}
}

// Finish returns the reply's bytes, valid until the next Begin.
func (e *Encoder) Finish() []byte {
	n := (len(e.records) - replyHeaderLen) / actionLen
	e.records = append(e.records, e.tail...)
	binary.BigEndian.PutUint32(e.records[0:], uint32(n))
	binary.BigEndian.PutUint32(e.records[4:], uint32(len(e.records)-replyHeaderLen))
	return e.records
}
