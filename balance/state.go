package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinelb.example/pinelb/balance/grey"
	"pinelb.example/pinelb/balance/warmup"
)

// The types that hold an instance's state, and bookkeeping that decides nothing.

// Balancer is the state of one instance.
type Balancer struct {
	settings     Settings
	warmupConfig warmup.Site // of the settings, what cold servers are judged by
	random       *rand.Rand
	instanceHash uint64 // hashed from the instance's name; 0 is none
	now          time.Duration
	actions      []Action
	tickInterval time.Duration // 0 until the first event
	nextTick     time.Duration // when the next one is due

	classes     []*classState
	tenants     []tokenBucket
	requests    map[RequestID]*requestState // until answered and every attempt has ended
	unanswered  []*requestState             // unanswered
	queue       []*requestState             // held here, best first
	retryTokens float64                     // retry budget

	endpoints            []*endpointState // listed, or still holding a request; by endpoint
	endpointsByID        map[EndpointID]*endpointState
	cordoned             map[EndpointID]bool // by operators: they count as draining, whatever the list says
	readyEndpoints       []*endpointState    // those ready in the list, used or not, in the order of choice
	instancesPerEndpoint float64             // instances that use a server, as far as this one can tell
	capacity             float64             // what they can do, in warm ones, or could when last there were any; the limit goes with it
	groups               map[groupKey]*group
	latencyWindow        decayedMean // of the share of their aims that answers took
	latencyWindowStart   time.Duration
	baselineWindow       decayedMean // the same, until there are enough for the measure
	baseline             float64     // the low end of the share
	baselineKnown        bool        // there has been such a measure while the limit had room
	limit                float64     // requests that all servers together may hold of ours
	limitDither          float64     // from 0 to 1, this instance's: how it rounds the limit
	unusedLimit          float64     // request-seconds of a small limit that may still be used
	limitUse             decayedMean // how many were held since the limit was last looked at
	congestionAvoidance  bool        // the limit has been cut once: it grows slowly from then on
	congested            bool        // it has been cut, and answers have not been quick since
	panicMode            bool        // most servers look bad: health is no guide
	detector             *grey.Fleet
	availableCount       int           // servers in use that the list has as ready, as of the last look
	unhealthyCount       int           // of them not healthy
	inFlight             int           // requests that servers have in work, but for those written off, as of the last look and since
	pausedTime           time.Duration // for how long in all this instance itself did not run

	bins             []bin
	rows             [][]float64 // per bin: the cached split over servers
	totalShare       []float64   // each server's share over all bins
	cumulativeRows   [][]float64 // of each row, up to each server
	solvedFor        solveInputs
	cachedListSeeded bool          // it has had its first send to a host of an old list
	listExpectedAt   time.Duration // when discovery may tell of a first list; long past where it is asked all the time
	solveNeeded      bool          // a change that calls for a solve as soon as one is allowed
	solvedAt         time.Duration
	nextMaintenance  time.Duration
	nextBinRefresh   time.Duration
	sends            decayedMean // sends, for their rate
	rejections       decayedMean // requests, and how many of them were refused
	responses        decayedMean // answers, with the aims of their classes

	subscribed        bool
	nextSubscribe     time.Duration
	subscribeFailures int
}

type classState struct {
	Class
	latency         decayedMean       // of served attempts, seconds
	priority        float64           // what its calls are worth, and
	callShare       float64           // their part of all, as of the last upkeep
	latencyFactor   float64           // as of then
	recentRemaining [16]time.Duration // the times that its last tries came with
	arrivals        int
}

type tokenBucket struct{ rate, tokens float64 }

type bin struct{ arrivals, share float64 }

type requestState struct {
	id                RequestID
	class             *classState
	classIndex        int
	deadline          time.Duration
	targetAt          time.Duration
	queueUntil        time.Duration
	usefulUntil       time.Duration // the latest time at which an answer is worth anything
	overQuota         bool          // beyond its tenant's share
	priority          float64
	maxAttempts       int     // attempts that it may make
	retryCost         float64 // of a retry: 0 where most was granted, for somebody else has paid
	arrivedAt         time.Duration
	uploading         bool // its message still comes: its time has not begun, and no host has work of it
	singleAttempt     bool // and what has been passed on of it is not here any more: one attempt at a time
	retriedBelow      bool // the tier below has failed after trying again: this one doesn't
	attempts          []attemptState
	hasEarlierAttempt bool         // of an effect that an earlier request may have had,
	earlierAttempt    attemptState // by this
	openAttempts      int          // attempts that have not ended
	done              bool
	queued            bool
	unansweredIndex   int
}

