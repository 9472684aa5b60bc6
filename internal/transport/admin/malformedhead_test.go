package admin_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/rawserver"
	"github.com/celerydeck/celerydeck/internal/transport/admin"
	"github.com/celerydeck/celerydeck/internal/transport/httpconn"
)

// Guards against a command that reports what no response said, instead of asking the next daemon.
func TestAnAnswerWithAMalformedHeadIsNoAnswerOfADaemon(t *testing.T) {
	const wrong = `{"revisions":[{"revision":9}]}`
	for _, status := range []string{"200 OK", "409 Conflict"} {
		for name := range rawserver.Malformed(status, wrong) {
			c := qt.New(t)
			note := qt.Commentf("%s, %s", status, name)
			odd, err := rawserver.Listen(func(*http.Request) string { return rawserver.Malformed(status, wrong)[name] })
			c.Assert(err, qt.IsNil)
			sound, err := rawserver.Listen(func(*http.Request) string { return rawserver.Response("200 OK", `{"revisions":[{"revision":4}]}`) })
			c.Assert(err, qt.IsNil)
			client := admin.NewClient([]string{odd.Addr()}, "key")
			_, err = client.History(t.Context(), 1)
			var unreachable *admin.UnreachableError
			c.Check(err, qt.ErrorAs, &unreachable, note)
			c.Check(err, qt.ErrorIs, httpconn.ErrMalformedHead, note)
			both := admin.NewClient([]string{odd.Addr(), sound.Addr()}, "key")
			revisions, err := both.History(t.Context(), 1)
			c.Check(err, qt.IsNil, note)
			c.Check(len(revisions) == 1 && revisions[0].Revision == 4, qt.IsTrue, note)
			client.Close()
			both.Close()
			odd.Close()
			sound.Close()
		}
	}
}
