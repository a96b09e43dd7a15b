// Package wire turns the drill's binary frames into balance events and actions back
// into frames. It decides nothing.
package simprotocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"pinelb.example/pinelb/balance"
)

const (
	headerLen      = 16
	replyHeaderLen = 8
	eventLen       = 48
	actionLen      = 24
	entryLen       = 22
	listSlots      = 16
	maxBody        = 1 << 30
	allPeers       = math.MaxUint32
)

// Op says what a record of a batch is for the adapter.
type Op uint8

// The operations of a batch.
const (
	OpEvent Op = iota // Event is for the instance
	OpStart           // the instance starts, with Seed and Settings
	OpStop            // the instance has been killed
)

// Record is one event of a batch with the instance that it is for.
type Record struct {
	Instance uint32
	Op       Op
	Event    balance.Event
	Seed     uint64
	Settings []byte
}

// Decoder reads batches. Lists are kept by their slot from one batch to the next.
type Decoder struct {
	r     io.Reader
	body  bytes.Buffer
	lists [listSlots][]balance.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch and calls each for every record in order. It returns io.EOF
// at a clean end of input and another error for a frame that cannot be right.
func (d *Decoder) Next(each func(now time.Duration, rec *Record) error) error {
	var h [headerLen]byte
	if _, err := io.ReadFull(d.r, h[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("wire: batch header: %w", err)
	}
	count, size := int(binary.BigEndian.Uint32(h[0:])), int(binary.BigEndian.Uint32(h[4:]))
	clock := binary.BigEndian.Uint64(h[8:])
	if size > maxBody || count*eventLen > size || clock > math.MaxInt64 {
		return fmt.Errorf("wire: impossible batch: %d records in %d bytes at clock %d", count, size, clock)
	}
	d.body.Reset()
	// Copied as it arrives: a wrong length must not make us allocate what never comes.
	if n, err := io.CopyN(&d.body, d.r, int64(size)); err != nil {
		return fmt.Errorf("wire: batch cut off after %d of %d bytes: %w", n, size, err)
	}
	records, tail := d.body.Bytes()[:count*eventLen], d.body.Bytes()[count*eventLen:]
	rec, named := Record{}, false
	for i := 0; i < count; i++ {
		raw := records[i*eventLen : (i+1)*eventLen]
		switch raw[0] {
		case codeTo:
			rec.Instance, named = u32(raw, 1), true
			continue
		case codeManifest:
			if err := d.keepList(raw, tail); err != nil {
				return err
			}
			continue
		}
		if !named {
			return fmt.Errorf("wire: record %d comes before any instance is named", i)
		}
		if err := d.decode(raw, tail, &rec); err != nil {
			return err
		}
		if err := each(time.Duration(clock), &rec); err != nil {
			return err
		}
	}
	return nil
}

// The codes of events.
const (
	codePowerOff   = 1
	codeManifest   = 2
	codeGone       = 3
	codeSettled    = 4
	codeChecked    = 5
	codeOrder      = 6
	codeMembership = 7
	codeTo         = 8
	codeHeaders    = 9
	codeInbox      = 10
	codeUp         = 11
	codeWake       = 12
)

func u16(b []byte, at int) uint16 { return binary.BigEndian.Uint16(b[at:]) }
func u32(b []byte, at int) uint32 { return binary.BigEndian.Uint32(b[at:]) }
func u64(b []byte, at int) uint64 { return binary.BigEndian.Uint64(b[at:]) }

func span(b []byte, at int) time.Duration {
	return time.Duration(min(u64(b, at), math.MaxInt64))
}

// chunk returns the part of the tail that the field at this offset names.
func chunk(raw, tail []byte, at, unit int) ([]byte, error) {
	from, n := uint64(u32(raw, at)), uint64(u32(raw, at+4))*uint64(unit)
	if from+n > uint64(len(tail)) {
		return nil, fmt.Errorf("wire: record of code %d names bytes %d to %d of a tail of %d", raw[0], from, from+n, len(tail))
	}
	return tail[from : from+n], nil
}

func (d *Decoder) keepList(raw, tail []byte) error {
	slot := u16(raw, 1)
	if slot >= listSlots {
		return fmt.Errorf("wire: list number %d is out of range", slot)
	}
	data, err := chunk(raw, tail, 3, entryLen)
	if err != nil {
		return err
	}
	entries := make([]balance.Entry, 0, len(data)/entryLen)
	for ; len(data) > 0; data = data[entryLen:] {
		if data[0] > byte(balance.Draining) {
			return fmt.Errorf("wire: list entry with unknown availability %d", data[0])
		}
		entries = append(entries, balance.Entry{
			State:     balance.Availability(data[0]),
			Weight:    float64(math.Float32frombits(u32(data, 1))),
			Zone:      int(u16(data, 5)),
			Endpoint:  balance.EndpointID(u32(data, 7)),
			Cell:      int(u16(data, 11)),
			Kind:      int(data[13]),
			StartedAt: span(data, 14),
		})
	}
	d.lists[slot] = entries
	return nil
}

func (d *Decoder) decode(raw, tail []byte, rec *Record) error {
	rec.Op, rec.Event, rec.Settings = OpEvent, balance.Event{}, nil
	ev := &rec.Event
	var err error
	switch raw[0] {
	case codePowerOff:
		rec.Op = OpStop
	case codeUp:
		rec.Op, rec.Seed = OpStart, u64(raw, 1)
		rec.Settings, err = chunk(raw, tail, 9, 1)
	case codeGone:
		ev.Kind, ev.Request = balance.EventClientGone, balance.RequestID(u64(raw, 1))
	case codeSettled:
		ev.Kind, ev.Request = balance.EventOutcome, balance.RequestID(u64(raw, 1))
		ev.Endpoint, ev.Attempt = balance.EndpointID(u32(raw, 9)), int(u16(raw, 13))
		ev.Closed, ev.Latency = raw[15] != 0, span(raw, 18)
		if ev.Status, err = status(u16(raw, 16)); err == nil {
			ev.Load, err = load(raw, 26)
		}
	case codeChecked:
		ev.Kind, ev.Endpoint, ev.Latency = balance.EventHealthChecked, balance.EndpointID(u32(raw, 1)), span(raw, 7)
		if ev.Status, err = status(u16(raw, 5)); err == nil {
			ev.Load, err = load(raw, 15)
		}
	case codeOrder:
		ev.Kind, ev.Request = balance.EventRequest, balance.RequestID(u64(raw, 1))
		ev.Class, ev.Tenant, ev.Key, ev.Remaining = int(u16(raw, 9)), int(u32(raw, 11)), u64(raw, 15), span(raw, 23)
		if raw[39]&1 != 0 {
			ev.WorkHint = span(raw, 31)
		}
		ev.ClientRetry, ev.Write = raw[39]&2 != 0, raw[39]&4 != 0
	case codeMembership:
		ev.Kind = balance.EventMembership
		how, slot := raw[9], u16(raw, 10)
		if how > byte(balance.ListFailed) {
			return fmt.Errorf("wire: membership of unknown kind %d", how)
		}
		ev.List = balance.ListKind(how)
		if ev.List != balance.ListFailed {
			if slot >= listSlots {
				return fmt.Errorf("wire: list number %d is out of range", slot)
			}
			ev.Entries = d.lists[slot]
		}
	case codeHeaders:
		ev.Kind, ev.Request = balance.EventFirstByte, balance.RequestID(u64(raw, 1))
		ev.Endpoint, ev.Latency, ev.Attempt = balance.EndpointID(u32(raw, 9)), span(raw, 13), int(u16(raw, 21))
	case codeInbox:
		ev.Kind, ev.From = balance.EventPeer, int(u16(raw, 1))
		ev.Data, err = chunk(raw, tail, 3, 1)
	case codeWake:
		ev.Kind, ev.Token = balance.EventTimer, balance.Token(u32(raw, 1))
	default:
		return fmt.Errorf("wire: unknown event code %d", raw[0])
	}
	return err
}

func status(code uint16) (balance.Status, error) {
	switch code {
	case 0:
		return balance.OK, nil
	case 255:
		return balance.Error, nil
	case 254:
		return balance.Rejected, nil
	case 253:
		return balance.Timeout, nil
	case 252:
		return balance.ConnectFailed, nil
	case 251:
		return balance.Reset, nil
	case 250:
		return balance.Cancelled, nil
	case 249:
		return balance.NotSent, nil
	}
	return 0, fmt.Errorf("wire: unknown outcome %d", code)
}

func load(raw []byte, at int) (balance.LoadReport, error) {
	rep := balance.LoadReport{N: int(raw[at])}
	if rep.N > len(rep.V) {
		return rep, fmt.Errorf("wire: load report of %d values", rep.N)
	}
	for i := range rep.V[:rep.N] {
		rep.V[i] = math.Float32frombits(u32(raw, at+1+4*i))
	}
	return rep, nil
}

// The codes of actions.
const (
	codeCheck    = 65
	codeCrash    = 66
	codeArm      = 67
	codeDispatch = 68
	codeGiveUp   = 69
	codeBusy     = 70
	codeCallOff  = 71
	codeObserve  = 72
	codeAnnounce = 73
	codeRecord   = 74
	codeClose    = 75
	codeFor      = 76
	codeRefresh  = 77
)

// Encoder gathers one reply.
type Encoder struct {
	records, tail []byte
	instance      uint32
	named         bool
}

// Begin starts a new reply.
func (e *Encoder) Begin() {
	e.records, e.tail, e.named = append(e.records[:0], make([]byte, replyHeaderLen)...), e.tail[:0], false
}

func (e *Encoder) record(code byte) []byte {
	n := len(e.records)
	e.records = append(e.records, make([]byte, actionLen)...)
	e.records[n] = code
	return e.records[n:]
}

func (e *Encoder) address(instance uint32) {
	if !e.named || e.instance != instance {
		binary.BigEndian.PutUint32(e.record(codeFor)[1:], instance)
		e.instance, e.named = instance, true
	}
}

func (e *Encoder) text(r []byte, at int, data string) {
	binary.BigEndian.PutUint32(r[at:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(r[at+4:], uint32(len(data)))
	e.tail = append(e.tail, data...)
}

// Crash reports that the decision code of an instance has failed.
func (e *Encoder) Crash(instance uint32, text string) {
	e.address(instance)
	e.text(e.record(codeCrash), 1, text)
}

// Add appends the instance's actions to the reply.
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
		e.text(r, 5, string(a.Data))
	case balance.ActLog:
		e.text(e.record(codeRecord), 1, a.Text)
	}
}

// Finish returns the reply's bytes, good until the next Begin.
func (e *Encoder) Finish() []byte {
	n := (len(e.records) - replyHeaderLen) / actionLen
	e.records = append(e.records, e.tail...)
	binary.BigEndian.PutUint32(e.records[0:], uint32(n))
	binary.BigEndian.PutUint32(e.records[4:], uint32(len(e.records)-replyHeaderLen))
	return e.records
}
