package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// foreignEntry returns an entry of the list of upstreams, with a comma, whose fields are those of a
// usable upstream except the given JSON text.
func foreignEntry(name, fields string) string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":1},"spec":{"service":"app","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":8,"state":"ready","born":1,"seq":1,%s}},`, name, fields)
}

// Guards against a daemon that ends, or stops following the list of upstreams, because of one odd
// entry of another program.
func TestAProcessFollowsTheListDespiteAnOddEntry(t *testing.T) {
	var models strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&models, `{"name":"m%d","version":1,"adapters":[]},`, i)
	}
	for name, fields := range map[string]string{
		"nested":          `"note":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"nested objects":  `"slots":` + strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
		"large number":    `"slots":1e400,"born":1e30`,
		"large slots":     `"slots":9223372036854775807`,
		"negative slots":  `"slots":-9223372036854775808`,
		"large remaining": `"state":"draining","remaining_ms":1e308`,
		"port too large":  `"address":"127.0.0.1:99999"`,
		"port of zero":    `"address":"127.0.0.1:0"`,
		"no port":         `"address":"127.0.0.1"`,
		"many models":     `"models":[` + strings.TrimSuffix(models.String(), ",") + `]`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlatformStandIn(t)
			first := p.serveRecording(t, "i-1", 0, nil)
			d := p.startProcess(t, "")
			p.Assert(d.send(http.DefaultClient, "/book/x", "before", time.Second).status, qt.Equals, http.StatusOK)
			odd := foreignEntry("odd", fields)
			p.foreign.Store(&odd)
			second := p.serveRecording(t, "i-2", 0, nil)
			p.store.Delete("servers", "i-1")
			time.Sleep(2500 * time.Millisecond)
			served := 0
			for i := range 20 {
				id := fmt.Sprintf("after-%d", i)
				if d.send(http.DefaultClient, "/book/x", id, time.Second).status == http.StatusOK {
					served++
				}
				p.Check(first.reached(id), qt.IsFalse, qt.Commentf("the entry of this upstream was removed"))
			}
			p.Check(served, qt.Equals, 20)
			p.Check(second.reached("after-0"), qt.IsTrue)
			p.Check(d.hasExited(), qt.IsFalse)
		})
	}
}
