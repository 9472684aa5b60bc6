package lenientjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

type document struct {
	Items []struct {
		Name string `json:"name"`
		Note any    `json:"note"`
	} `json:"items"`
	Revision int `json:"revision"`
}

// Guards against a list that can't be read because of one entry.
func TestADeeplyNestedValueDoesNotHideTheRestOfADocument(t *testing.T) {
	for name, deep := range map[string]string{
		"arrays":  strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"objects": strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
		"text":    strings.Repeat("[", 20000) + `"]\"}]\\"` + strings.Repeat("]", 20000),
	} {
		t.Run(name, func(t *testing.T) {
			text := `{"items":[{"name":"a"},{"note":` + deep + `,"name":"b"},{"name":"[c\""}],"revision":7}`
			var d document
			qt.Assert(t, json.Unmarshal([]byte(text), &d), qt.IsNotNil)
			qt.Assert(t, Unmarshal([]byte(text), &d), qt.IsNil)
			qt.Assert(t, d.Revision, qt.Equals, 7)
			qt.Assert(t, d.Items, qt.HasLen, 3)
			qt.Assert(t, d.Items[1].Name, qt.Equals, "b")
			qt.Assert(t, d.Items[2].Name, qt.Equals, `[c"`)
		})
	}
}

func TestABrokenDocumentIsStillAnError(t *testing.T) {
	for _, text := range []string{"", "{", `{"items":7}`, strings.Repeat("[", 20000), strings.Repeat("]", 20000)} {
		var d document
		qt.Check(t, Unmarshal([]byte(text), &d), qt.IsNotNil, qt.Commentf("%.20q", text))
	}
}

func TestElementsOfAnotherTypeAreLeftOut(t *testing.T) {
	var s Slice[struct {
		ID   string `json:"id"`
		Port int    `json:"port"`
	}]
	qt.Assert(t, json.Unmarshal([]byte(`[{"id":"a"},{"id":7},{"id":"b","port":1e99},null,"x",{"id":"c"}]`), &s), qt.IsNil)
	qt.Assert(t, s.Skipped, qt.Equals, 3)
	qt.Assert(t, s.Values, qt.HasLen, 3)
}

// FuzzUnmarshal checks that every document that encoding/json decodes is decoded alike.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"items":[{"name":"a","note":[[1]]}],"revision":1}`))
	f.Add([]byte(strings.Repeat("[", maxDepth+2) + strings.Repeat("]", maxDepth+2)))
	f.Fuzz(func(t *testing.T, data []byte) {
		var want, got any
		if json.Unmarshal(data, &want) != nil {
			_ = Unmarshal(data, &got) // must return
			return
		}
		qt.Assert(t, Unmarshal(data, &got), qt.IsNil)
		qt.Assert(t, reflect.DeepEqual(got, want), qt.IsTrue)
	})
}