type attemptState struct {
	endpoint   *endpointState
	sentAt     time.Duration
	open       bool
	mayHaveRun bool // its work may have taken effect
	streamed   bool
}

type groupKey struct {
	kind   int
	weight float64
}

// sent is an attempt that a server holds.
type pendingAttempt struct {
	request         *requestState
	sentAt          time.Duration
	overtakenBy     int           // by so many answers to attempts sent later
	sentAtRunTime   time.Duration // as Balancer.ran was then
	hangProbability float64       // the odds that it will not be answered, as of the last look
}

// group is what like servers have in common.
type group struct {
	latency decayedMean
}

// server is one endpoint as this instance sees it.
type endpointState struct {
	Entry
	group     *group
	available bool // ready in the list, and not cordoned
	inSubset  bool // one of those that this instance sends to

	pending        []pendingAttempt // by the time of sending
	inFlight       int              // of them do not seem to hang, as of the last look and since
	unhealthy      bool             // it was not healthy then: what it has in work counts nowhere
	latency        decayedMean      // of served attempts, scaled to the mean class, seconds
	overdueLatency decayedMean      // the same of attempts still out, once longer than that
	evidence       grey.Host

	consecutiveFailures int           // in a row
	lastSignal          time.Duration // it said something, by Balancer.ran
	lastSuccess         time.Duration // of the last answer
	ejectedUntil        time.Duration // until then
	ejectionBackoff     time.Duration
	halfOpen            bool // one request at a time until it has served one

	listedStart time.Duration // its last start as the list had it
	warmup      warmup.Budget // what it may be sent while it is cold

	utilisation loadValue
}

// report is the latest value of one load field.
type loadValue struct {
	value float64
	known bool
}

// snapshot is what the last solve rested on.
type solveInputs struct {
	latency, binShares []float64
	failureRates       [][]float64
}

// average is a mean whose samples lose weight with time.
type decayedMean struct{ n, sum float64 }

func (a *decayedMean) add(x float64)      { a.n, a.sum = a.n+1, a.sum+x }
func (a *decayedMean) decay(keep float64) { a.n, a.sum = a.n*keep, a.sum*keep }

// mean is the average as if prior had been seen weight times as well.
func (a *decayedMean) mean(prior, weight float64) float64 {
	if a.n+weight <= 0 {
		return prior
	}
	return (a.sum + prior*weight) / (a.n + weight)
}

// unhold removes an ended attempt from those that its server holds and returns it. An answer passes those that were
// sent before, and the server has said something unless the end was our own doing.
func (b *Balancer) removePending(request *requestState, attempt *attemptState, status Status) pendingAttempt {
	endpoint, answered := attempt.endpoint, status == OK
	if status != Cancelled && status != NotSent {
		endpoint.lastSignal = b.runTime()
	}
	i := slices.IndexFunc(endpoint.pending, func(pending pendingAttempt) bool {
		return pending.request == request && pending.sentAt == attempt.sentAt
	})
	pending := endpoint.pending[i]
	endpoint.pending = slices.Delete(endpoint.pending, i, i+1)
	for i := range endpoint.pending {
		if answered && endpoint.pending[i].sentAt < pending.sentAt {
			endpoint.pending[i].overtakenBy++
		}
	}
	if request.uploading { // the host has had nothing to answer yet
		pending.sentAt = b.now
	}
	if !pending.likelyHung() {
		b.addInFlight(endpoint, -request.load())
	}
	if answered && endpoint.unhealthy && b.now >= endpoint.ejectedUntil { // it is back
		endpoint.unhealthy = false
		b.inFlight += endpoint.inFlight
	}
	return pending
}

// ran is for how long this instance has run in all. What is out, and who is silent, is judged by it: while the instance
// itself did not run it could hear of nothing.
func (b *Balancer) runTime() time.Duration { return b.now - b.pausedTime }

