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

var errDown = errors.New("the object store is down")

// faults configures the faults of a fakeStore. Rates are in percent of the calls.
type faults struct {
	down       int // the call fails without effect
	lostReply  int // a write takes effect, but its outcome is unknown to the caller
	lateEffect int // a write takes effect after its outcome was reported as unknown
	maxDelay   time.Duration
}

// fakeStore is an object store in memory with random faults.
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

// drawFaults draws the delay and the faults of one call.
func (s *fakeStore) drawFaults() (delay time.Duration, down, lostReply, lateEffect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.maxDelay > 0 {
		delay = time.Duration(s.rng.Int64N(int64(s.faults.maxDelay)))
	}
	n := s.rng.IntN(100)
	down = n < s.faults.down
	lostReply = !down && n < s.faults.down+s.faults.lostReply
	lateEffect = !down && !lostReply && n < s.faults.down+s.faults.lostReply+s.faults.lateEffect
	return delay, down, lostReply, lateEffect
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	delay, down, _, _ := s.drawFaults()
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
	delay, down, lostReply, lateEffect := s.drawFaults()
	time.Sleep(delay)
	if down {
		return 0, errDown
	}
	if lateEffect {
		go func() {
			time.Sleep(10 * delay)
			_, _ = s.commit(key, base, apply)
		}()
		return 0, platform.ErrUnknown
	}
	version, err := s.commit(key, base, apply)
	if lostReply {
		return 0, platform.ErrUnknown
	}
	return version, err
}

// commit applies a write if the object has the version base.
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

// service is a fake service that counts the runs of each item.
type service struct {
	mu       sync.Mutex
	runs     map[string]int
	duration time.Duration          // duration of each run
	fail     func() *protocol.Error // if set and it returns an error, the call does not run
	body     []byte                 // appended to each answer
}

func newService() *service { return &service{runs: make(map[string]int)} }

func (s *service) count(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[item]
}

// daemon is one incarnation of a daemon. After a crash it runs no calls and reaches
// neither the store nor other daemons.
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
	time.Sleep(s.duration)
	if d.crashed.Load() {
		return protocol.Errorf(protocol.KindInterrupted, "run", protocol.OutcomeUnknown, "crashed")
	}
	data := append([]byte(value), s.body...)
	_ = sink.Head(protocol.Head{Status: 201})
	_ = sink.Chunk(protocol.Chunk{Count: uint32(len(data)), Data: data})
	_ = sink.End(protocol.End{Total: uint32(len(data))})
	return nil
}

// daemonStore is the object store as one daemon sees it: it fails after the daemon has
// crashed.
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

// fleet is a set of daemons that share an object store and a service.
type fleet struct {
	store   *fakeStore
	service *service

	detectsCrashes bool // daemonLost reports crashed daemons

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

// start starts a new incarnation of daemon i in place of the previous one.
func (f *fleet) start(i int) *daemon { return f.startWith(i, f.store) }

// startWith starts a new incarnation of daemon i that uses the given object store.
func (f *fleet) startWith(i int, store once.ObjectStore) *daemon {
	d := &daemon{id: state.DaemonID(fmt.Sprintf("d%d", i)), fleet: f}
	incarnation := fmt.Sprintf("run-%d", f.nonces.Add(1))
	d.Gateway = once.New(once.Options{
		Self:        d.id,
		Incarnation: state.Incarnation(incarnation),
		Next:        d,
		Peers:       f,
		Objects:     daemonStore{ObjectStore: store, d: d},
		Clock:       time.Now,
		Secret:      []byte(incarnation),
		NewNonce:    func() string { return fmt.Sprintf("nonce-%d", f.nonces.Add(1)) },
		DaemonCount: func() int { return len(f.daemons) },
		DaemonLost:  f.daemonLost,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i] = d
	return d
}

// daemonLost implements once.Options.DaemonLost. It reports whether a daemon has crashed,
// if the fleet detects crashes.
func (f *fleet) daemonLost(id state.DaemonID, _ state.Incarnation) bool {
	if !f.detectsCrashes {
		return false
	}
	for i := range f.daemons {
		if d := f.at(i); d.id == id {
			return d.crashed.Load()
		}
	}
	return false
}

// at returns the present incarnation of daemon i.
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

// reply collects the answer to a call.
type reply struct {
	data     []byte
	complete bool
	replayed bool
}

func (r *reply) Head(h protocol.Head) error { r.replayed = h.Replayed; return nil }

func (r *reply) Chunk(c protocol.Chunk) error { r.data = append(r.data, c.Data...); return nil }

func (r *reply) End(protocol.End) error { r.complete = true; return nil }

// keyed returns a call of an item with an idempotency key.
func keyed(id, key, item string) *protocol.Call {
	return &protocol.Call{
		RequestID:      id,
		Customer:       "ridgeline",
		Service:        "booking",
		TimeLeft:       time.Minute,
		IdempotencyKey: key,
		Plain:          &protocol.PlainCall{Method: "POST", Path: item},
	}
}

// send sends a call to a daemon. If the daemon crashes before it returns, the outcome is
// unknown.
func send(ctx context.Context, d *daemon, call *protocol.Call) (*reply, *protocol.Error) {
	r := &reply{}
	err := d.Gateway.Serve(ctx, call, "", r)
	if d.crashed.Load() {
		return r, protocol.Errorf(protocol.KindInterrupted, "read", protocol.OutcomeUnknown, "connection lost")
	}
	return r, err
}
