package protocol

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/celerydeck/celerydeck/internal/coordination/quota"
)

// Guards against messages that grow with accounts beyond the daemons' budget of traffic.
func TestAnAccountTakesFewBytesOfAMessage(t *testing.T) {
	const count = 100
	size := func(kind MessageKind, msg any) int {
		var b bytes.Buffer
		qt.Assert(t, WriteMessage(&b, kind, msg), qt.IsNil)
		return b.Len()
	}
	state, reply := DaemonState{Accounts: make(map[string]quota.Use)}, FleetReply{Accounts: make(map[string]quota.Others)}
	for i := range count {
		name := fmt.Sprintf("account-%02d", i)
		state.Accounts[name] = quota.Use{Offered: 1234.5, Admitted: 345.6}
		reply.Accounts[name] = quota.Others{Offered: 1234.5, Admitted: 345.6, Level: 33.2}
	}
	perState := (size(MsgFleet, FleetPush{States: []DaemonState{state}}) - size(MsgFleet, FleetPush{States: []DaemonState{{}}})) / count
	perReply := (size(MsgFleetReply, reply) - size(MsgFleetReply, FleetReply{})) / count
	t.Logf("%d bytes in a state, %d bytes in a reply", perState, perReply)
	qt.Check(t, perState <= 24, qt.IsTrue)
	qt.Check(t, perReply <= 30, qt.IsTrue)
}
