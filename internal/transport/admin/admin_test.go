package admin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/celerydeck/celerydeck/deckconfig"
	"github.com/celerydeck/celerydeck/internal/coordination/configsync"
	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/state"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
)

// config returns a configuration with an operator, a viewer and one adapter.
func config() *deckconfig.Config {
	return &deckconfig.Config{
		Format: deckconfig.Format,
		Operators: []deckconfig.Operator{
			{Name: "lee", Role: deckconfig.RoleOperator, KeyHashes: []string{deckconfig.HashKey("op")}},
			{Name: "wall", Role: deckconfig.RoleViewer, KeyHashes: []string{deckconfig.HashKey("view")}},
		},
		Services: []deckconfig.Service{{Name: "advice", Kind: deckconfig.ModelService, Adapters: []deckconfig.Adapter{
			{Name: "blitz", Default: "v1", Versions: []deckconfig.Version{{Name: "v1", Source: "w"}}},
		}}},
	}
}

// fakeBackend implements Configs and Fleet. It records submissions and drains. Its methods
// return err.
type fakeBackend struct {
	submitted []configsync.Submission
	err       error
	drains    []protocol.Drain

	mu       sync.Mutex // guards noteKeys
	noteKeys []string
}

func (f *fakeBackend) Current() (uint64, string, *deckconfig.Config) { return 4, "d", config() }

func (f *fakeBackend) Submit(_ context.Context, s configsync.Submission) (configsync.Accepted, error) {
	f.submitted = append(f.submitted, s)
	return configsync.Accepted{Revision: 5}, f.err
}

func (f *fakeBackend) Progress(r uint64) configsync.Progress {
	return configsync.Progress{Revision: r, InForce: 1, Daemons: 2}
}

func (f *fakeBackend) History(context.Context, int) ([]configsync.RevisionInfo, error) {
	return nil, f.err
}

func (f *fakeBackend) At(context.Context, uint64) (*deckconfig.Config, error) { return config(), f.err }

func (f *fakeBackend) Status(protocol.StatusQuery) protocol.DaemonStatus {
	return protocol.DaemonStatus{Daemon: "d1"}
}

func (f *fakeBackend) Collect(context.Context, protocol.StatusQuery) protocol.FleetView {
	return protocol.FleetView{Collector: "d1", Missing: []protocol.MissingDaemon{{Daemon: "d2"}}}
}

func (f *fakeBackend) Explain(context.Context, protocol.ExplainQuery) (protocol.Explanation, error) {
	return protocol.Explanation{}, f.err
}

func (f *fakeBackend) Notes(context.Context) ([]protocol.Note, error) { return nil, f.err }

func (f *fakeBackend) AddNote(_ context.Context, author, key, text string) (protocol.Note, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteKeys = append(f.noteKeys, key)
	return protocol.Note{Key: key, Author: author, Text: text}, f.err
}

func (f *fakeBackend) Drain(_ context.Context, d protocol.Drain) error {
	f.drains = append(f.drains, d)
	return f.err
}

func (f *fakeBackend) Undrain(context.Context, protocol.Drain) error { return f.err }

// serve starts a server with a bootstrap key. It returns the server and its routes.
func serve(t *testing.T, f *fakeBackend) (*httptest.Server, http.Handler) {
	catalog := state.NewCatalog(4, "d", config())
	handler := admin.New(admin.Options{
		Configs: f, Fleet: f, Catalog: func() *state.Catalog { return catalog },
		BootstrapKeyHash: deckconfig.HashKey("boot"),
		Metrics:          http.NotFoundHandler(),
		Clock:            func() time.Time { return time.Unix(1e9, 0) },
	}).Handler()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server, handler
}

func TestRouteAdmitsKeyWithoutItsRole(t *testing.T) {
	server, handler := serve(t, &fakeBackend{})
	pathParams := strings.NewReplacer("{revision:[0-9]+}", "1", "{kind:upstream|daemon}", "daemon", "{subject}", "d1")
	walked := 0
	err := handler.(*mux.Router).Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		methods, err := route.GetMethods()
		if err != nil {
			return nil // the route of the subrouter for Prefix has no methods
		}
		path, err := route.GetPathTemplate()
		qt.Assert(t, err, qt.IsNil)
		walked++
		for key, want := range map[string]bool{"": false, "wrong": false, deckconfig.HashKey("op"): false, "op": true, "boot": true, "view": methods[0] == http.MethodGet} {
			status := send(t, server, methods[0], pathParams.Replace(path), key, "{}")
			admitted := status != http.StatusUnauthorized && status != http.StatusForbidden
			qt.Check(t, admitted, qt.Equals, want, qt.Commentf("%s %s key %q: %d", methods[0], path, key, status))
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, walked, qt.Equals, 14)
}

func send(t *testing.T, server *httptest.Server, method, path, key, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	if key != "" {
		req.SetBasicAuth("anyone", key)
	}
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode
}

