package settingsstore

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"pinelb.example/pinelb/internal/version"
)

type sidecarKey struct{ service, name string }

// acknowledgement is what a sidecar has reported with its last request.
type acknowledgement struct {
	sidecarKey
	inForce, rejected      version.Edition
	reason                 string
	receivedAt, waitsUntil time.Duration // of the request: when it came, and until when it waits at most
}

// highestEpoch returns the highest epoch of a service that is known here. Sidecars may know a higher one than this distributor,
// from one that is lost; one that claims an absurd one must not exhaust the epochs.
func (s *Store) highestEpoch(service string, current *Record) (epoch uint64) {
	if current != nil {
		epoch = current.Epoch
	}
	for e := s.byLastRequest.Front(); e != nil; e = e.Next() {
		a := e.Value.(*acknowledgement)
		if a.service == service && a.inForce.Epoch <= version.MaxEpoch/2 {
			epoch = max(epoch, a.inForce.Epoch)
		}
	}
	return epoch
}

// acknowledge records what a sidecar reports of itself.
func (s *Store) acknowledge(now time.Duration, q Request) {
	s.expireSidecars(now)
	if q.Name == "" {
		return
	}
	key := sidecarKey{q.Service, q.Name}
	a := &acknowledgement{key, q.Since, q.Rejected, q.Reason, now, now + q.Wait}
	if e := s.sidecars[key]; e != nil {
		e.Value = a
		s.byLastRequest.MoveToBack(e)
		return
	}
	if len(s.sidecars) >= MaxSidecars {
		s.removeSidecar(s.byLastRequest.Front())
	}
	s.sidecars[key] = s.byLastRequest.PushBack(a)
}

// expireSidecars forgets sidecars that have been unresponsive for sidecarTTL.
func (s *Store) expireSidecars(now time.Duration) {
	for e := s.byLastRequest.Front(); e != nil && e.Value.(*acknowledgement).waitsUntil+sidecarTTL < now; e = s.byLastRequest.Front() {
		s.removeSidecar(e)
	}
}

func (s *Store) removeSidecar(e *list.Element) {
	delete(s.sidecars, e.Value.(*acknowledgement).sidecarKey)
	s.byLastRequest.Remove(e)
}

// Sidecars returns those that have acknowledged a service's settings here, by name.
func (s *Store) Sidecars(now time.Duration, service string) (out []Sidecar) {
	s.expireSidecars(now)
	var newest version.Edition
	if h := s.entries[service]; h != nil {
		newest = h.Edition
	}
	for e := s.byLastRequest.Front(); e != nil; e = e.Next() {
		if a := e.Value.(*acknowledgement); a.service == service {
			c := Sidecar{Name: a.name, InForce: a.inForce, Rejected: a.rejected, Reason: a.reason, LastRequestAgo: Millis((now - a.receivedAt).Milliseconds()),
				Unresponsive: now > a.waitsUntil+silenceGrace}
			c.State = c.standing(newest)
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Sidecar) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
