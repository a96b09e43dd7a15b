package config

// Service is a group of endpoints. HealthCheckPath and MaxConnections are accepted but not used: endpoints report by
// heartbeats, and routers do not probe them.
type Service struct {
	Name            string `json:"name"`
	HealthCheckPath string `json:"healthCheckPath"`
	MaxConnections  int    `json:"maxConnections"`
}

// Limits bounds the size and duration of clients' requests. 0: the router's own limit.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int64   `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}
