package fleet

import (
	"context"
	"time"

	"github.com/celerydeck/celerydeck/internal/protocol"
	"github.com/celerydeck/celerydeck/internal/transport/peer"
)

const (
	// promptNoticeDelay is the time in which notices are combined into one message.
	promptNoticeDelay = 5 * time.Millisecond
	// promptNoticeTimeout is the time after which a notice is of no more use.
	promptNoticeTimeout = 100 * time.Millisecond
)

// runPromptNotices sends a notice to all peers soon after each prompt that this daemon sends to
// an engine, while the fleet is small. A round of gossip would be too late: several daemons
// would send prompts to the same engine at the same time.
func (n *Node) runPromptNotices() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.opts.View.NoticePending():
		}
		n.sleep(promptNoticeDelay)
		n.sendPromptNotice(n.opts.View.DrainNotice())
	}
}

// sendPromptNotice starts to send a notice to all peers that are not lost.
func (n *Node) sendPromptNotice(notice protocol.PromptNotice) {
	if len(notice.Tokens) == 0 && len(notice.Slowdowns) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if m.lost || !m.contacted {
			continue
		}
		to := peer.Peer{ID: m.ID(), Addr: m.Addr}
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			ctx, cancel := context.WithTimeout(n.ctx, promptNoticeTimeout)
			defer cancel()
			var reply protocol.PromptNoticeReply
			// A lost notice is not sent again; gossip reports silent peers.
			_ = n.opts.Pool.Exchange(ctx, to, protocol.MsgPromptNotice, notice, &reply)
		}()
	}
}

// HandlePromptNotice applies a peer's notice.
func (n *Node) HandlePromptNotice(msg *protocol.PromptNotice) protocol.PromptNoticeReply {
	n.opts.View.ApplyNotice(msg)
	return protocol.PromptNoticeReply{}
}
