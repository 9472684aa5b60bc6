package cli

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/standin/rawserver"
)

// Guards against commands that print what no response said.
func TestAnAnswerWithAMalformedHeadIsNotPrinted(t *testing.T) {
	t.Setenv("CELERYDECK_CLI_CALLER_KEY", "key")
	const body = `{"vm":"odd-vm","ticket":"odd-ticket","service":"booking"}`
	for _, status := range []string{"200 OK", "201 Created"} {
		for name := range rawserver.Malformed(status, body) {
			c := qt.New(t)
			s, err := rawserver.Listen(func(*http.Request) string { return rawserver.Malformed(status, body)[name] })
			c.Assert(err, qt.IsNil)
			for _, args := range [][]string{{"handover", "--edge", s.Addr()}, {"ticket", "booking", "--caller-addr", s.Addr()}} {
				code, text := runEdge(t, args...)
				note := qt.Commentf("%s, %v: %s", name, args, text)
				c.Check(code, qt.Not(qt.Equals), ExitOK, note)
				c.Check(text, qt.Contains, "malformed response head", note)
				c.Check(text, qt.Not(qt.Contains), "odd-", note)
			}
			s.Close()
		}
	}
}
