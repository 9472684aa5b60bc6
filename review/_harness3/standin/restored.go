package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/standin/objectstore"
)

func init() { cases["restored"] = playRestored }

const (
	restoredEngines  = 8
	restoredAdapters = 400
	firstCut         = 12 * time.Second // the largest dose of node_cut in the site files
	secondCut        = 9 * time.Second
	storeAway        = 700 * time.Millisecond
	leaseInterval    = 3 * time.Second // bounds.lease_ms
	askPause         = 12 * time.Millisecond
)

// cutLinks are the links of the machines to the store and to each other. A machine that is cut off sends and
// receives nothing: datagrams are lost, and calls of the store are held back until the cut ends.
type cutLinks struct {
	mu  sync.Mutex
	cut map[string]chan struct{} // by IP of the machine; closed when the cut ends
}

func (l *cutLinks) set(ip string, isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isCut {
		l.cut[ip] = make(chan struct{})
	} else if c := l.cut[ip]; c != nil {
		close(c)
		delete(l.cut, ip)
	}
}

func (l *cutLinks) isCut(ip string) bool { return l.end(ip) != nil }

// end returns a channel that is closed when the cut of a machine ends, or nil if it isn't cut off.
func (l *cutLinks) end(ip string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[ip]
}

// storeLink serves the store to one machine. It replaces the address at which the machine receives messages of
// its peers by that of its link.
type storeLink struct {
	links        *cutLinks
	store        http.Handler
	ip, from, to string
}

// ServeHTTP implements http.Handler.
func (s *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if end := s.links.end(s.ip); end != nil {
		select { // what the cut holds back is lost if its sender gives it up
		case <-end:
		case <-r.Context().Done():
			return
		}
	}
	body = bytes.ReplaceAll(body, []byte(`"`+s.from+`"`), []byte(`"`+s.to+`"`))
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	s.store.ServeHTTP(w, r)
}

// peerLink passes datagrams on to a machine, and its answers back, unless one of the two machines is cut off.
func peerLink(links *cutLinks, ip, target string) (string, error) {
	in, err := net.ListenPacket("udp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		to, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			return
		}
		conns := make(map[string]net.PacketConn)
		buf := make([]byte, 2048)
		for {
			n, from, err := in.ReadFrom(buf)
			if err != nil {
				return
			}
			sender := from.(*net.UDPAddr).IP.String()
			if links.isCut(ip) || links.isCut(sender) {
				continue
			}
			out := conns[from.String()]
			if out == nil {
				if out, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
					return
				}
				conns[from.String()] = out
				go func() {
					back := make([]byte, 2048)
					for {
						n, _, err := out.ReadFrom(back)
						if err != nil {
							return
						}
						if !links.isCut(ip) && !links.isCut(sender) {
							_, _ = in.WriteTo(back[:n], from) // UDP may lose datagrams
						}
					}
				}()
			}
			_, _ = out.WriteTo(buf[:n], to)
		}
	}()
	return in.LocalAddr().String(), nil
}

// seenOrder is an order as an engine received it.
type seenOrder struct {
	at    time.Time
	owner string
	fence uint64
}

// orderLog records the orders to an engine and passes them on.
type orderLog struct {
	*partEngine
	mu     sync.Mutex
	orders []seenOrder
}

// ServeHTTP implements http.Handler.
func (e *orderLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/order" {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var o struct {
			Owner string `json:"owner"`
			Fence uint64 `json:"fence_token"`
		}
		_ = json.Unmarshal(data, &o) // the engine refuses an order that can't be read
		e.mu.Lock()
		e.orders = append(e.orders, seenOrder{time.Now(), o.Owner, o.Fence})
		e.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(data))
	}
	e.partEngine.ServeHTTP(w, r)
}

