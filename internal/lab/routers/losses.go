package routers

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Loss is routers that crash at once and come back later with their disks.
type Loss struct {
	CoreRouters int  // number of routers that count for the quorum, the primary among them
	Zone        bool // all routers of the primary's zone
}

// ParseLoss reads "zone" or a number of core routers.
func ParseLoss(text string) (Loss, error) {
	if text == "zone" {
		return Loss{Zone: true}, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return Loss{}, fmt.Errorf("losses: %q is neither \"zone\" nor a number of core routers above 0", text)
	}
	return Loss{CoreRouters: n}, nil
}

// String returns the text that ParseLoss reads.
func (l Loss) String() string {
	if l.Zone {
		return "zone"
	}
	return strconv.Itoa(l.CoreRouters)
}

// LossResult is what a loss cost. It is stored as JSON: the tags stay.
type LossResult struct {
	Loss        string `json:"Loss"`
	Lost        int    `json:"Lost"`    // routers
	AckMs       int64  `json:"TakenMs"` // from the loss until a change was acknowledged; -1: not while they were gone
	AppliedMs   int64  `json:"ForceMs"` // from the loss until it was in force at all other routers; -1: not while they were gone
	RecoveredMs int64  `json:"BackMs"`  // from the return until a change was acknowledged and in force at all
}

// playLosses plays the losses one after the other.
func (f *fleet) playLosses(ctx context.Context, result *Result) error {
	for _, loss := range f.config.Losses {
		played, err := f.playLoss(ctx, loss)
		if err != nil {
			return err
		}
		result.Losses = append(result.Losses, *played)
	}
	return nil
}

// playLoss crashes the routers of a loss, tries a change without them, restarts them and waits until a further change is in force.
func (f *fleet) playLoss(ctx context.Context, loss Loss) (*LossResult, error) {
	lost := f.routersOf(loss, f.primary(ctx))
	result := &LossResult{Loss: loss.String(), Lost: len(lost), AckMs: -1, AppliedMs: -1}
	lostAt := time.Now()
	f.crash(lost)
	if f.modifyConfig(ctx, f.config.LossTimeout) == nil {
		result.AckMs = time.Since(lostAt).Milliseconds()
		if _, late := f.awaitVersion(ctx, time.Now()); late == 0 {
			result.AppliedMs = time.Since(lostAt).Milliseconds()
		}
	}
	restartedAt := time.Now()
	for _, i := range lost {
		if err := f.startRouter(i, false); err != nil {
			return nil, err
		}
	}
	if err := f.modifyConfig(ctx, f.config.Timeout); err != nil {
		return nil, err
	}
	if _, late := f.awaitVersion(ctx, time.Now()); late > 0 {
		return nil, fmt.Errorf("routers: %d of %d do not have the change after the loss of %v", late, f.config.Routers, loss)
	}
	result.RecoveredMs = time.Since(restartedAt).Milliseconds()
	sleep(ctx, 2*heartbeatInterval)
	return result, nil
}

// crash kills routers at once and waits until they have stopped.
func (f *fleet) crash(routers []int) {
	for _, i := range routers {
		f.routers[i].Kill()
	}
	for _, i := range routers {
		<-f.stopped[i]
		f.cancels[i]()
		f.routers[i] = nil
	}
}

// routersOf returns the routers that a loss crashes.
func (f *fleet) routersOf(loss Loss, primary int) []int {
	if !loss.Zone {
		var lost []int
		for n := range min(loss.CoreRouters, f.config.Core) {
			lost = append(lost, (primary+n)%f.config.Core)
		}
		return lost
	}
	var lost []int
	for i := range f.routers {
		if i%(regions*zonesPerRegion) == primary%(regions*zonesPerRegion) {
			lost = append(lost, i)
		}
	}
	return lost
}

// primary returns the router that accepts configurations, to which the others redirect; 0 if none answers.
func (f *fleet) primary(ctx context.Context) int {
	client := &http.Client{Timeout: f.client.Timeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for core := range f.config.Core {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/config/read", f.ip(core), controlPort), nil)
		if err != nil {
			continue
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return core
		}
		if redirected := f.coreOf(response.Header.Get("Location")); redirected >= 0 {
			return redirected
		}
	}
	return 0
}

// coreOf returns the core router that a Location header names, or -1.
func (f *fleet) coreOf(location string) int {
	for core := range f.config.Core {
		if strings.Contains(location, fmt.Sprintf("//%s:%d/", f.ip(core), controlPort)) {
			return core
		}
	}
	return -1
}

// modifyConfig submits one more change, for at most timeout. A change that is not acknowledged by then may still be committed: the
// next one is submitted with the same version.
func (f *fleet) modifyConfig(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.version++
	_, err := f.submitConfig(ctx, "/config/modify", fmt.Sprintf(`{"version":%d,"upsert":{"services":[{"name":"m0","maxConnections":%d}]}}`,
		f.version, 600+f.version))
	if err != nil {
		f.version--
	}
	return err
}