// count has a server hold one more or less that works.
func (b *Balancer) addInFlight(endpoint *endpointState, n int) {
	endpoint.inFlight += n
	if !endpoint.unhealthy {
		b.inFlight += n
	}
}

// stuck tells whether an attempt more likely hangs than not. It tells nothing of a crowd, and takes no room.
func (pending *pendingAttempt) likelyHung() bool { return pending.hangProbability > 0.5 }

// findPending finds a request's attempt among those that its server holds.
func findPending(request *requestState, attempt *attemptState) *pendingAttempt {
	i := slices.IndexFunc(attempt.endpoint.pending, func(pending pendingAttempt) bool {
		return pending.request == request && pending.sentAt == attempt.sentAt
	})
	return &attempt.endpoint.pending[i]
}

// watch looks at what is out: how likely it is that each attempt hangs, how many are in work, and what is out for
// longer than its server's mean, which is evidence of a longer delay.
func (b *Balancer) assessPending() {
	if late := b.now - b.nextTick; b.nextTick > 0 && late > pauseTicks*b.tickInterval {
		b.pausedTime += late // the fault is this instance's own: nothing that was out is blamed for it
	}
	b.nextTick = b.now + b.tickInterval
	b.detector.Look()
	b.inFlight, b.availableCount, b.unhealthyCount = 0, 0, 0
	for _, endpoint := range b.endpoints {
		endpoint.unhealthy, endpoint.inFlight, endpoint.overdueLatency = !b.healthy(endpoint), 0, decayedMean{}
		if endpoint.available {
			b.availableCount++
			if endpoint.unhealthy {
				b.unhealthyCount++
			}
		}
		if len(endpoint.pending) == 0 {
			continue
		}
		like := endpoint.group.latency.mean(b.classLatency(b.classes[0]).Seconds(), 0.1)
		mean, n := endpoint.latency.mean(like, priorCalls), 0
		for i := range endpoint.pending {
			pending := &endpoint.pending[i]
			if pending.request.uploading {
				pending.sentAtRunTime, pending.hangProbability = b.runTime(), 0
				continue
			}
			age := (b.runTime() - pending.sentAtRunTime).Seconds()
			if y := age / pending.request.class.latencyFactor; y > mean {
				endpoint.overdueLatency.add(y)
			}
			pending.hangProbability = b.detector.Hangs(&endpoint.evidence, pending.request.classIndex, age, mean/like, pending.overtakenBy)
			if !pending.likelyHung() {
				n++
			}
		}
		b.addInFlight(endpoint, n)
	}
}

// unlive removes an answered request from those that are looked at.
func (b *Balancer) removeUnanswered(request *requestState) {
	last := b.unanswered[len(b.unanswered)-1]
	b.unanswered[request.unansweredIndex], last.unansweredIndex = last, request.unansweredIndex
	b.unanswered = b.unanswered[:len(b.unanswered)-1]
	if request.queued {
		request.queued = false
		b.queue = slices.DeleteFunc(b.queue, func(w *requestState) bool { return w == request })
	}
}

// forget drops a request that is answered and has nothing out.
func (b *Balancer) release(request *requestState) {
	if request.done && request.openAttempts == 0 {
		delete(b.requests, request.id)
	}
}

// onCordon takes an endpoint out, or puts one back that was. Operators restart it in between, so that it comes back cold
// and what was learned of it is void, also where the list has not told of the restart, or tells of it later.
func (b *Balancer) onCordon(ev *Event) {
	endpoint := b.endpointsByID[ev.Endpoint]
	switch {
	case ev.Cordoned:
		b.cordoned[ev.Endpoint] = true
	case b.cordoned[ev.Endpoint]:
		delete(b.cordoned, ev.Endpoint)
		if endpoint != nil {
			*endpoint = endpointState{Entry: endpoint.Entry, group: endpoint.group, pending: endpoint.pending, listedStart: endpoint.listedStart}
			endpoint.StartedAt = b.now
		}
	}
	if endpoint != nil {
		endpoint.available = endpoint.State == Ready && !ev.Cordoned
		b.rebuildEndpoints()
		b.solveNeeded = true
	}
}

