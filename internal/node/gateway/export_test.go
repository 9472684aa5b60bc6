package gateway

import "github.com/celerydeck/celerydeck/internal/transport/frontconn"

// Bodies returns the memory for bodies.
func (g *Gateway) Bodies() *frontconn.Memory { return g.opts.Bodies }
