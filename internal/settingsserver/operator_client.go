package settingsserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/settingsstore"
)

// maxStatusBytes bounds a distributor's status: all sidecars that it knows, with the longest names and reasons.
const maxStatusBytes = 32 << 20

// OperatorClient calls distributors as operators do, each call on a connection of its own.
type OperatorClient struct {
	Addresses []string      // the distributors' control addresses, in order of preference
	Timeout   time.Duration // of one call
}

// StatusError is a distributor's answer that declines a call.
type StatusError struct {
	Address string
	Status  int
	Message string
}

func (e StatusError) Error() string {
	return fmt.Sprintf("%s answers %d: %s", e.Address, e.Status, e.Message)
}

// ErrNoneReached says that no distributor was reached, or all were starting.
var ErrNoneReached = errors.New("distributor: nobody was reached")

// Publish publishes settings at the first distributor that accepts them. It tries the next one only where a distributor can't
// be reached or is starting: to publish the same settings twice does no harm (the call is idempotent). Errors are
// ErrNoneReached and of type StatusError.
func (o *OperatorClient) Publish(ctx context.Context, service string, settings []byte) (PublishResult, error) {
	return o.first(ctx, settingsPath, service, settings)
}

// RollBack publishes the service's previous settings anew, as Publish does. Where a call's answer is lost it tries no other
// distributor: a second roll-back would revert the first (the call is not idempotent).
func (o *OperatorClient) RollBack(ctx context.Context, service string) (PublishResult, error) {
	return o.first(ctx, rollBackPath, service, nil)
}

func (o *OperatorClient) first(ctx context.Context, path, service string, body []byte) (out PublishResult, err error) {
	var faults []error
	for _, at := range o.Addresses {
		text, err := o.call(ctx, http.MethodPost, at, path, service, body)
		var refusal StatusError
		var dial *net.OpError
		refused := errors.As(err, &refusal)
		switch {
		case err == nil:
			if err := json.Unmarshal(text, &out); err != nil {
				return out, fmt.Errorf("distributor: %s: %w", at, err)
			}
			return out, nil
		case refused && refusal.Status != http.StatusServiceUnavailable:
			return out, refusal
		case !refused && body == nil && !(errors.As(err, &dial) && dial.Op == "dial"):
			return out, fmt.Errorf("distributor: %s was called and may have done it: %w", at, err)
		}
		faults = append(faults, err)
	}
	return out, fmt.Errorf("%w: %w", ErrNoneReached, errors.Join(faults...))
}

// Statuses returns what all distributors, which are asked concurrently, report of a service. Faults are of those that did not
// answer.
func (o *OperatorClient) Statuses(ctx context.Context, service string) (statuses []settingsstore.Status, faults []error) {
	all := make([]settingsstore.Status, len(o.Addresses))
	errs := make([]error, len(o.Addresses))
	var wait sync.WaitGroup
	for i, at := range o.Addresses {
		wait.Go(func() {
			text, err := o.call(ctx, http.MethodGet, at, settingsPath, service, nil)
			if err == nil {
				err = json.Unmarshal(text, &all[i])
			}
			errs[i] = err
		})
	}
	wait.Wait()
	for i, err := range errs {
		if err != nil {
			faults = append(faults, err)
		} else {
			statuses = append(statuses, all[i])
		}
	}
	return statuses, faults
}

func (o *OperatorClient) call(ctx context.Context, method, at, path, service string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	target := "http://" + at + path + "?" + url.Values{"service": {service}}.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("distributor: %w", err)
	}
	req.Close = true
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("distributor: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes))
	if err != nil {
		return nil, fmt.Errorf("distributor: %s: the answer is cut off: %w", at, err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, StatusError{at, res.StatusCode, string(bytes.TrimSpace(text[:min(len(text), maxErrorBytes)]))}
	}
	return text, nil
}
