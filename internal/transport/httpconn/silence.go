package httpconn

import (
	"sync/atomic"
	"time"
)

const (
	// livelyWithin is how recently an address must have sent bytes on any connection for an
	// attempt without a byte to be no sign of a silent link: its request may just wait.
	livelyWithin = 100 * time.Millisecond
	// peerMemory is how long the state of an address without idle connections is kept. It is
	// longer than a connection is in use without receiving anything.
	peerMemory = 5 * time.Minute
)

// peer is what the pool knows of an address.
type peer struct {
	lastBytes atomic.Int64 // when bytes were last received on any connection, in Unix nanoseconds
	touched   time.Time    // last use, guarded by Pool.mu
	silentAt  time.Time    // end of the last attempt without an answer, guarded by Pool.mu
}

// peerOf returns the state of an address. The caller holds p.mu.
func (p *Pool) peerOf(addr string) *peer {
	s := p.peers[addr]
	if s == nil {
		s = &peer{}
		p.peers[addr] = s
	}
	s.touched = time.Now()
	return s
}

// recordSilence records that an attempt to an address ended without any answer, not even a
// closed connection. It resets the idle connections to the address: a link that has gone silent
// holds back a request on them, while a dial shows whether the link works. Connections that are
// in use are not reused after their response (see Put).
func (p *Pool) recordSilence(addr string) {
	now := time.Now()
	p.mu.Lock()
	s := p.peerOf(addr)
	if now.Sub(time.Unix(0, s.lastBytes.Load())) < livelyWithin {
		p.mu.Unlock()
		return
	}
	s.silentAt = now
	idle := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}

// IsSilent reports whether an attempt or a dial to an address got no answer, and nothing was
// received from the address since.
func (p *Pool) IsSilent(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.peers[addr]
	return s != nil && s.silentAt.UnixNano() > s.lastBytes.Load() && !s.silentAt.IsZero()
}

// LastBytes returns when bytes were last received from an address.
func (p *Pool) LastBytes(addr string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.peers[addr]; s != nil {
		return time.Unix(0, s.lastBytes.Load())
	}
	return time.Time{}
}

// RecordBytes records that bytes were received from an address on a connection that is not the
// pool's.
func (p *Pool) RecordBytes(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerOf(addr).lastBytes.Store(time.Now().UnixNano())
}

// sweepPeers forgets addresses that were not used for a long time. The caller holds p.mu.
func (p *Pool) sweepPeers(now time.Time) {
	for addr, s := range p.peers {
		if len(p.idle[addr]) == 0 && now.Sub(s.touched) > peerMemory {
			delete(p.peers, addr)
		}
	}
}
