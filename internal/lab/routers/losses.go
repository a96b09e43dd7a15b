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
	CoreRouters int  // so many that count for the quorum, the primary among them
	Zone bool // all routers of a zone, the primary's
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

func (l Loss) String() string {
	if l.Zone {
		return "zone"
	}
	return strconv.Itoa(l.CoreRouters)
}

// LossResult is what a loss cost.
type LossResult struct {
	Loss    string `json:"Loss"`
	Lost    int    `json:"Lost"`    // routers
	AckMs int64  `json:"TakenMs"` // from the loss until a change was acknowledged; -1: not while they were gone
	AppliedMs int64  `json:"ForceMs"` // from the loss until it was in force at all others; -1: not while they were gone
	RecoveredMs  int64  `json:"BackMs"`  // from the return until a change was acknowledged and in force at all
}

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

func (f *fleet) playLoss(ctx context.Context, loss Loss) (*LossResult, error) {
	lost := f.routersOf(loss, f.primary(ctx))
	result := &LossResult{Loss: loss.String(), Lost: len(lost), AckMs: -1, AppliedMs: -1}
	began := time.Now()
	for _, i := range lost {
		f.routers[i].Kill()
	}
	for _, i := range lost {
		<-f.stopped[i]
		f.cancels[i]()
		f.routers[i] = nil
	}
	if f.modifyConfig(ctx, f.config.LossTimeout) == nil {
		result.AckMs = time.Since(began).Milliseconds()
		if _, late := f.awaitVersion(ctx, time.Now()); late == 0 {
			result.AppliedMs = time.Since(began).Milliseconds()
		}
	}
	returned := time.Now()
	for _, i := range lost {
		if err := f.startRouter(i, false); err != nil {
			return nil, err
		}
	}
	if err := f.modifyConfig(ctx, f.config.Timeout); err != nil {
		return nil, err
	}
	if _, late := f.awaitVersion(ctx, time.Now()); late > 0 {
		return nil, fmt.Errorf("routers: %d of %d do not hold the change after the loss of %v", late, f.config.Routers, loss)
	}
	result.RecoveredMs = time.Since(returned).Milliseconds()
	sleep(ctx, 2*heartbeatInterval)
	return result, nil
}

// choose returns the routers that are lost.
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

// primary is the router that takes orders; the others send the operator there.
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
		if at := f.coreOf(response.Header.Get("Location")); at >= 0 {
			return at
		}
	}
	return 0
}

// coreOf is the core router that a location names, or -1.
func (f *fleet) coreOf(location string) int {
	for core := range f.config.Core {
		if strings.Contains(location, fmt.Sprintf("//%s:%d/", f.ip(core), controlPort)) {
			return core
		}
	}
	return -1
}

// change has the core take one more change within a time. An order that is not taken in time may still be: the next one
// builds on what the core then has.
func (f *fleet) modifyConfig(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	f.version++
	_, err := f.submitConfig(ctx, "/config/modify", fmt.Sprintf(`{"version":%d,"upsert":{"services":[{"name":"m0","maxConnections":%d}]}}`,
		f.version, 600+f.version))
	if err != nil {
		f.version-- // the same order once more
	}
	return err
}
