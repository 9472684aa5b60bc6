package gateway

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/accounts"
)

// Guards against a second reading of an odd header: another program on the way may read it
// differently.
func TestOnlyOneWellFormedKeyIsRead(t *testing.T) {
	longest := strings.Repeat("k", accounts.MaxKeyBytes)
	for value, want := range map[string]string{
		"Bearer k": "k", "bearer k": "k", "BEARER a.b-c_d~e+f/g==": "a.b-c_d~e+f/g==", "Bearer " + longest: longest,
		"": "", "k": "", "Bearer": "", "Bearer ": "", "Bearer  k": "", "Bearer k k": "", "Bearer\tk": "", " Bearer k": "", "Bearer k ": "",
		"Basic k": "", "Bearerk": "", "Bearer k\x00": "", "Bearer k\n": "", "Bearer kä": "", "Bearer " + longest + "k": "", "Bearer a, Bearer b": "",
	} {
		key, ok := bearerKey(http.Header{"Authorization": {value}})
		qt.Check(t, key, qt.Equals, want, qt.Commentf("%q", value))
		qt.Check(t, ok, qt.Equals, want != "")
	}
	for _, values := range [][]string{nil, {}, {"Bearer k", "Bearer k"}, {"", "Bearer k"}} {
		_, ok := bearerKey(http.Header{"Authorization": values})
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%q", values))
	}
}

// FuzzBearerKey reads arbitrary headers. A key that is read must be the whole rest of the only
// header, without characters that end a header or a list.
func FuzzBearerKey(f *testing.F) {
	for _, s := range []string{"Bearer k", "bEARER \x7f", "Bearer  k", "Bearer a,b", "Bearer \u00a0k", "Basic a:b"} {
		f.Add(s, "", false)
		f.Add(s, s, true)
	}
	f.Fuzz(func(t *testing.T, first, second string, isRepeated bool) {
		values := []string{first}
		if isRepeated {
			values = append(values, second)
		}
		key, ok := bearerKey(http.Header{"Authorization": values})
		if !ok {
			qt.Assert(t, key, qt.Equals, "")
			return
		}
		qt.Assert(t, isRepeated, qt.IsFalse)
		qt.Assert(t, strings.EqualFold(first, "bearer "+key), qt.IsTrue)
		qt.Assert(t, key != "" && len(key) <= accounts.MaxKeyBytes && !strings.ContainsAny(key, " \t\r\n\x00\x7f"), qt.IsTrue, qt.Commentf("%q", key))
	})
}
