package settingsstore

import (
	"errors"
	"fmt"
)

// Why a Store rejects a call, beside a KeyError.
var (
	// ErrStarting says that the distributor can't know yet what is newest.
	ErrStarting = errors.New("distribute: this distributor has started without its states, and no other one has told it theirs yet")
	// ErrTooManyWatches says that MaxWatches or MaxPeers requests wait already.
	ErrTooManyWatches = errors.New("distribute: too many watches")
	// ErrNoPrevious says that there are no previous settings to roll back to.
	ErrNoPrevious = errors.New("distribute: the service has no former settings here")
	// ErrTooManyServices says that there are MaxServices already.
	ErrTooManyServices = fmt.Errorf("distribute: there are %d services, no more are taken", MaxServices)
	// ErrEpochsExhausted says that no higher epoch is left for a service.
	ErrEpochsExhausted = errors.New("distribute: the service's epochs are used up")
)