func TestSubmitterChoosesTheAuthor(t *testing.T) {
	f := &fakeBackend{}
	server, _ := serve(t, f)
	client := admin.NewClient([]string{server.URL}, "op")
	_, err := client.Submit(t.Context(), configsync.Submission{ID: "s", Author: "another author"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.submitted[0].Author, qt.Equals, "lee")
	_, err = client.Drain(t.Context(), protocol.DrainUpstream, "e/1", "why")
	qt.Assert(t, err, qt.IsNotNil) // a name with a slash has no route
	drain, err := client.Drain(t.Context(), protocol.DrainUpstream, "e1", "why")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, drain.Author, qt.Equals, "lee")
	qt.Assert(t, f.drains[0].Reason, qt.Equals, "why")
}

func TestWeightsOfAVersionInForceChange(t *testing.T) {
	f := &fakeBackend{}
	server, _ := serve(t, f)
	client := admin.NewClient([]string{server.URL}, "op")
	change := configsync.Change{
		Key:   configsync.AdapterKey("advice", "blitz"),
		Value: []byte(`{"name":"blitz","default":"v1","versions":[{"name":"v1","source":"other"}]}`),
	}
	_, err := client.Submit(t.Context(), configsync.Submission{ID: "s", Changes: []configsync.Change{change}})
	var api *admin.APIError
	qt.Assert(t, errors.As(err, &api), qt.IsTrue)
	qt.Assert(t, len(api.Detail.Fields), qt.Equals, 1)
	qt.Assert(t, f.submitted, qt.HasLen, 0)
}

// TestANoteKeepsItsKeyAtTheNextDaemon guards against a note that is stored twice because the answer of
// the first daemon is lost.
func TestANoteKeepsItsKeyAtTheNextDaemon(t *testing.T) {
	f := &fakeBackend{}
	server, handler := serve(t, f)
	losing := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(losing.Close)
	client := admin.NewClient([]string{losing.URL, server.URL}, "op")
	for range 2 {
		_, err := client.AddNote(t.Context(), "engine 4 is slow")
		qt.Assert(t, err, qt.IsNil)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.noteKeys, qt.HasLen, 4)
	qt.Check(t, f.noteKeys[0] != "", qt.IsTrue)
	qt.Check(t, f.noteKeys[1], qt.Equals, f.noteKeys[0])
	qt.Check(t, f.noteKeys[3], qt.Equals, f.noteKeys[2])
	qt.Check(t, f.noteKeys[2] != f.noteKeys[0], qt.IsTrue)
}

func TestErrorLosesItsDetail(t *testing.T) {
	f := &fakeBackend{}
	server, _ := serve(t, f)
	client := admin.NewClient([]string{"127.0.0.1:1", server.URL}, "op") // the first address does not answer
	for _, c := range []struct {
		err  error
		code protocol.ErrorKind
	}{
		{&configsync.ConflictError{Key: configsync.ObjectKey{Kind: "ranks"}, Revision: 3, Author: "kim"}, protocol.KindConflict},
		{deckconfig.Errors{{Object: "o", Field: "f", Problem: "p"}}, protocol.KindBadRequest},
		{protocol.Errorf(protocol.KindNotFound, "s", protocol.OutcomeNotRun, "m"), protocol.KindNotFound},
		{errors.New("unclassified"), protocol.KindUnavailable},
		{configsync.ErrUnknownOutcome, protocol.KindUnavailable},
		{configsync.ErrUnreachable, protocol.KindUnavailable},
		{configsync.ErrEmpty, protocol.KindBadRequest},
	} {
		f.err = c.err
		_, err := client.Submit(t.Context(), configsync.Submission{ID: "s"})
		var api *admin.APIError
		qt.Assert(t, errors.As(err, &api), qt.IsTrue)
		qt.Check(t, api.Detail.Code, qt.Equals, c.code)
		notRun := !errors.Is(c.err, configsync.ErrUnknownOutcome) && c.err.Error() != "unclassified"
		qt.Check(t, api.Detail.Outcome == protocol.OutcomeNotRun, qt.Equals, notRun, qt.Commentf("%v", c.err))
		qt.Check(t, api.Detail.Conflict != nil, qt.Equals, c.code == protocol.KindConflict)
	}
	_, err := admin.NewClient([]string{"127.0.0.1:1"}, "op").Fleet(t.Context())
	var unreachable *admin.UnreachableError
	qt.Assert(t, errors.As(err, &unreachable), qt.IsTrue)
}

func TestHandoverOmitsPartsThatCouldNotBeRead(t *testing.T) {
	f := &fakeBackend{err: errors.New("platform is down")}
	server, _ := serve(t, f)
	h, err := admin.NewClient([]string{server.URL}, "view").Handover(t.Context(), time.Unix(0, 0))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h.Unreadable, qt.DeepEquals, []string{"notes: platform is down", "history: platform is down"})
	qt.Assert(t, len(h.Missing), qt.Equals, 1)
}
