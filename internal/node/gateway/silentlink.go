package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/celerydeck/celerydeck/internal/state/upstreams"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

const (
	// silenceLimit is how long a repeatable request waits for its response head at an address from
	// which nothing is received, before the link is taken to be silent. With probeTimeout it stays
	// under the 2 s in which a leaving upstream must get its last requests: what a silent link holds
	// back could otherwise arrive after the upstream has left.
	silenceLimit = 1200 * time.Millisecond
	// probeTimeout limits a probe. Engines answer probes in a few milliseconds.
	probeTimeout = 300 * time.Millisecond
	// probeMaxAge is how long the result of a probe holds.
	probeMaxAge = 300 * time.Millisecond
)

var errSilentLink = errors.New("gateway: the link to the upstream answers nothing")

// prober probes engines whose links may be silent. Requests that need a probe of the same address
// at once share it. It is safe for concurrent use.
type prober struct {
	mu     sync.Mutex
	probes map[string]*probe // by address, including outdated ones
}

// probe is a probe that has ended or is in progress.
type probe struct {
	beganAt time.Time
	done    chan struct{} // closed when err is set
	err     error
}

// run probes an address, or returns the result of a recent probe.
func (p *prober) run(now time.Time, addr string, send func(ctx context.Context, addr string) error) error {
	p.mu.Lock()
	current := p.probes[addr]
	if current != nil && now.Sub(current.beganAt) < probeMaxAge {
		p.mu.Unlock()
		<-current.done
		return current.err
	}
	for other, old := range p.probes {
		if now.Sub(old.beganAt) > probeMaxAge+probeTimeout {
			delete(p.probes, other)
		}
	}
	if p.probes == nil {
		p.probes = make(map[string]*probe)
	}
	current = &probe{beganAt: now, done: make(chan struct{})}
	p.probes[addr] = current
	p.mu.Unlock()
	// The probe serves other requests too, so it does not end with this one.
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	current.err = send(ctx, addr)
	close(current.done)
	return current.err
}

// answersProbe reports whether the engine at an address answers a probe.
func (g *Gateway) answersProbe(addr string) bool {
	if g.probes.run(g.opts.Clock(), addr, g.opts.Probe) != nil {
		return false
	}
	g.opts.Pool.RecordBytes(addr)
	return true
}

// dial returns a connection for an attempt. The dial ends with the request. After a silence of the
// link, an engine must have answered a probe first: some links accept a connection, and hold back
// what is sent on it.
func (c *call) dial(u *upstreams.Upstream) (*httpconn.Conn, error) {
	if c.engine != nil && c.g.opts.Probe != nil && c.g.opts.Pool.IsSilent(u.Addr) && !c.g.answersProbe(u.Addr) {
		return nil, errSilentLink
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.timeLeft())
	defer cancel()
	return c.g.opts.Pool.GetExcept(ctx, u.Addr, !c.route.Repeatable(), c.usedConns)
}

// watchSilence resets the connection of a repeatable request if the link answers nothing until the
// response head is received. A request that must not repeat waits until its deadline, since it may
// be running. watchSilence returns a function that ends the watch.
func (x *exchange) watchSilence() (stop func()) {
	if !x.c.route.Repeatable() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		wait := silenceLimit
		for {
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
			if wait = x.checkSilence(); wait == 0 {
				if ctx.Err() == nil {
					x.resetFor("link silent")
				}
				return
			}
		}
	}()
	return cancel
}

// checkSilence returns the time until the next check, or zero if the link answers nothing.
func (x *exchange) checkSilence() time.Duration {
	quiet := x.c.g.opts.Clock().Sub(x.c.g.opts.Pool.LastBytes(x.u.Addr))
	if quiet < silenceLimit {
		return silenceLimit - quiet
	}
	// An engine may work off a long queue before it answers. It answers a probe meanwhile.
	if x.c.engine != nil && x.c.g.opts.Probe != nil && x.c.g.answersProbe(x.u.Addr) {
		return silenceLimit
	}
	return 0
}
