package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestAnswerRecordsCompleteEventsAndTimes(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "s")
		_, _ = io.WriteString(w, "id: 0\ndata: x\n\nid: 1\ndata: y\n\nid: 2\n")
	}))
	defer s.Close()
	k := New(s.Listener.Addr().String())
	defer k.Close()
	r := Request{ID: "q1", Host: "h", Path: "/", Deadline: time.Second, Stream: true}
	for reused := range 2 {
		a := k.Send(context.Background(), r, 0)
		c.Assert(a.Err, qt.IsNil)
		c.Assert(a.Events, qt.DeepEquals, []int{0, 1}, qt.Commentf("the last event is incomplete"))
		c.Assert(a.Complete && a.Written && a.Signed && a.RequestID == "q1", qt.IsTrue)
		c.Assert(a.Reused, qt.Equals, reused == 1)
		c.Assert(a.EndedAt.After(a.StartedAt), qt.IsTrue)
	}
	s.Close()
	c.Assert(k.Send(context.Background(), r, 0).Err, qt.IsNotNil)
}
