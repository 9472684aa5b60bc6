package metrics

import "github.com/uber-go/tally/v4"

const (
	nameClientsClosed     = "clients_closed_total"
	nameClientConnections = "client_connections"
)

// Clients records the clients of one listener.
type Clients struct {
	scope       tally.Scope
	connections tally.Gauge
}

// Clients returns the metrics of a listener.
func (r *Recorder) Clients(listener string) *Clients {
	scope := r.scope.Tagged(map[string]string{"listener": listener})
	return &Clients{scope: scope, connections: scope.Gauge(nameClientConnections)}
}

// Closed records clients that were closed or refused because of a limit.
func (c *Clients) Closed(reason string, count int64) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter(nameClientsClosed).Inc(count)
}

// SetConnections records the number of open connections.
func (c *Clients) SetConnections(n int) { c.connections.Update(float64(n)) }
