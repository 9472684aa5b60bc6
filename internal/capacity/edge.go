package capacity

import (
	"fmt"
	"strings"

	"github.com/celerydeck/celerydeck/internal/coordination/holders"
)

// Sizes of messages on the users' platform. Those of accounts were measured with the codec; that of a
// reservation is an estimate with the headers of its packets.
const (
	gossipPerSecond = 5.0
	// accountStateBytes and accountReplyBytes are what an account takes in a daemon's state, and in
	// the reply of its relay.
	accountStateBytes = 24.0
	accountReplyBytes = 30.0
	// eraBytes is what the era and the name of the last read take in a message.
	eraBytes = 58.0
	// reservationBytes is one prompt reservation with its reply.
	reservationBytes = 300.0
)

// AccountTraffic returns the bytes per second that a daemon sends and receives for the quotas of
// accounts: active ones have requests at the daemon, busy ones are close to their quota elsewhere.
func AccountTraffic(active, busy float64) float64 {
	return gossipPerSecond * (accountStateBytes*active + accountReplyBytes*(active+busy))
}

// writeEdge writes the costs of accounts and of prompt reservations on the users' platform.
func writeEdge(b *strings.Builder, t Target) {
	perDaemon := t.Requests / float64(t.Daemons)
	few, all := AccountTraffic(3, 4), AccountTraffic(16, 0)
	fmt.Fprintf(b, `## Accounts and prompts on the users' platform

- **Quotas:** a daemon reports the accounts with requests there, %.0f bytes each, %.0f times a second, and gets %.0f bytes for each of
  these and for each busy account, at most 32 of them. With three active and four busy accounts that is %.1f KB/s
  (%s); with 16 accounts active at every daemon %.1f KB/s (%s). Nothing grows with daemons times accounts.
- **Prompt reservations** belong to requests, not to control: about %.0f bytes and one exchange for each prompt, %.1f a second at an average
  daemon, %.1f KB/s. An engine's lease holder keeps the prompts of one window and the use of the adapters in it.
- **Eras of the store:** the era and the name of the last read are %.0f bytes of each message, %.1f KB/s for a message and its reply. A daemon remembers the
  upstreams that left in the last two minutes. After a return, daemons and lease holders write the records that are younger than the store's copy. If the whole
  fleet has started since, that is all %d, which take %.0f s of the writes allowed, longer than the %.0f s that a lease outlasts: **does not fit**, orders pause.
- **Silent peers:** two messages a round times the silent share of the fleet, at most %.0f a second.
- **Versions of adapters:** 125 bytes of a daemon's memory for each announced adapter, 276 ns to record one (BenchmarkVersionsAtTheTargetSize): %.1f MB if
  all %d have one. At most eight announcements are kept for an adapter. A peer with older versions gets those of all adapters, as before; with all
  announced, a list takes 12 ms, at each change: **does not fit**.

`, accountStateBytes, gossipPerSecond, accountReplyBytes, few/(1<<10), fitResult(few, t.ControlTraffic), all/(1<<10), fitResult(all, t.ControlTraffic),
		reservationBytes, perDaemon, perDaemon*reservationBytes/(1<<10),
		eraBytes, 2*gossipPerSecond*eraBytes/(1<<10), t.Daemons+t.Engines, float64(t.Daemons+t.Engines)/t.PlatformWrites, holders.LeaseDuration.Seconds(), 2*gossipPerSecond,
		125*float64(t.Adapters)/(1<<20), t.Adapters)
}