// relist puts the servers in order and carries the rows over; a new server starts with an even share.
func (b *Balancer) rebuildEndpoints() {
	old := map[*endpointState]int{}
	for i, endpoint := range b.endpoints {
		old[endpoint] = i
	}
	b.endpoints = nil
	var left []EndpointID
	b.chooseSubset()
	for id, endpoint := range b.endpointsByID {
		_, had := old[endpoint]
		switch {
		case endpoint.available && endpoint.inSubset || len(endpoint.pending) > 0:
			b.endpoints = append(b.endpoints, endpoint)
		case !endpoint.available && !(endpoint.State == Ready && b.cordoned[id]): // that one may be put back with no word of the list
			delete(b.endpointsByID, id)
		case had: // no longer used: its connections are of use to others, and what was learned goes stale
			left = append(left, endpoint.Endpoint)
			endpoint.latency, endpoint.evidence = decayedMean{}, grey.Host{}
		}
	}
	slices.Sort(left)
	for _, id := range left {
		b.emit(Action{Kind: ActCloseIdle, Endpoint: id})
	}
	slices.SortFunc(b.endpoints, func(x, y *endpointState) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	b.seedCachedList()
	rows := make([][]float64, len(b.bins))
	for k := range rows {
		rows[k] = make([]float64, len(b.endpoints))
		for i, endpoint := range b.endpoints {
			if j, known := old[endpoint]; known {
				rows[k][i] = b.rows[k][j]
			} else {
				rows[k][i] = 1 / float64(len(b.endpoints))
			}
		}
		normalise(rows[k])
	}
	b.rows = rows
	b.totalShare = b.sumShares(b.binWeights())
	b.accumulateRows()
}

// accumulateRows adds each row up, so that a draw from it is a search.
func (b *Balancer) accumulateRows() {
	b.cumulativeRows = make([][]float64, len(b.rows))
	for k, row := range b.rows {
		b.cumulativeRows[k] = make([]float64, len(row))
		sum := 0.0
		for i, p := range row {
			sum += p
			b.cumulativeRows[k][i] = sum
		}
	}
}

// totals is each server's share of all calls.
func (b *Balancer) sumShares(weight []float64) []float64 {
	t := make([]float64, len(b.endpoints))
	for k, row := range b.rows {
		for i := range row {
			t[i] += weight[k] * row[i]
		}
	}
	return t
}

// project moves a row to the nearest point of the simplex (Euclidean).
func projectToSimplex(row []float64) {
	u := slices.Clone(row)
	slices.Sort(u)
	sum, theta := 0.0, 0.0
	for j := len(u) - 1; j >= 0; j-- {
		sum += u[j]
		if t := (sum - 1) / float64(len(u)-j); u[j] > t {
			theta = t
		}
	}
	for i := range row {
		row[i] = max(0, row[i]-theta)
	}
}

// normalise scales a row to sum one.
func normalise(row []float64) {
	sum := 0.0
	for _, p := range row {
		sum += p
	}
	for i := range row {
		if sum > 0 {
			row[i] /= sum
		}
	}
}

// remember keeps what this solve rested on.
func (b *Balancer) recordSolveInputs(weight []float64) {
	b.solvedFor, b.solvedAt, b.solveNeeded = solveInputs{binShares: weight}, b.now, false
	for _, endpoint := range b.endpoints {
		b.solvedFor.latency = append(b.solvedFor.latency, b.meanLatency(endpoint))
		b.solvedFor.failureRates = append(b.solvedFor.failureRates, b.failureRates(endpoint))
	}
}

// failureRates is the share that a server fails of each class, with what it has out counted by its odds.
func (b *Balancer) failureRates(endpoint *endpointState) []float64 {
	hanging, out := 0.0, 0.0
	for i := range endpoint.pending {
		if endpoint.pending[i].likelyHung() {
			hanging, out = hanging+endpoint.pending[i].hangProbability, out+1
		}
	}
	fails := make([]float64, len(b.classes))
	for i := range fails {
		fails[i] = b.detector.Fails(&endpoint.evidence, i, hanging, out)
	}
	return fails
}

// initialLatencies is what an answer of each class is taken to need before any is known, in seconds.
func initialLatencies(classes []Class) []float64 {
	var first []float64
	for _, c := range classes {
		first = append(first, 0.1*c.TargetLatency.Seconds())
	}
	return first
}

// apart is the largest difference of two lists of the same length.
func maxDifference(x, y []float64) float64 {
	most := 0.0
	for i := range x {
		most = max(most, math.Abs(x[i]-y[i]))
	}
	return most
}

// EndpointHealth is how a host that an instance uses stands with it, for those who look on.
type EndpointHealth struct {
	Endpoint    EndpointID
	Grey        bool    // it fails more of what it gets than its like
	Ejected     bool    // it gets nothing for a while, or only one request at a time until it has served one
	FailureRate float64 // share of its attempts that come to nothing, of the class of which it fails most
}

// EndpointHealth appends how the hosts in use stand, in the order of their numbers.
func (b *Balancer) EndpointHealth(out []EndpointHealth) []EndpointHealth {
	for _, endpoint := range b.endpoints {
		out = append(out, EndpointHealth{endpoint.Endpoint, endpoint.evidence.Grey(), b.now < endpoint.ejectedUntil || endpoint.halfOpen, slices.Max(b.failureRates(endpoint))})
	}
	return out
}

// comingMost is how long a message may come; whoever reads it gives it up sooner.
const comingMost = time.Hour

// comes has a request's time begin later, when onUploadDone says so. Until then only a host is looked for.
func (request *requestState) beginUpload(now time.Duration) {
	request.arrivedAt, request.uploading, request.singleAttempt = now, true, true
	request.postpone(comingMost)
}

func (request *requestState) postpone(d time.Duration) {
	request.deadline, request.targetAt, request.usefulUntil = request.deadline+d, request.targetAt+d, request.usefulUntil+d
}

// work is how much a host has in work of an attempt at the request.
func (request *requestState) load() int {
	if request.uploading {
		return 0
	}
	return 1
}

// onWord takes in what changes the state and asks for no decision.
func (b *Balancer) onWord(ev *Event) {
	switch ev.Kind {
	case EventUploadDone:
		b.onUploadDone(ev)
	case EventCordon:
		b.onCordon(ev)
	case EventSettings:
		b.onSettings(ev.Settings)
	case EventListExpected:
		b.listExpectedAt = b.now + ev.ExpectedIn
	}
}

// repeats has a request be one of an effect that may have taken place already. Where that was limits who may get it, and
// is not known any more, nobody may.
func (b *Balancer) setEarlierAttempt(request *requestState, ev *Event) {
	if request.hasEarlierAttempt = ev.EarlierAttemptAt > 0 && request.class.Idempotency != Idempotent; !request.hasEarlierAttempt {
		return
	}
	request.earlierAttempt = attemptState{endpoint: b.endpointsByID[ev.Endpoint], sentAt: min(ev.EarlierAttemptAt, b.now), mayHaveRun: true}
	if request.class.Scope != ScopeAll && request.earlierAttempt.endpoint == nil {
		request.maxAttempts = 0
	}
}

// ran yields the attempts whose work may have taken effect.
func (request *requestState) mayHaveRun(yield func(*attemptState) bool) {
	if request.hasEarlierAttempt && !yield(&request.earlierAttempt) {
		return
	}
	for i := range request.attempts {
		if attempt := &request.attempts[i]; attempt.mayHaveRun && !yield(attempt) {
			return
		}
	}
}

// onUploadDone has a request's time begin, and its host's.
func (b *Balancer) onUploadDone(ev *Event) {
	request := b.requests[ev.Request]
	if request == nil || !request.uploading {
		return
	}
	request.uploading = false
	request.postpone(b.now - request.arrivedAt - comingMost)
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if !attempt.open {
			continue
		}
		endpoint := attempt.endpoint
		at := slices.IndexFunc(endpoint.pending, func(pending pendingAttempt) bool {
			return pending.request == request && pending.sentAt == attempt.sentAt
		})
		pending := endpoint.pending[at]
		attempt.sentAt, pending.sentAt, pending.sentAtRunTime = b.now, b.now, b.runTime()
		endpoint.pending = append(slices.Delete(endpoint.pending, at, at+1), pending) // by the time of sending
		b.addInFlight(endpoint, 1)
	}
}

