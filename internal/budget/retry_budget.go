package budget

const (
	// TokensPerRequest is what a client's first attempt earns: the rate of retries while nothing succeeds.
	TokensPerRequest = 0.2
	// MaxExtraAttempts bounds the extra attempts of a grant that is read; more is no grant of ours.
	MaxExtraAttempts = 8

	tokensPerSuccess  = 1.0  // that an answer within its target latency earns: while they help, all that are wanted are granted
	tierMaxTokens     = 60.0 // the bucket's size, over all instances of the first tier,
	minMaxTokens      = 6.0  // and at least this at each
	minTokensForGrant = 2.0  // a grant that uses more leaves a debt
)

// RetryBudget is a token bucket of the retries that an instance of the first tier may cause.
type RetryBudget struct{ tokens, maxTokens float64 }

// NewRetryBudget returns a full retry budget of one of so many instances.
func NewRetryBudget(instances int) *RetryBudget {
	size := max(minMaxTokens, tierMaxTokens/float64(max(1, instances)))
	return &RetryBudget{tokens: size, maxTokens: size}
}

// GrantFirst grants a client's first attempt up to want extra attempts, if there are tokens to pay with. The attempt earns.
func (b *RetryBudget) GrantFirst(want int) (extra int) {
	b.earn(TokensPerRequest)
	if b.tokens < minTokensForGrant {
		return 0
	}
	return want
}

// GrantRetry grants a client's own retry up to want extra attempts. It is paid for itself, and where it can't be, ok is false
// and it may make no attempt at all: a retry without extra attempts would fail as the first attempt did, and use up what
// others need.
func (b *RetryBudget) GrantRetry(want int) (extra int, ok bool) {
	if b.tokens < minTokensForGrant {
		return 0, false
	}
	b.tokens--
	return want, true
}

// Finish takes in the end of a request that used so many extra attempts. Good is an answer within its target latency: it gives
// back what a client's retry paid, and earns. A failure pays for the extra attempts that may have been used.
func (b *RetryBudget) Finish(used int, clientRetry, good bool) {
	switch {
	case !good:
		b.tokens -= float64(used)
	case clientRetry:
		b.earn(1 + tokensPerSuccess)
	default:
		b.earn(tokensPerSuccess)
	}
}

// Tokens is how many attempts can be paid for now; below 0 more were used than that.
func (b *RetryBudget) Tokens() float64 { return b.tokens }

func (b *RetryBudget) earn(tokens float64) { b.tokens = min(b.maxTokens, b.tokens+tokens) }
