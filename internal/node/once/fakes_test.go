package once_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/celerydeck/celerydeck/internal/node/once"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/platform"
)

var errDown = errors.New("platform is down")

// faults of the fake store, as chances in a hundred.
type faults struct {
	down     int // the call fails without effect
	lost     int // the answer to a write is lost
	late     int // a write takes effect after its answer was given up
	maxDelay time.Duration
}

// fakeStore is an object store with faults.
type fakeStore struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  faults
	objects map[string]platform.Object
	version platform.Version
}

func newStore(seed uint64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(seed, 1)), objects: make(map[string]platform.Object)}
}

func (s *fakeStore) setFaults(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// plan draws the fate of one call.
func (s *fakeStore) plan() (delay time.Duration, down, lost, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.maxDelay > 0 {
		delay = time.Duration(s.rng.Int64N(int64(s.faults.maxDelay)))
	}
	n := s.rng.IntN(100)
	down = n < s.faults.down
	lost = !down && n < s.faults.down+s.faults.lost
	late = !down && !lost && n < s.faults.down+s.faults.lost+s.faults.late
	return delay, down, lost, late
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	delay, down, _, _ := s.plan()
	time.Sleep(delay)
	if down {
		return platform.Object{}, errDown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	return s.write(key, base, func() { s.objects[key] = platform.Object{Key: key, Version: s.version, Value: value} })
}

func (s *fakeStore) Delete(_ context.Context, key string, base platform.Version) error {
	_, err := s.write(key, base, func() { delete(s.objects, key) })
	return err
}

func (s *fakeStore) write(key string, base platform.Version, apply func()) (platform.Version, error) {
	delay, down, lost, late := s.plan()
	time.Sleep(delay)
	if down {
		return 0, errDown
	}
	if late {
		go func() {
			time.Sleep(10 * delay)
			_, _ = s.commit(key, base, apply)
		}()
		return 0, platform.ErrUnknown
	}
	version, err := s.commit(key, base, apply)
	if lost {
		return 0, platform.ErrUnknown
	}
	return version, err
}

func (s *fakeStore) commit(key string, base platform.Version, apply func()) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != base {
		return 0, platform.ErrConflict
	}
	s.version++
	apply()
	return s.version, nil
}

func (s *fakeStore) List(context.Context, string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var page platform.Page
	for _, o := range s.objects {
		page.Objects = append(page.Objects, o)
	}
	return page, nil
}

// service counts how often each call ran.
type service struct {
	mu   sync.Mutex
	runs map[string]int
	took time.Duration
	fail func() *protocol.Error // nil runs the call
	body []byte
}

func newService() *service { return &service{runs: make(map[string]int)} }

func (s *service) count(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[item]
}

// daemon is one incarnation of a daemon. A crashed one runs nothing more and
// reaches nobody.
type daemon struct {
	*once.Gateway
	id      state.DaemonID
	fleet   *fleet
	crashed atomic.Bool
}

func (d *daemon) Serve(ctx context.Context, call *protocol.Call, _ string, sink protocol.Sink) *protocol.Error {
	s := d.fleet.service
	if d.crashed.Load() {
		return protocol.Errorf(protocol.KindInterrupted, "run", protocol.OutcomeUnknown, "crashed")
	}
	if s.fail != nil {
		if err := s.fail(); err != nil {
			return err
		}
	}
	item := call.Plain.Path
	s.mu.Lock()
	s.runs[item]++
	value := fmt.Sprintf("%s ran as %d for %s", item, s.runs[item], call.RequestID)
	s.mu.Unlock()
	time.Sleep(s.took)
	if d.crashed.Load() {
		return protocol.Errorf(protocol.KindInterrupted, "run", protocol.OutcomeUnknown, "crashed")
	}
	data := append([]byte(value), s.body...)
	_ = sink.Head(protocol.Head{Status: 201})
	_ = sink.Chunk(protocol.Chunk{Count: uint32(len(data)), Data: data})
	_ = sink.End(protocol.End{Total: uint32(len(data))})
	return nil
}

// daemonStore is the store as one daemon reaches it.
type daemonStore struct {
	once.ObjectStore
	d *daemon
}

func (s daemonStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if s.d.crashed.Load() {
		return platform.Object{}, errDown
	}
	return s.ObjectStore.Get(ctx, key)
}

func (s daemonStore) Put(ctx context.Context, key string, value []byte, base platform.Version) (platform.Version, error) {
	if s.d.crashed.Load() {
		return 0, errDown
	}
	return s.ObjectStore.Put(ctx, key, value, base)
}

func (s daemonStore) Delete(ctx context.Context, key string, base platform.Version) error {
	if s.d.crashed.Load() {
		return errDown
	}
	return s.ObjectStore.Delete(ctx, key, base)
}

// fleet is a set of daemons before one store and one service.
type fleet struct {
	store   *fakeStore
	service *service

	tellsLost bool // daemons learn of crashes

	mu      sync.Mutex
	daemons []*daemon
	nonces  atomic.Int64
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{store: newStore(seed), service: newService()}
	for i := range size {
		f.daemons = append(f.daemons, nil)
		f.start(i)
	}
	return f
}

// start replaces a daemon by a new incarnation.
func (f *fleet) start(i int) *daemon { return f.startWith(i, f.store) }

func (f *fleet) startWith(i int, store once.ObjectStore) *daemon {
	d := &daemon{id: state.DaemonID(fmt.Sprintf("d%d", i)), fleet: f}
	run := fmt.Sprintf("run-%d", f.nonces.Add(1))
	d.Gateway = once.New(once.Options{
		Self:        d.id,
		Incarnation: state.Incarnation(run),
		Next:        d,
		Peers:       f,
		Objects:     daemonStore{ObjectStore: store, d: d},
		Clock:       time.Now,
		Secret:      []byte(run),
		NewNonce:    func() string { return fmt.Sprintf("nonce-%d", f.nonces.Add(1)) },
		DaemonCount: func() int { return len(f.daemons) },
		DaemonLost:  f.lost,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i] = d
	return d
}

// lost reports that a daemon is known to have crashed.
func (f *fleet) lost(id state.DaemonID, _ state.Incarnation) bool {
	if !f.tellsLost {
		return false
	}
	for i := range f.daemons {
		if d := f.at(i); d.id == id {
			return d.crashed.Load()
		}
	}
	return false
}

func (f *fleet) at(i int) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[i]
}

// Call implements once.Peers.
func (f *fleet) Call(ctx context.Context, to state.DaemonID, call *protocol.Call, sink protocol.Sink) *protocol.Error {
	for i := range f.daemons {
		d := f.at(i)
		if d.id != to || d.crashed.Load() {
			continue
		}
		if err := d.Gateway.Serve(ctx, call, call.Base, sink); err != nil {
			_ = sink.End(protocol.End{Err: err})
		}
		return nil
	}
	return protocol.Errorf(protocol.KindUnavailable, "call owner", protocol.OutcomeNotRun, "no connection")
}

// reply collects an answer.
type reply struct {
	data     []byte
	whole    bool
	replayed bool
}

func (r *reply) Head(h protocol.Head) error { r.replayed = h.Replayed; return nil }

func (r *reply) Chunk(c protocol.Chunk) error { r.data = append(r.data, c.Data...); return nil }

func (r *reply) End(protocol.End) error { r.whole = true; return nil }

func keyed(id, key, item string) *protocol.Call {
	return &protocol.Call{
		RequestID:      id,
		Customer:       "ridgeline",
		Service:        "booking",
		Budget:         time.Minute,
		IdempotencyKey: key,
		Plain:          &protocol.PlainCall{Method: "POST", Path: item},
	}
}

// send serves a call at a daemon. The answer of a daemon that crashed meanwhile is
// lost.
func send(ctx context.Context, d *daemon, call *protocol.Call) (*reply, *protocol.Error) {
	r := &reply{}
	err := d.Gateway.Serve(ctx, call, "", r)
	if d.crashed.Load() {
		return r, protocol.Errorf(protocol.KindInterrupted, "read", protocol.OutcomeUnknown, "connection broke")
	}
	return r, err
}