// cachedTrickleRate is how many sends a second an instance makes to hosts of which an old list is all that is known, before any of them
// has answered: three hundred instances that come back together with twelve cold hosts send each 50, one alone is not dark.
const cachedTrickleRate = 2.0

// trickle is how many sends a second go to a cold host without evidence.
func (b *Balancer) trickleRate(endpoint *endpointState) float64 {
	rate := b.warmupConfig.Trickle(b.uptime(endpoint), b.instancesPerEndpoint)
	if endpoint.Cached {
		rate = max(rate, cachedTrickleRate/float64(len(b.endpoints)))
	}
	return rate
}

// begin gives an instance that starts with an old list one send at once, to any of its hosts: the rest is earned by answers.
func (b *Balancer) seedCachedList() {
	if b.cachedListSeeded {
		return
	}
	var guessed []*endpointState
	for _, endpoint := range b.endpoints {
		if endpoint.Cached {
			guessed = append(guessed, endpoint)
		}
	}
	if b.cachedListSeeded = len(guessed) > 0; b.cachedListSeeded {
		guessed[b.random.IntN(len(guessed))].warmup.Answered(b.now, 1, 0)
	}
}

// sharers is by how many processes what all may do is shared.
func (s *Settings) processCount() float64 { return float64(s.Instances * max(1, s.Processes)) }

