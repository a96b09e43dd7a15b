package config

// Service is a group of endpoints. HealthCheckPath and MaxConnections are accepted and not used: endpoints report by heartbeats, and routers
// check none.
type Service struct {
	Name            string `json:"name"`
	HealthCheckPath string `json:"healthCheckPath"`
	MaxConnections  int    `json:"maxConnections"`
}

// Limits bound what a client may send, and how long it may take. 0: no limit. Only MaxBodyBytes is enforced.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int64   `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}