// playRestored cuts a machine off while others take its engines over, and lets the store come back from a copy
// that is older than the takeover.
func playRestored(w *world) (bool, error) {
	w.store.SetEra(1)
	links := &cutLinks{cut: make(map[string]chan struct{})}
	p := &partWorld{w: w, beginAfter: 20 * time.Millisecond}
	var engines []*orderLog
	for i := range restoredEngines {
		e := &orderLog{partEngine: &partEngine{p: p, id: fmt.Sprintf("i-llm-%d", i+1), modelAt: time.Now()}}
		addr, err := serve(e)
		if err != nil {
			return false, err
		}
		e.addr, e.born = addr, time.Now().UnixMilli()
		e.running, e.adapters, e.conns = make(map[string]bool), make(map[string]time.Time), make(map[net.Conn]bool)
		e.beat()
		engines = append(engines, e)
	}
	w.configure([]any{streamRoute("ask", "/ask/", "llm", true, 2)}, []any{modelService("llm", 64)})
	var machines []*daemon
	for i := range 3 {
		link := &storeLink{links: links, store: w.store}
		addr, err := serve(link)
		if err != nil {
			return false, err
		}
		w.storeAt = addr
		d, err := w.addDaemon(fmt.Sprintf("edge-z1-%d", i+1), "z1", true)
		if err != nil {
			return false, err
		}
		link.ip, link.from = d.ip, d.peerAddr
		if link.to, err = peerLink(links, d.ip, d.peerAddr); err != nil {
			return false, err
		}
		if err := d.start(); err != nil {
			return false, err
		}
		machines = append(machines, d)
	}
	for _, d := range machines {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(trafficDelay)
	away := machines[0]
	var isAway atomic.Bool
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(askPause):
			}
			d := machines[n%len(machines)]
			if isAway.Load() && d == away { // clients of a machine that is cut off go elsewhere
				continue
			}
			wg.Go(func() {
				header := map[string]string{"X-Model": fmt.Sprintf("%s/a%d", model, 1+rand.IntN(restoredAdapters)), "X-Token-Count": "50,10", "X-Prompt-Prefix": fmt.Sprintf("5c:30,%x:20", rand.Uint32())}
				send(d, "/ask/1", newID("ask"), header, "question", 3*time.Second)
			})
		}
	})
	time.Sleep(5 * time.Second)
	isAway.Store(true)
	cutAt := time.Now()
	only := os.Getenv("ONLY") // "cut" or "store": the other disruption is left out
	isCut, isRestored := w.trouble && only != "store", w.trouble && only != "cut"
	if isCut {
		links.set(away.ip, true)
		w.note("%s: cut off from all machines and the store, for %s", away.name, firstCut)
	}
	// The newest copy in which the machine that is cut off holds its leases: its peers take them over later.
	var last *objectstore.Copy
	var lastAt time.Time
	for time.Since(cutAt) < 3500*time.Millisecond {
		last, lastAt = w.store.Copy(), time.Now()
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(cutAt.Add(firstCut)))
	if isCut {
		w.note("%s: cut off once more, for %s", away.name, secondCut)
	}
	time.Sleep(time.Until(cutAt.Add(firstCut + secondCut - storeAway)))
	if isRestored {
		w.store.SetFault(objectstore.FaultUnavailable)
		w.note("the store is away")
	}
	time.Sleep(storeAway)
	if isRestored {
		w.store.Restore(last)
		w.store.SetFault(objectstore.FaultNone)
		w.note("the store is back from a copy %s old", time.Since(lastAt).Round(time.Millisecond))
	}
	if isCut {
		links.set(away.ip, false)
		w.note("%s: no longer cut off", away.name)
	}
	isAway.Store(false)
	time.Sleep(15 * time.Second)
	close(done)
	wg.Wait()
	return judgeOrders(w, engines), nil
}

// judgeOrders reports whether two machines gave orders to one engine within the time between two holders, or with
// fencing tokens out of order.
func judgeOrders(w *world, engines []*orderLog) bool {
	isBroken, total := false, 0
	for _, e := range engines {
		e.mu.Lock()
		total += len(e.orders)
		for i := 1; i < len(e.orders); i++ {
			a, b := e.orders[i-1], e.orders[i]
			between := b.at.Sub(a.at)
			if a.owner != b.owner && between < leaseInterval || b.fence < a.fence {
				isBroken = true
				w.note("ONE: %s got an order of %s with token %x at %.3f, %s after one of %s with token %x", e.id, b.owner, b.fence, b.at.Sub(w.began).Seconds(), between.Round(time.Millisecond), a.owner, a.fence)
			}
		}
		e.mu.Unlock()
	}
	w.note("%d orders", total)
	return isBroken
}
