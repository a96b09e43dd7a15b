package budget

const (
	// TokensPerRequest is the number of tokens that a client's first attempt earns: the rate of retries while nothing
	// succeeds.
	TokensPerRequest = 0.2
	// MaxExtraAttempts bounds the extra attempts of a received grant. A grant with more is invalid.
	MaxExtraAttempts = 8

	tokensPerSuccess  = 1.0  // earned by an answer within its target latency; while retries help, all that are wanted are granted
	tierMaxTokens     = 60.0 // size of the bucket, divided among all instances of the first tier,
	minMaxTokens      = 6.0  // but at least this at each of them
	minTokensForGrant = 2.0  // a grant that uses more tokens than this makes the balance negative
)

// RetryBudget is a token bucket that limits the retries that an instance of the first tier may cause.
type RetryBudget struct{ tokens, maxTokens float64 }

// NewRetryBudget returns a full retry budget for one instance of a tier with the given number of instances.
func NewRetryBudget(instances int) *RetryBudget {
	size := max(minMaxTokens, tierMaxTokens/float64(max(1, instances)))
	return &RetryBudget{tokens: size, maxTokens: size}
}

// GrantFirst returns the extra attempts that are granted to a client's first attempt: want, or 0 if there are too few
// tokens. The attempt earns TokensPerRequest.
func (b *RetryBudget) GrantFirst(want int) (extra int) {
	b.earn(TokensPerRequest)
	if b.tokens < minTokensForGrant {
		return 0
	}
	return want
}

// GrantRetry returns the extra attempts that are granted to a client's own retry. The retry itself costs a token. If
// there are too few tokens, ok is false and the retry must not be attempted at all: without extra attempts it would
// fail as the first attempt did, and use capacity that others need.
func (b *RetryBudget) GrantRetry(want int) (extra int, ok bool) {
	if b.tokens < minTokensForGrant {
		return 0, false
	}
	b.tokens--
	return want, true
}

// Finish records the end of a request that used the given number of extra attempts. good means an answer within its
// target latency: it earns tokens and returns the token that a client's retry paid. A failure pays one token for each
// extra attempt that may have been used.
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

// Tokens returns the number of extra attempts that can be paid for now. It is negative after more were used.
func (b *RetryBudget) Tokens() float64 { return b.tokens }

func (b *RetryBudget) earn(tokens float64) { b.tokens = min(b.maxTokens, b.tokens+tokens) }
