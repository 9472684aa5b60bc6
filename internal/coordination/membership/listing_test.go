package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
)

func TestListThatIsEmptyOrWrongDropsNothingThatAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := membership.NewVMList(10 * time.Second)
	both := []membership.ListedVM{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}}
	answering := map[string]bool{"b": true}
	answers := func(id string) bool { return answering[id] }
	read := func(after time.Duration, list []membership.ListedVM) membership.ListChanges {
		now = now.Add(after)
		return l.Update(now, list, answers)
	}
	read(0, both)
	qt.Assert(t, read(time.Hour, nil).Dropped, qt.HasLen, 0)
	qt.Assert(t, read(time.Second, both[:1]).Dropped, qt.HasLen, 0, qt.Commentf("b answers"))
	answering["b"] = false
	qt.Assert(t, read(time.Second, both[:1]).Dropped, qt.DeepEquals, []string{"b"})
	qt.Assert(t, l.Missing(now, "b"), qt.IsTrue)
	qt.Assert(t, read(time.Second, both).Dropped, qt.HasLen, 0)
	qt.Assert(t, read(5*time.Second, both[:1]).Dropped, qt.HasLen, 0, qt.Commentf("a short gap"))
}

func TestVMWithANewAddressIsReplaced(t *testing.T) {
	l := membership.NewVMList(10 * time.Second)
	none := func(string) bool { return false }
	l.Update(time.Unix(1000, 0), []membership.ListedVM{{ID: "a", Addr: "1"}}, none)
	c := l.Update(time.Unix(1001, 0), []membership.ListedVM{{ID: "a", Addr: "9"}}, none)
	qt.Assert(t, c.Replaced, qt.DeepEquals, []string{"a"})
}
