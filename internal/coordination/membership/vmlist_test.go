package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/membership"
)

func TestEmptyOrWrongListDropsNoVMThatAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	list := membership.NewVMList(10 * time.Second)
	both := []membership.ListedVM{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}}
	answering := map[string]bool{"b": true}
	answers := func(id string) bool { return answering[id] }
	update := func(elapsed time.Duration, vms []membership.ListedVM) membership.ListChanges {
		now = now.Add(elapsed)
		return list.Update(now, vms, answers)
	}
	update(0, both)
	qt.Assert(t, update(time.Hour, nil).Dropped, qt.HasLen, 0)
	qt.Assert(t, update(time.Second, both[:1]).Dropped, qt.HasLen, 0, qt.Commentf("b answers"))
	answering["b"] = false
	qt.Assert(t, update(time.Second, both[:1]).Dropped, qt.DeepEquals, []string{"b"})
	qt.Assert(t, list.Missing(now, "b"), qt.IsTrue)
	qt.Assert(t, update(time.Second, both).Dropped, qt.HasLen, 0)
	qt.Assert(t, update(5*time.Second, both[:1]).Dropped, qt.HasLen, 0, qt.Commentf("a was missing for less than the limit"))
}

func TestVMWithANewAddressIsReplaced(t *testing.T) {
	list := membership.NewVMList(10 * time.Second)
	noneAnswers := func(string) bool { return false }
	list.Update(time.Unix(1000, 0), []membership.ListedVM{{ID: "a", Addr: "1"}}, noneAnswers)
	changes := list.Update(time.Unix(1001, 0), []membership.ListedVM{{ID: "a", Addr: "9"}}, noneAnswers)
	qt.Assert(t, changes.Replaced, qt.DeepEquals, []string{"a"})
}
