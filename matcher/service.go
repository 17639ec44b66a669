package matcher

// Service is a group of backend servers that are alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is accepted by each backend server from all callers.
	MaxConnections int
}