// adopt takes over settings. The classes that there are keep what was learned of them.
func (b *Balancer) applySettings(s *Settings) {
	b.settings, b.instanceHash = *s, hashName(s.Name)
	b.warmupConfig = warmup.Site{Share: s.WarmupInitialShare, Warm: s.WarmupDuration, Aim: s.Classes[0].TargetLatency, Sure: s.Name == ""}
	for i, c := range s.Classes {
		b.warmupConfig.Aim = min(b.warmupConfig.Aim, c.TargetLatency)
		if i == len(b.classes) {
			b.classes = append(b.classes, &classState{})
			b.bins = append(b.bins, make([]bin, binsPerClass)...)
		}
		changed := *b.classes[i]
		changed.Class = c
		b.classes[i] = &changed
	}
	b.detector.Widen(initialLatencies(s.Classes))
	b.tenants = nil
	for _, t := range s.Tenants {
		rate := t.Quota / s.processCount()
		b.tenants = append(b.tenants, tokenBucket{rate, rate})
	}
	b.updateClassWeights()
}

// onSettings takes over changed settings. What has been learned of hosts and classes stays; requests under way keep the
// class that they came with, in its form of then, but make no more attempts than are allowed now.
func (b *Balancer) onSettings(s *Settings) {
	b.limit *= b.settings.processCount() / s.processCount() // this process's part of the same whole
	b.tickInterval = max(minTickInterval, s.TimeResolution)
	b.applySettings(s)
	for len(b.rows) < len(b.bins) {
		row := make([]float64, len(b.endpoints))
		for i := range row {
			row[i] = 1 / float64(len(row))
		}
		b.rows = append(b.rows, row)
	}
	for _, request := range b.unanswered {
		request.maxAttempts = min(request.maxAttempts, s.MaxAttempts)
	}
	b.rebuildEndpoints()
	b.solveNeeded = true
}

// latest is until when an answer is worth anything.
func (request *requestState) latestUseful() time.Duration {
	if request.class.LateValue == 0 {
		return min(request.deadline, request.targetAt)
	}
	return request.deadline
}

// most is how many attempts a request may make.
func (b *Balancer) maxAttempts(ev *Event) int {
	if ev.MaxAttempts == 0 {
		return b.settings.MaxAttempts
	}
	return min(ev.MaxAttempts, b.settings.MaxAttempts)
}

// price is what one more attempt costs of the retries here: nothing where most was granted, for then it has been paid.
func retryCost(ev *Event) float64 {
	if ev.MaxAttempts != 0 {
		return 0
	}
	return 1
}

// worth is the share of its class's worth that a request is worth, as it came.
func valueShare(ev *Event) float64 {
	if ev.ValueShare <= 0 {
		return 1
	}
	return min(1, ev.ValueShare)
}

// worth is the same as it goes down.
func (request *requestState) valueShare() float64 {
	return min(1, request.priority/request.class.priority)
}

