package inflight

import (
	"time"

	"pinelb.example/pinelb/balance"
)

// ID identifies a request and its effect. The JSON names here are those of journals and of messages between processes.
type ID struct {
	Txn       string        `json:"Txn"` // fresh for every request
	Class     string        `json:"Class"`
	Key       string        `json:"Key"`  // of its effect, where the class carries one; otherwise its Txn stands for it
	Retention time.Duration `json:"Keep"` // for how long the effect is remembered; 0: it may take place any number of times
}

// effectKey identifies the ID's effect. Two classes may use one key for two effects.
func (id ID) effectKey() string {
	if id.Key != "" {
		return id.Class + "\x00" + id.Key
	}
	return id.Class + "\x00\x00" + id.Txn
}

// Attempt is the first attempt at an effect that may have taken effect.
type Attempt struct {
	Endpoint balance.EndpointID `json:"Host"`
	SentAt   time.Time          `json:"At"` // zero: there is none
}

// earliest is the earlier of two attempts.
func earliest(a, b Attempt) Attempt {
	if a.SentAt.IsZero() || !b.SentAt.IsZero() && b.SentAt.Before(a.SentAt) {
		return b
	}
	return a
}

// Update is one change of a Table, for those who store it or have a copy.
type Update struct {
	ID
	Done      bool `json:"Over"` // the request is done; otherwise it is in flight
	Retracted bool `json:"Back"` // earlier updates' attempts are retracted: none may have run
	Attempt
}

// Source is where an update comes from, or who subscribes to updates.
type Source uint8

// The sources.
const (
	Local       Source = iota // this process
	Predecessor               // the process before this one, which still runs
	Successor                 // the one after it, which runs already
	Journal                   // what a dead process has left; as a subscriber, the journal
)
