package simprotocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"pinelb.example/pinelb/balance"
)

// ErrInvalidBatch is wrapped by the errors of batches that can't be right.
var ErrInvalidBatch = errors.New("simprotocol: invalid batch")

// invalid returns an error that wraps ErrInvalidBatch.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalidBatch}, args...)...)
}

// Op is what a record is for the adapter.
type Op uint8

// The operations.
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
	Settings []byte // JSON; valid until the next batch
}

// Decoder reads batches. Membership lists are kept by their slot from one batch to the next.
type Decoder struct {
	r     io.Reader
	body  bytes.Buffer
	lists [listSlots][]balance.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch and calls handle for every record in order, with the batch's clock. The record is valid during the call.
// Next returns io.EOF at a clean end of input, an error of handle's, or one that wraps ErrInvalidBatch.
func (d *Decoder) Next(handle func(now time.Duration, rec *Record) error) error {
	count, clock, err := d.readBatch()
	if err != nil {
		return err
	}
	records, tail := d.body.Bytes()[:count*eventLen], d.body.Bytes()[count*eventLen:]
	rec, addressed := Record{}, false
	for i := range count {
		raw := records[i*eventLen : (i+1)*eventLen]
		switch raw[0] {
		case codeTo:
			rec.Instance, addressed = u32(raw, 1), true
			continue
		case codeManifest:
			if err := d.storeList(raw, tail); err != nil {
				return err
			}
			continue
		}
		if !addressed {
			return invalid("record %d comes before any instance is named", i)
		}
		if err := d.decode(raw, tail, &rec); err != nil {
			return err
		}
		if err := handle(clock, &rec); err != nil {
			return err
		}
	}
	return nil
}

// readBatch reads a batch's header, and its records and tail into body.
func (d *Decoder) readBatch() (count int, clock time.Duration, err error) {
	var h [headerLen]byte
	if _, err := io.ReadFull(d.r, h[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, 0, io.EOF
		}
		return 0, 0, invalid("header: %w", err)
	}
	count, size := int(u32(h[:], 0)), int(u32(h[:], 4))
	nanoseconds := u64(h[:], 8)
	if size > maxBody || count*eventLen > size || nanoseconds > math.MaxInt64 {
		return 0, 0, invalid("%d records in %d bytes at clock %d", count, size, nanoseconds)
	}
	d.body.Reset()
	// Copied as it arrives: a wrong length must not make us allocate what never comes.
	if n, err := io.CopyN(&d.body, d.r, int64(size)); err != nil {
		return 0, 0, invalid("cut off after %d of %d bytes: %w", n, size, err)
	}
	return count, time.Duration(nanoseconds), nil
}

// chunk returns the part of the tail that the field at this offset refers to, in units of so many bytes.
func chunk(raw, tail []byte, at, unit int) ([]byte, error) {
	from, n := uint64(u32(raw, at)), uint64(u32(raw, at+4))*uint64(unit)
	if from+n > uint64(len(tail)) {
		return nil, invalid("record of code %d names bytes %d to %d of a tail of %d", raw[0], from, from+n, len(tail))
	}
	return tail[from : from+n], nil
}

// slotOf checks the number of a list.
func slotOf(number uint16) (int, error) {
	if number >= listSlots {
		return 0, invalid("list number %d is out of range", number)
	}
	return int(number), nil
}

// storeList keeps a membership list under its slot.
func (d *Decoder) storeList(raw, tail []byte) error {
	slot, err := slotOf(u16(raw, 1))
	if err != nil {
		return err
	}
	data, err := chunk(raw, tail, 3, entryLen)
	if err != nil {
		return err
	}
	entries := make([]balance.Entry, 0, len(data)/entryLen)
	for ; len(data) > 0; data = data[entryLen:] {
		if data[0] > byte(balance.Draining) {
			return invalid("list entry with unknown availability %d", data[0])
		}
		entries = append(entries, balance.Entry{
			State:     balance.Availability(data[0]),
			Weight:    float64(math.Float32frombits(u32(data, 1))),
			Zone:      int(u16(data, 5)),
			Endpoint:  balance.EndpointID(u32(data, 7)),
			Cell:      int(u16(data, 11)),
			Kind:      int(data[13]),
			StartedAt: duration(data, 14),
		})
	}
	d.lists[slot] = entries
	return nil
}

// decode decodes a record into rec, whose instance stays.
func (d *Decoder) decode(raw, tail []byte, rec *Record) (err error) {
	*rec = Record{Instance: rec.Instance, Seed: rec.Seed}
	ev := &rec.Event
	switch raw[0] {
	case codePowerOff:
		rec.Op = OpStop
	case codeUp:
		rec.Op = OpStart
		rec.Seed = u64(raw, 1)
		rec.Settings, err = chunk(raw, tail, 9, 1)
	case codeGone:
		ev.Kind = balance.EventClientDisconnected
		ev.Request = balance.RequestID(u64(raw, 1))
	case codeSettled:
		err = decodeOutcome(raw, ev)
	case codeChecked:
		err = decodeHealthCheck(raw, ev)
	case codeOrder:
		decodeRequest(raw, ev)
	case codeMembership:
		err = d.decodeMembership(raw, ev)
	case codeHeaders:
		ev.Kind = balance.EventFirstByte
		ev.Request = balance.RequestID(u64(raw, 1))
		ev.Endpoint = balance.EndpointID(u32(raw, 9))
		ev.Latency = duration(raw, 13)
		ev.Attempt = int(u16(raw, 21))
	case codeInbox:
		ev.Kind = balance.EventPeer
		ev.From = int(u16(raw, 1))
		ev.Data, err = chunk(raw, tail, 3, 1)
	case codeWake:
		ev.Kind = balance.EventTimer
		ev.Token = balance.Token(u32(raw, 1))
	default:
		return invalid("unknown event code %d", raw[0])
	}
	return err
}

func decodeOutcome(raw []byte, ev *balance.Event) (err error) {
	ev.Kind = balance.EventOutcome
	ev.Request = balance.RequestID(u64(raw, 1))
	ev.Endpoint = balance.EndpointID(u32(raw, 9))
	ev.Attempt = int(u16(raw, 13))
	ev.Closed = raw[15] != 0
	ev.Latency = duration(raw, 18)
	if ev.Status, err = status(u16(raw, 16)); err != nil {
		return err
	}
	ev.Load, err = load(raw, 26)
	return err
}

func decodeHealthCheck(raw []byte, ev *balance.Event) (err error) {
	ev.Kind = balance.EventHealthChecked
	ev.Endpoint = balance.EndpointID(u32(raw, 1))
	ev.Latency = duration(raw, 7)
	if ev.Status, err = status(u16(raw, 5)); err != nil {
		return err
	}
	ev.Load, err = load(raw, 15)
	return err
}

func decodeRequest(raw []byte, ev *balance.Event) {
	ev.Kind = balance.EventRequest
	ev.Request = balance.RequestID(u64(raw, 1))
	ev.Class = int(u16(raw, 9))
	ev.Tenant = int(u32(raw, 11))
	ev.Key = u64(raw, 15)
	ev.Remaining = duration(raw, 23)
	flags := raw[39]
	if flags&1 != 0 {
		ev.WorkHint = duration(raw, 31)
	}
	ev.ClientRetry = flags&2 != 0
	ev.Write = flags&4 != 0
}

func (d *Decoder) decodeMembership(raw []byte, ev *balance.Event) error {
	ev.Kind = balance.EventMembership
	if raw[9] > byte(balance.ListFailed) {
		return invalid("membership of unknown kind %d", raw[9])
	}
	ev.List = balance.ListKind(raw[9])
	if ev.List == balance.ListFailed {
		return nil
	}
	slot, err := slotOf(u16(raw, 10))
	if err != nil {
		return err
	}
	ev.Entries = d.lists[slot]
	return nil
}

// status is the outcome of a code: 0, or like an exit status from 255 down.
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
	return 0, invalid("unknown outcome %d", code)
}

func load(raw []byte, at int) (balance.LoadReport, error) {
	report := balance.LoadReport{N: int(raw[at])}
	if report.N > len(report.V) {
		return report, invalid("load report of %d values", report.N)
	}
	for i := range report.V[:report.N] {
		report.V[i] = math.Float32frombits(u32(raw, at+1+4*i))
	}
	return report, nil
}
