package config

// Tenant is a customer with API keys and a quota.
type Tenant struct {
	Name        string   `json:"name"`
	APIKeys     []string `json:"apiKeys"`
	Priority    *int     `json:"priority"`
	Unit        string   `json:"unit"`        // of the quota; UnitTokens, else requests
	DefaultTokens float64  `json:"plainTokens"` // what a request counts for that does not state its tokens; 0: nothing
	RatePerS    float64  `json:"ratePerS"`    // units a second
	Burst       float64  `json:"burst"`       // units
}

// UnitTokens is the unit of quotas that are counted in tokens.
const UnitTokens = "token_count"
