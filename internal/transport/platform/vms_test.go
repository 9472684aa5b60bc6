package platform

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against daemons that stop following the list of VMs because of one odd entry.
func TestOneOddEntryDoesNotHideTheOtherVMs(t *testing.T) {
	const good = `{"id":"e","zone":"z","address":"10.0.0.1:80","kind":"engine","state":"live"}`
	for name, odd := range map[string]string{
		"nested":          `{"id":"o","note":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		"another type":    `{"id":7}`,
		"large number":    `{"id":"o","zone":1e999}`,
		"port too large":  `{"id":"o","zone":"z","address":"10.0.0.2:99999","kind":"engine","state":"live"}`,
		"no number":       `{"id":"o","zone":"z","address":"10.0.0.2:http","kind":"engine","state":"live"}`,
		"not an object":   `"o"`,
		"nothing at all":  `null`,
		"list in a field": `{"id":["o"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			vms, err := fuzzClient([]byte(`{"vms":[` + odd + `,` + good + `]}`)).VMs(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, vms, qt.HasLen, 1)
			qt.Assert(t, vms[0].ID, qt.Equals, "e")
		})
	}
}
