package config

// Tenant is a customer with API keys and a quota.
type Tenant struct {
	Name          string   `json:"name"`
	APIKeys       []string `json:"apiKeys"`
	Priority      *int     `json:"priority"`
	Unit          string   `json:"unit"`        // of the quota: UnitTokens; otherwise requests
	DefaultTokens float64  `json:"plainTokens"` // quota units of a request that does not state its tokens; 0: it uses no quota
	RatePerS      float64  `json:"ratePerS"`    // units/s
	Burst         float64  `json:"burst"`       // units
}

// UnitTokens is the unit of quotas that are measured in tokens.
const UnitTokens = "token_count"
