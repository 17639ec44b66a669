package matcher

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that each backend server accepts from
	// all callers together.
	MaxConnections int
}