// last is the latest attempt of a request that has one.
func (request *requestState) lastAttempt() *attemptState {
	return &request.attempts[len(request.attempts)-1]
}

// trackLowEnd moves an estimate of a low end toward a new value: down fast and up hardly.
func trackLowEnd(low, x float64) float64 {
	switch {
	case low == 0 || math.IsInf(low, 0):
		return x
	case x < low:
		return low + 0.3*(x-low)
	}
	return low + 0.001*(x-low)
}

// ring orders the listed endpoints so that every stretch of it has its fair part of each kind: those of
// one kind follow their hashed ids, and the kinds are interleaved. With an own of 0 it
// is the same at every instance, and otherwise that instance's.
func ringOrder(all map[EndpointID]*endpointState, own uint64) []*endpointState {
	byKind := map[int][]*endpointState{}
	for _, endpoint := range all {
		if endpoint.available {
			byKind[endpoint.Kind] = append(byKind[endpoint.Kind], endpoint)
		}
	}
	var order []*endpointState
	at := map[*endpointState]float64{}
	for _, like := range byKind {
		slices.SortFunc(like, func(x, y *endpointState) int {
			return cmp.Compare(hashEndpoint(x.Endpoint, own), hashEndpoint(y.Endpoint, own))
		})
		for i, endpoint := range like {
			at[endpoint] = (float64(i) + 0.5) / float64(len(like))
		}
		order = append(order, like...)
	}
	slices.SortFunc(order, func(x, y *endpointState) int {
		return cmp.Or(cmp.Compare(at[x], at[y]), cmp.Compare(hashEndpoint(x.Endpoint, own), hashEndpoint(y.Endpoint, own)))
	})
	return order
}

// hashed is an instance's own number, from its name; 0 where it has none.
func hashName(name string) uint64 {
	if name == "" {
		return 0
	}
	return xxhash.Sum64String(name) | 1
}

// mix is a hash of an endpoint (the finaliser of splitmix64, one to one), for each own another.
func hashEndpoint(id EndpointID, own uint64) uint64 {
	x := (uint64(id) ^ own) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.random.Float64() * float64(d))
}

// refreshBins takes over the distribution of the last ten seconds.
func (b *Balancer) refreshBins() {
	total := 0.0
	for i := range b.bins {
		total += b.bins[i].arrivals
	}
	for i := range b.bins {
		b.bins[i] = bin{share: b.bins[i].arrivals / max(total, 1)}
	}
}

// ahead is how many of those in line go before r.
func (b *Balancer) queuedAhead(request *requestState) float64 {
	n := 0
	for _, w := range b.queue {
		if w.priority >= request.priority {
			n++
		}
	}
	return float64(n)
}

// usual takes in the time that a try came with and returns what its like come with: the most, but for the
// top fifth of the last ones, for a few clients with more patience must not make all others look late.
func (class *classState) usualRemaining(left time.Duration) time.Duration {
	class.recentRemaining[class.arrivals%len(class.recentRemaining)] = left
	class.arrivals++
	last := class.recentRemaining
	n := min(class.arrivals, len(last))
	slices.Sort(last[:n])
	return last[n-1-n/5]
}

// spent is how much of its aim a request has used up before it came. A try that comes with less time than is usual
// for its class may have spent the difference; or its caller has less patience. It is the latter where it is known
// for a first try, and is taken to be where the aim could not be met any more: the caller still waits for it.
func (b *Balancer) timeSpent(class *classState, ev *Event) time.Duration {
	spent := max(0, class.usualRemaining(ev.Remaining)-ev.Remaining)
	first := b.settings.MarksRetries && !ev.ClientRetry
	if first && (b.settings.Tier == 0 || spent > class.TargetLatency-b.classLatency(class)) {
		return 0
	}
	return spent
}

// weigh takes over what each class's calls are worth now, and their part of all calls.
func (b *Balancer) updateClassWeights() {
	for _, class := range b.classes {
		class.latencyFactor = b.latencyFactor(class)
		class.priority, class.callShare = b.classPriority(class), 0
	}
	for k, w := range b.binWeights() {
		b.classes[k/binsPerClass].callShare += w
	}
}
